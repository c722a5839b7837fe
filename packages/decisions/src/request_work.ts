/**
 * Accounting of the expected work of requests in pools.
 *
 * @module
 */
import type { RequestFacts } from "@sardinestep/types";
import type { BacklogItem } from "./backlog.ts";
import type { State } from "./state.ts";
import { getStageSize, type TrackedRequest } from "./tracked.ts";

/** Adds a stage to the backlog of its pool, or removes it. */
export function changeBacklog(
  state: State,
  request: TrackedRequest,
  options: { readonly stage: number; readonly change: "add" | "remove" },
): void {
  const { facts, workMs } = request;
  const spec = facts.stages[options.stage];
  if (!spec) return;
  const item: BacklogItem = {
    requestClass: facts.requestClass,
    customer: facts.customer,
    deadlineAt: facts.deadlineAt,
    workMs: workMs[options.stage] ?? 0,
  };
  state.getPool(spec.service).backlog[options.change](item);
}

/** Records the work that a customer requests, whether or not it is admitted. */
export function recordDemand(state: State, facts: RequestFacts): void {
  for (let index = facts.firstStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) return;
    const workMs = getExpectedMs(state, facts, index);
    const { service } = stage;
    const { customer } = facts;
    state.demand.record(workMs, { service, customer, now: state.now });
  }
}

/** Records the refused work of `fromStage` and all later stages. */
export function recordRefusal(
  state: State,
  facts: RequestFacts,
  fromStage: number,
): void {
  for (let index = fromStage; index < facts.stages.length; index++) {
    const stage = facts.stages[index];
    if (!stage) return;
    const workMs = getExpectedMs(state, facts, index);
    state.getPool(stage.service).refusals.record(workMs, state.now);
  }
}

/** Returns the expected duration of a stage in milliseconds. */
export function getExpectedMs(
  state: State,
  facts: RequestFacts,
  index: number,
): number {
  const stage = facts.stages[index];
  if (!stage) return 0;
  return state.latency.getStage(stage).getMeanMs(getStageSize(facts, index));
}
