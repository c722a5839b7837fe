/**
 * Decides on a takeover with the state of the gateway, and logs the decision.
 *
 * @module
 */
import * as takeover from "@sardinestep/takeover";
import type { SilentSpan } from "./attempt_race.ts";
import { EVENT } from "./events.ts";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";

/** Options of {@link planTakeover}. */
export interface PlanTakeoverOptions {
  readonly span: SilentSpan;
  /** Attempts in which the request may have run, with the running one. */
  readonly attempts: number;
  readonly isRetryable: boolean;
  /** Whether another endpoint may be used. */
  readonly hasEndpoint: boolean;
  /** Whether the stage results that the request reads are kept. */
  readonly areInputsKept: boolean;
  readonly mayRerunStages: boolean;
}

/**
 * Decides whether one more endpoint may take over from a silent one.
 *
 * @param deps State of the gateway.
 * @param request The request whose endpoint is silent.
 * @param options Its attempts.
 * @returns The decision; a retry is not taken yet.
 */
export function planTakeover(
  deps: Pick<
    FlowDependencies,
    "quarantine" | "retryBudget" | "mesh" | "events" | "metrics"
  >,
  request: RoutedRequest,
  { span, attempts, ...state }: PlanTakeoverOptions,
): takeover.TakeoverDecision {
  const { service, requestId, route } = request;
  const { quarantine, retryBudget, mesh, events, metrics } = deps;
  const now = performance.now();
  const decision = takeover.decideTakeover({
    ...state,
    attempts,
    maxAttempts: route.maxAttempts,
    isSuspect: quarantine.hasSuspectPart(request) ||
      quarantine.check(request) !== undefined,
    refusals: span.refusals,
    isBudgetLeft: retryBudget.mayRetry(service, now, mesh.countSenders()),
  });
  const reason = decision.kind === "wait" ? decision.reason : undefined;
  metrics.count("takeover_decisions_total", {
    service,
    decision: reason ?? decision.kind,
  });
  events.write(EVENT.takeoverDecided, {
    requestId,
    service,
    endpointId: span.endpoint.id,
    decision: decision.kind,
    reason,
    attempts,
    refusals: span.refusals,
  });
  return decision;
}
