/** Test data of this package. */
import type { AnswerCounts, Tally } from "./answer_counts.ts";
import type { RolloutOrder } from "./order.ts";

export const ORDER: RolloutOrder = {
  service: "engine",
  target: "v2",
  durationMs: 15_000,
  position: 7,
};

const USUAL_BUCKET = 6;
export const SLOW_BUCKET = 12;

/** Builds answer counts; good answers take the usual time. */
export function buildCounts(
  answers: { good?: number; failed?: number; slow?: number },
): AnswerCounts {
  const { good = 0, failed = 0, slow = 0 } = answers;
  const ended = good + failed + slow;
  const times = Array.from({ length: SLOW_BUCKET + 1 }, () => 0);
  times[USUAL_BUCKET] = good;
  times[SLOW_BUCKET] = slow;
  return { sent: ended, ended, failed, times };
}

/** Builds a tally; the present version is healthy unless it is given. */
export function buildTally(
  target: Record<string, AnswerCounts>,
  present: Record<string, AnswerCounts> = {
    "0:note": buildCounts({ good: 200 }),
  },
): Tally {
  return { target, present };
}
