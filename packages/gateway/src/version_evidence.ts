/**
 * Evidence that answers give on the software version of an endpoint.
 *
 * @module
 */
import type * as rollout from "@sardinestep/rollout";
import { match } from "ts-pattern";
import { type AttemptOutcome, STATUS_FAILURE_MIN } from "./attempt.ts";
import type { PieceCallResult } from "./ports.ts";

/**
 * Latency that is recorded for a call of exactly the expected time, in milliseconds.
 * Calls of different sizes are compared by their ratio to the expected time.
 */
const NOMINAL_CALL_MS = 100;

/** Times of one sent request. */
export interface SentRequestTimes {
  /** Time to a stream's first event, if one arrived. */
  readonly firstEventMs?: number;
  readonly tookMs: number;
  readonly objectiveMs: number;
}

/** Builds the evidence of an answer, or of its absence, on a version. */
export function buildRequestOutcome(
  outcome: AttemptOutcome,
  { firstEventMs, tookMs, objectiveMs }: SentRequestTimes,
): rollout.SentRequestOutcome {
  return match(outcome)
    .with({ kind: "streamed" }, () => ({
      kind: "answered" as const,
      ms: firstEventMs ?? tookMs,
    }))
    .with(
      { kind: "answered" },
      ({ answer }) =>
        answer.status >= STATUS_FAILURE_MIN
          ? { kind: "failed" as const }
          : { kind: "answered" as const, ms: tookMs },
    )
    .with({ kind: "lost" }, () => ({ kind: "failed" as const }))
    .with(
      { kind: "notRun" },
      { kind: "notSent" },
      { kind: "superseded" },
      () => ({ kind: "neutral" as const }),
    )
    .with({ kind: "ended" }, () => {
      const ms = firstEventMs ?? tookMs;
      const isConclusive = firstEventMs !== undefined || tookMs > objectiveMs;
      return isConclusive
        ? { kind: "answered" as const, ms }
        : { kind: "neutral" as const };
    })
    .exhaustive();
}

/**
 * Builds the evidence of a call of pieces on a version.
 *
 * @param result How the call ended.
 * @param ratio Actual time of the call divided by its expected time.
 */
export function buildCallOutcome(
  result: PieceCallResult,
  ratio: number,
): rollout.SentRequestOutcome {
  return match(result)
    .with({ kind: "done" }, ({ pieces }) => {
      const isFailed = pieces.some((piece) => piece.kind === "failed");
      return isFailed
        ? { kind: "failed" as const }
        : { kind: "answered" as const, ms: NOMINAL_CALL_MS * ratio };
    })
    .with({ kind: "notRun" }, () => ({ kind: "neutral" as const }))
    .with({ kind: "broken" }, () => ({ kind: "failed" as const }))
    .exhaustive();
}
