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
  /**
   * Until then requests may run; what has no answer yet is then answered. A SIGKILL
   * never comes earlier.
   */
  readonly drainUntil: number;
  /**
   * Until then streams that have begun may go on; they are then broken off. For
   * their callers an earlier SIGKILL is the same.
   */
  readonly streamUntil: number;
  /** Until then callers may read what is written for them. */
  readonly closeAt: number;
}

/** Options of {@link planStop}. */
export interface StopOptions {
  /** Monotonic time at which the SIGTERM was handled, in milliseconds. */
  readonly handledAt: number;
  /** Earliest monotonic time at which it may have been sent, in milliseconds. */
  readonly sentAfter: number;
  /** Time from SIGTERM to SIGKILL, in milliseconds. */
  readonly graceMs: number;
}

/**
 * Plans the steps of a graceful stop.
 *
 * A fixed reserve would take a third of a short grace period, and cut off requests
 * whose deadlines lie within it.
 *
 * @param options When the SIGTERM came, and the grace period.
 * @example
 * ```ts
 * planStop({ handledAt: 1_000, sentAfter: 900, graceMs: 8_000 });
 * // { drainUntil: 8_200, streamUntil: 8_650, closeAt: 8_900 }
 * ```
 */
export function planStop(
  { handledAt, sentAfter, graceMs }: StopOptions,
): StopTimes {
  const reserveMs = Math.min(
    MAX_EXIT_RESERVE_MS,
    graceMs * MAX_EXIT_RESERVE_SHARE,
  );
  const closeMs = Math.min(MAX_CLOSE_MS, reserveMs * MAX_CLOSE_SHARE);
  const killedAt = handledAt + graceMs;
  return {
    drainUntil: sentAfter + graceMs - reserveMs,
    streamUntil: killedAt - reserveMs * STREAM_SHARE,
    closeAt: killedAt - closeMs,
  };
}
