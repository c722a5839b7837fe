/**
 * Times of a graceful stop within the grace period.
 *
 * @module
 */

/** Most of the grace period that is reserved for last responses and exit, in ms. */
const MAX_EXIT_RESERVE_MS = 700;
/** Part of the grace period that is reserved at most, if that is less. */
const MAX_EXIT_RESERVE_SHARE = 1 / 6;
/** Part of the reserve in which streams that have begun may still end. */
const STREAM_SHARE = 1 / 2;
/** Most of the reserve that is left for the exit itself, in milliseconds. */
const MAX_CLOSE_MS = 100;
/** Part of the reserve that is left for the exit at most, if that is less. */
const MAX_CLOSE_SHARE = 1 / 4;

/** Monotonic times, in milliseconds. */
export interface StopTimes {
  /** Until then requests may run; what has no answer yet is then answered. */
  readonly drainUntil: number;
  /** Until then streams that have begun may go on; they are then broken off. */
  readonly streamUntil: number;
  /** Until then callers may read what is written for them. */
  readonly closeAt: number;
}

/** Options of {@link planStop}. */
export interface StopOptions {
  /** Monotonic time of the SIGTERM, in milliseconds. */
  readonly stoppedAt: number;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number;
}

/**
 * Plans the steps of a graceful stop.
 *
 * A fixed reserve would take a third of a short grace period, and cut off requests
 * whose deadlines lie within it.
 *
 * @param options When the stop began, and how long it may last.
 * @example
 * ```ts
 * planStop({ stoppedAt: 0, graceMs: 8_000 });
 * // { drainUntil: 7_300, streamUntil: 7_650, closeAt: 7_900 }
 * ```
 */
export function planStop({ stoppedAt, graceMs }: StopOptions): StopTimes {
  const reserveMs = Math.min(
    MAX_EXIT_RESERVE_MS,
    graceMs * MAX_EXIT_RESERVE_SHARE,
  );
  const closeMs = Math.min(MAX_CLOSE_MS, reserveMs * MAX_CLOSE_SHARE);
  const killedAt = stoppedAt + graceMs;
  return {
    drainUntil: killedAt - reserveMs,
    streamUntil: killedAt - reserveMs * STREAM_SHARE,
    closeAt: killedAt - closeMs,
  };
}
