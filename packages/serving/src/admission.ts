/**
 * Whether a request is taken, and when its caller may come back.
 *
 * @module
 */
import type { PoolLoad } from "./piece_queue.ts";

/** Why a request isn't taken. */
export const REFUSAL = {
  /** Its queues are so long that its answer would be late. */
  busy: "busy",
  /** Its caller leaves before any answer could be ready. */
  noTime: "noTime",
} as const;
/** A value of {@link REFUSAL}. */
export type Refusal = typeof REFUSAL[keyof typeof REFUSAL];

/** What {@link decideAdmission} knows of a request. */
export interface AdmissionInput {
  /** Time of its stages when nothing waits, in milliseconds. */
  readonly stagesMs: number;
  /** Loads of the pools on its way, as far as they are known. */
  readonly loads: readonly PoolLoad[];
  readonly priority: number;
  /** Time from the last result to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly objectiveMs: number;
  readonly leftMs: number;
}

/** Taken or not, with the time that decided it. */
export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly expectedMs: number }
  | {
    readonly kind: "refused";
    readonly reason: Refusal;
    readonly expectedMs: number;
    readonly retryAfterMs: number;
  };

/**
 * How far past its objective a request is still taken, in milliseconds: waits
 * are estimates, and a burst's queue is shorter by the time that a request of
 * several stages reaches its last pool.
 */
const LATE_TOLERANCE_MS = 400;
/** Shortest time to come back in; a pool's call takes about as long. */
const MIN_RETRY_AFTER_MS = 300;

/**
 * Decides at the door.
 *
 * Guards against requests that are held, take part in calls and are then given
 * up: they cost the pools as much as those that are served. It shows as pools
 * that are busy while few answers come in time.
 *
 * @param input The request and the queues on its way.
 * @returns Taken, or why not and when there will be room.
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const rank = Math.max(0, input.priority);
  const waitMs = input.loads.reduce((sum, load) => {
    const wait = load.waitMs[Math.min(rank, load.waitMs.length - 1)] ?? 0;
    return sum + wait;
  }, 0);
  const expectedMs = waitMs + input.stagesMs + input.firstEventMs;
  if (expectedMs > input.leftMs) {
    return buildRefusal(REFUSAL.noTime, expectedMs, waitMs);
  }
  if (waitMs > 0 && expectedMs > input.objectiveMs + LATE_TOLERANCE_MS) {
    const excessMs = expectedMs - input.objectiveMs;
    return buildRefusal(REFUSAL.busy, expectedMs, excessMs);
  }
  return { kind: "admitted", expectedMs };
}

function buildRefusal(
  reason: Refusal,
  expectedMs: number,
  excessMs: number,
): AdmissionDecision {
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, excessMs);
  return { kind: "refused", reason, expectedMs, retryAfterMs };
}
