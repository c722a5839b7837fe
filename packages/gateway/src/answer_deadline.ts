/**
 * Whether an answer may have ended because the time of its endpoint was up.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import { match } from "ts-pattern";

/** How much faster than this clock that of an endpoint may run, as a share. */
const CLOCK_RATE_TOLERANCE = 0.0005;
/** How much too early an endpoint's timer may run, in milliseconds. */
const TIMER_STEP_MS = 2;

/** The end of an answer, and the time that its endpoint had. */
export interface AnswerEndTimes {
  /** What showed the end. */
  readonly framing: answerHeads.Framing;
  /** Monotonic time at which the end was read, in milliseconds. */
  readonly endedAt: number;
  /** Monotonic time at which the request was written. */
  readonly sentAt: number;
  /** Time that the endpoint was told to have for the request, in milliseconds. */
  readonly leftMs: number;
  /** Monotonic time at which the time of the request is up. */
  readonly deadlineAt: number;
}

/**
 * Whether the end of an answer may be that of its endpoint's time.
 *
 * An endpoint stops its work after the time that it was told, and its server then
 * ends the answer in order. When the end was read decides, not which of a timer and
 * the end comes first: a process that was busy or stopped reads before its timers run.
 *
 * @example
 * ```ts
 * const times = { endedAt: 5_900, sentAt: 0, leftMs: 6_000, deadlineAt: 6_000 };
 * mayBeCutOff({ framing: "chunks", ...times }); // false
 * ```
 */
export function mayBeCutOff(
  { framing, endedAt, sentAt, leftMs, deadlineAt }: AnswerEndTimes,
): boolean {
  const stopsAt = sentAt + leftMs * (1 - CLOCK_RATE_TOLERANCE) - TIMER_STEP_MS;
  return match(framing)
    .with(answerHeads.FRAMING.none, answerHeads.FRAMING.length, () => false)
    .with(
      answerHeads.FRAMING.chunks,
      answerHeads.FRAMING.connection,
      () => endedAt >= Math.min(stopsAt, deadlineAt),
    )
    .exhaustive();
}
