/**
 * Tells from gaps in monotonic time that this process was paused.
 *
 * @module
 */

/** When a gap counts as a pause. */
export interface PauseDetectorOptions {
  /** The longest time between two checks in a process that runs. */
  readonly maxGapMs: number;
}

/**
 * Notices that the process was paused (frozen, or its VM was).
 *
 * Guards against a process that wakes up and acts on a view of the world that is
 * as old as the pause. It shows as a gap between two checks that a timer makes
 * at short intervals. The guard holds because whoever acts on the view calls
 * {@link check} first, in the same turn of the loop: the gap is seen even if no
 * timer has run since waking up.
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
  #pausedUntil = -Infinity;

  /** @param options When a gap counts as a pause. */
  constructor(options: PauseDetectorOptions) {
    this.#maxGapMs = options.maxGapMs;
  }

  /** Pauses seen so far. */
  get pauses(): number {
    return this.#pauses;
  }

  /** Monotonic time at which the newest pause was noticed. */
  get pausedUntil(): number {
    return this.#pausedUntil;
  }

  /**
   * Notes that the process runs.
   *
   * @param now Monotonic milliseconds.
   * @returns True when the process was paused before this check.
   */
  check(now: number): boolean {
    const gapMs = this.#lastAt === undefined ? 0 : now - this.#lastAt;
    this.#lastAt = now;
    if (gapMs <= this.#maxGapMs) return false;
    this.#pauses += 1;
    this.#pausedUntil = now;
    return true;
  }
}
