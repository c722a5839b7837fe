/**
 * Detects pauses of this process by gaps in monotonic time.
 *
 * @module
 */

/** Limits of a {@link PauseDetector}. */
export interface PauseDetectorOptions {
  /** The longest time between two checks of a process that is not paused. */
  readonly maxGapMs: number;
}

/**
 * Detects that the process or its VM was paused.
 *
 * Prevents a resumed process from acting on a view of the cluster that is as old
 * as the pause. A timer checks at short intervals, and a pause appears as a gap
 * between two checks. Code that acts on the view must also call {@link check}
 * first, in the same turn of the event loop, so that the gap is found even if no
 * timer has run since the process resumed.
 *
 * @example
 * ```ts
 * const detector = new PauseDetector({ maxGapMs: 1_000 });
 * setInterval(() => detector.check(performance.now()), 100);
 * if (detector.check(performance.now())) guard.handlePause(performance.now());
 * ```
 */
export class PauseDetector {
  readonly #maxGapMs: number;
  #lastAt: number | undefined;
  #pauses = 0;
  #lastPauseDetectedAt = -Infinity;

  /** @param options The longest gap that is not a pause. */
  constructor(options: PauseDetectorOptions) {
    this.#maxGapMs = options.maxGapMs;
  }

  /** Number of pauses detected so far. */
  get pauses(): number {
    return this.#pauses;
  }

  /** Monotonic time at which the latest pause was detected. */
  get lastPauseDetectedAt(): number {
    return this.#lastPauseDetectedAt;
  }

  /**
   * Records that the process is running, and compares with the previous check.
   *
   * @param now Monotonic milliseconds.
   * @returns True when the process was paused before this check.
   */
  check(now: number): boolean {
    const gapMs = this.#lastAt === undefined ? 0 : now - this.#lastAt;
    this.#lastAt = now;
    if (gapMs <= this.#maxGapMs) return false;
    this.#pauses += 1;
    this.#lastPauseDetectedAt = now;
    return true;
  }
}
