/**
 * Phases of a roll-out and the transitions between them.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type FinalState, ROLLOUT_STATE } from "./order.ts";
import type { Verdict } from "./verdict.ts";

/** Phase of a roll-out. */
export type RolloutPhase =
  /** No endpoint of the target version has registered. */
  | { readonly kind: "waiting" }
  /** A small share of sessions is routed to the target version. */
  | { readonly kind: "canary" }
  /** The share of sessions at the target version grows. */
  | { readonly kind: "ramping"; readonly rampStartMs: number }
  /** New requests go to the target version; the present one drains. */
  | { readonly kind: "finishing" }
  /** The present version has drained; to be reported as succeeded. */
  | { readonly kind: "finished"; readonly reason: string }
  /** The target version gets no requests; to be reported as rolled back. */
  | { readonly kind: "stopped"; readonly reason: string }
  /** The final state is reported and never changes again. */
  | { readonly kind: "settled"; readonly state: FinalState };

/** Input of {@link planPhase}. */
export interface PlanPhaseOptions {
  readonly phase: RolloutPhase;
  /** Time since the order was first seen, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Whether an endpoint of the target version is registered. */
  readonly hasTargetEndpoint: boolean;
  readonly verdict: Verdict;
  /** Requests in flight at the present version, over all VMs. */
  readonly presentRunning: number;
}

/** Share of the order's duration from which a good version is ramped up. */
const RAMP_START_SHARE = 0.5;
/** Share of the duration by which a version must be proved good. */
const PROOF_DEADLINE_SHARE = 0.65;
/** Part of the proof that suffices by then, as faults may affect both versions. */
const MIN_PROOF_AT_DEADLINE = 0.1;
/** Share of the duration that the ramp takes. */
const RAMP_LENGTH_SHARE = 0.15;
/** Share of the duration by which a roll-out ends, even if requests still run. */
const FINISH_DEADLINE_SHARE = 0.92;

/**
 * Plans the next phase.
 *
 * Guards against a good version that isn't finished by its deadline, and against
 * one that turns bad only after some time: the canary phase lasts at least half of
 * the order's duration, and the verdict counts until the roll-out has finished.
 *
 * @param options The current phase, the time and the evidence.
 * @returns The phase that applies now; phases never go back.
 * @example
 * ```ts
 * planPhase({ phase: { kind: "canary" }, elapsedMs, durationMs, hasTargetEndpoint, verdict, presentRunning });
 * ```
 */
export function planPhase(options: PlanPhaseOptions): RolloutPhase {
  const { phase, verdict } = options;
  const isOpen = phase.kind !== "stopped" && phase.kind !== "settled" &&
    phase.kind !== "finished";
  if (isOpen && verdict.kind === "bad") {
    return { kind: "stopped", reason: verdict.reason };
  }
  const elapsedShare = options.elapsedMs / options.durationMs;
  return match(phase)
    .with(
      { kind: "waiting" },
      (waiting) => planWaiting(waiting, options, elapsedShare),
    )
    .with(
      { kind: "canary" },
      (canary) => planCanary(canary, options, elapsedShare),
    )
    .with(
      { kind: "ramping" },
      (ramping) =>
        getRampProgress(ramping, options) >= 1
          ? { kind: "finishing" as const }
          : ramping,
    )
    .with(
      { kind: "finishing" },
      (finishing) => planFinishing(finishing, options, elapsedShare),
    )
    .with(
      { kind: "finished" },
      { kind: "stopped" },
      { kind: "settled" },
      (final) => final,
    )
    .exhaustive();
}

/**
 * Returns the share of sessions that are routed to the target version, 0 to 1.
 *
 * @param phase Phase of the roll-out.
 * @param options The time and the share of sessions in the canary phase.
 */
export function getTargetShare(
  phase: RolloutPhase,
  options: {
    readonly elapsedMs: number;
    readonly durationMs: number;
    readonly canaryShare: number;
  },
): number {
  return match(phase)
    .with({ kind: "waiting" }, { kind: "stopped" }, () => 0)
    .with({ kind: "canary" }, () => options.canaryShare)
    .with({ kind: "ramping" }, (ramping) => {
      const progress = Math.min(1, getRampProgress(ramping, options));
      return options.canaryShare +
        (1 - options.canaryShare) * progress * progress;
    })
    .with({ kind: "finishing" }, { kind: "finished" }, () => 1)
    .with(
      { kind: "settled" },
      ({ state }) => state === ROLLOUT_STATE.succeeded ? 1 : 0,
    )
    .exhaustive();
}

function planWaiting(
  phase: RolloutPhase,
  { hasTargetEndpoint }: PlanPhaseOptions,
  elapsedShare: number,
): RolloutPhase {
  if (elapsedShare >= PROOF_DEADLINE_SHARE) {
    const reason = "no endpoint of the target version registered in time";
    return { kind: "stopped", reason };
  }
  return hasTargetEndpoint ? { kind: "canary" } : phase;
}

function planCanary(
  phase: RolloutPhase,
  { verdict, elapsedMs }: PlanPhaseOptions,
  elapsedShare: number,
): RolloutPhase {
  const isProved = verdict.kind === "good" && elapsedShare >= RAMP_START_SHARE;
  const isLikely = verdict.kind === "open" &&
    verdict.proof >= MIN_PROOF_AT_DEADLINE &&
    elapsedShare >= PROOF_DEADLINE_SHARE;
  if (isProved || isLikely) return { kind: "ramping", rampStartMs: elapsedMs };
  if (elapsedShare < PROOF_DEADLINE_SHARE) return phase;
  return {
    kind: "stopped",
    reason: "too few answers to prove the target version good in time",
  };
}

function planFinishing(
  phase: RolloutPhase,
  { presentRunning }: PlanPhaseOptions,
  elapsedShare: number,
): RolloutPhase {
  if (presentRunning > 0 && elapsedShare < FINISH_DEADLINE_SHARE) return phase;
  const reason = presentRunning > 0
    ? `${presentRunning} requests still run at the present version`
    : "nothing runs at the present version";
  return { kind: "finished", reason };
}

function getRampProgress(
  { rampStartMs }: RolloutPhase & { kind: "ramping" },
  { elapsedMs, durationMs }: {
    readonly elapsedMs: number;
    readonly durationMs: number;
  },
): number {
  return (elapsedMs - rampStartMs) / (durationMs * RAMP_LENGTH_SHARE);
}
