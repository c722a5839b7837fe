/**
 * Whether an answer may have ended because the time of its endpoint was up.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import { match } from "ts-pattern";

/** How much faster than this clock that of an endpoint may run, as a share. */
const CLOCK_RATE_TOLERANCE = 0.0005;
/** Coarse clocks of kernels tick at least this often, in milliseconds. */
const CLOCK_TICK_MS = 10;

/** What the end of an answer shows. */
export const END_VERDICT = {
  whole: "whole",
  /** The time of the endpoint, or of the request, may be up. */
  timeUp: "timeUp",
  /** It may be up if the machine was suspended, which only the time of day shows. */
  uncertain: "uncertain",
} as const;
/** A value of {@link END_VERDICT}. */
export type EndVerdict = typeof END_VERDICT[keyof typeof END_VERDICT];

/** A moment by both clocks, in milliseconds. */
export interface Moment {
  /** Stands still while the machine is suspended. */
  readonly steadyMs: number;
  /** Time of day; it may jump. */
  readonly wallMs: number;
}

/** The end of an answer, and the time that its endpoint had. */
export interface AnswerEndTimes {
  /** What showed the end. */
  readonly framing: answerHeads.Framing;
  /** When the end is passed on. */
  readonly endedAt: Moment;
  /** When the request was written. */
  readonly sentAt: Moment;
  /** Time that the endpoint was handed for the request, in milliseconds. */
  readonly leftMs: number;
  /** Monotonic time at which the time of the request is up. */
  readonly deadlineAt: number;
}

/** Reads both clocks. */
export function readMoment(): Moment {
  return { steadyMs: performance.now(), wallMs: Date.now() };
}

/**
 * Decides what the end of an answer shows.
 *
 * An endpoint stops its work after the time that it was handed, and its server then
 * ends the answer in order. When the end was read decides, not which of a timer and
 * the end comes first: a process that was busy or stopped reads before its timers run.
 *
 * @example
 * ```ts
 * const sentAt = { steadyMs: 0, wallMs: 0 };
 * const endedAt = { steadyMs: 5_900, wallMs: 5_900 };
 * const times = { sentAt, endedAt, leftMs: 6_000, deadlineAt: 6_000 };
 * judgeEnd({ framing: "chunks", ...times }); // "whole"
 * ```
 */
export function judgeEnd(
  { framing, endedAt, sentAt, leftMs, deadlineAt }: AnswerEndTimes,
): EndVerdict {
  const stopsAt = sentAt.steadyMs + leftMs * (1 - CLOCK_RATE_TOLERANCE) -
    CLOCK_TICK_MS;
  const timeUpAt = Math.min(stopsAt, deadlineAt);
  const suspendedMs = endedAt.wallMs - sentAt.wallMs -
    (endedAt.steadyMs - sentAt.steadyMs);
  return match(framing)
    .with(
      answerHeads.FRAMING.none,
      answerHeads.FRAMING.length,
      () => END_VERDICT.whole,
    )
    .with(answerHeads.FRAMING.chunks, answerHeads.FRAMING.connection, () => {
      if (endedAt.steadyMs >= timeUpAt) return END_VERDICT.timeUp;
      return endedAt.steadyMs + suspendedMs >= timeUpAt
        ? END_VERDICT.uncertain
        : END_VERDICT.whole;
    })
    .exhaustive();
}
