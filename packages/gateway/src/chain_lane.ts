/**
 * Lane of a request whose stages run in pools, from the loads of these pools. It
 * decides whether the request is refused and is logged; the leader of each pool plans
 * its own lanes.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import * as forecast from "@sardinestep/forecast";
import * as serving from "@sardinestep/serving";
import { match } from "ts-pattern";
import type { RoutedRequest } from "./flow_types.ts";
import { buildStageWaits, isRetryAfterRefusal } from "./request_loads.ts";
import type { StageForecast } from "./stage_forecast.ts";
import type { StageRun } from "./stage_run.ts";

/** Lane of a request and the figures behind it. */
export interface ChainLane {
  readonly lane: forecast.ChainAdmission["kind"];
  /** Expected time to the first event, in ms. */
  readonly expectedMs: number;
  /** Margin for errors of that time, in ms. */
  readonly marginMs: number;
  /** Set if the request is refused. */
  readonly failure?: codes.Failure;
}

/** Options of {@link decideChainLane}. */
export interface ChainLaneOptions {
  readonly run: StageRun;
  readonly stageForecast: StageForecast;
  readonly loads: ReadonlyMap<string, serving.PoolLoad>;
}

/**
 * Decides the lane of a request on arrival, and counts its work as ahead of later
 * requests if it is admitted.
 */
export function decideChainLane(
  request: RoutedRequest,
  { run, stageForecast, loads }: ChainLaneOptions,
): ChainLane {
  const { route, caller, timeoutMs } = request;
  const isReturn = isRetryAfterRefusal(request);
  const stages = route.stages.map((_, stage) => stage)
    .filter((stage) => (caller.pieceCounts[stage] ?? 0) > 0);
  const getWaitMs = buildStageWaits(request, loads, {
    rank: request.rank,
    isLate: false,
  });
  const getDeferredWaitMs = buildDeferredWaits(request, loads);
  const getAheadMs = (stage: number) => {
    const service = route.stages[stage]!.service;
    const aheadMs = stageForecast.getAheadMs(run.getPoolKey(stage));
    return aheadMs / Math.max(1, loads.get(service)?.endpoints ?? 1);
  };
  const stagesMs = run.getExpectedMs();
  const queueMs = run.getExpectedMs(getWaitMs);
  const marginMs = Math.max(
    0,
    ...stages.map((stage) => stageForecast.getMarginMs(stage)),
  );
  const { firstEventMs } = stageForecast;
  const input: forecast.ChainAdmissionInput = {
    stagesMs,
    waitMs: queueMs - stagesMs,
    deferredWaitMs: run.getExpectedMs(getDeferredWaitMs) - stagesMs,
    ...getHeldTimes(request, stages, getDeferredWaitMs),
    firstEventMs,
    marginMs,
    aheadMs:
      run.getExpectedMs((stage) => getWaitMs(stage) + getAheadMs(stage)) -
      queueMs,
    objectiveMs: route.objectiveMs,
    timeoutMs,
    patienceMs: route.patienceMs,
    isReturn,
  };
  const decision = forecast.decideChainAdmission(input);
  const { kind: lane, expectedMs } = decision;
  if (decision.kind !== "refused") {
    addAheadWork(request, run, stageForecast);
    return { lane, expectedMs, marginMs };
  }
  const retryAfterMs = forecast.planReturn({
    requestId: request.requestId,
    roomMs: decision.roomMs,
    drainMs: input.deferredWaitMs,
    neededMs: queueMs + firstEventMs + marginMs,
    timeoutMs,
  });
  const failure = buildRefusal(decision.reason, expectedMs, retryAfterMs);
  return { lane, expectedMs, marginMs, failure };
}

/** Returns a function for the expected wait of a stage of a deferred request. */
function buildDeferredWaits(
  request: RoutedRequest,
  loads: ReadonlyMap<string, serving.PoolLoad>,
): (stage: number) => number {
  // Groups on time of all ranks precede a deferred one.
  const rank = Number.MAX_SAFE_INTEGER;
  const getOnTimeMs = buildStageWaits(request, loads, { rank, isLate: false });
  const getAllMs = buildStageWaits(request, loads, { rank, isLate: true });
  const isReturn = isRetryAfterRefusal(request);
  return (stage) =>
    forecast.getDeferredWaitMs(getOnTimeMs(stage), getAllMs(stage), isReturn);
}

/** Counts the work of all stages as ahead until it is queued at its pool. */
function addAheadWork(
  { route, table, caller }: RoutedRequest,
  run: StageRun,
  stageForecast: StageForecast,
): void {
  route.stages.forEach(({ service }, stage) => {
    const pool = table.services.get(service)?.pool;
    const pieces = caller.pieceCounts[stage] ?? 0;
    if (pool === undefined || pieces === 0) return;
    const workMs = pieces * serving.getFullCallPieceMs(pool);
    stageForecast.addAhead(stage, run.getPoolKey(stage), workMs);
  });
}

/** Finds how long results wait for the next stage, and how long they are kept. */
function getHeldTimes(
  { route, table }: RoutedRequest,
  stages: readonly number[],
  getDeferredWaitMs: (stage: number) => number,
): Pick<forecast.ChainAdmissionInput, "heldMs" | "resultTtlMs"> {
  const readers = stages.filter((stage) =>
    route.stages[stage]!.after.some((input) => stages.includes(input))
  );
  const getPool = (stage: number) =>
    table.services.get(route.stages[stage]!.service)?.pool;
  const inputs = readers.flatMap((stage) => route.stages[stage]!.after);
  return {
    heldMs: Math.max(0, ...readers.map(getDeferredWaitMs)),
    resultTtlMs: Math.min(
      ...inputs.map((input) => getPool(input)?.resultTtlMs ?? Infinity),
    ),
  };
}

function buildRefusal(
  reason: forecast.RefusalReason,
  expectedMs: number,
  retryAfterMs: number,
): codes.Failure {
  const answerMs = Math.round(expectedMs);
  return match(reason)
    .with("busy", () =>
      codes.createFailure(
        "QUEUE_FULL",
        `An answer is expected to take ${answerMs} ms`,
        { retryAfterMs },
      ))
    .with("resultsExpire", () =>
      codes.createFailure(
        "QUEUE_FULL",
        "Results of a stage would expire before the next stage reads them",
        { retryAfterMs },
      ))
    .with("deadlineOutOfReach", () =>
      codes.createFailure(
        "DEADLINE_OUT_OF_REACH",
        `An answer is expected to take ${answerMs} ms`,
        { retryAfterMs },
      ))
    .exhaustive();
}
