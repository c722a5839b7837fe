/**
 * Hybrid logical clock: orders events over processes whose wall clocks differ.
 *
 * @module
 */
import type { HybridTime } from "./event.ts";

/**
 * How far ahead a remote time may be. Larger than the drift of VMs that keep
 * time by NTP, small enough that one VM with a wrong clock can't push the time
 * of all others into the future for good.
 */
export const MAX_AHEAD_MS = 60_000;

/** Limits of a {@link HybridClock}. */
export interface HybridClockOptions {
  /** A remote time further ahead of the wall clock is refused. */
  readonly maxAheadMs?: number;
}

/**
 * Gives times that only grow, and that lie after every time observed.
 *
 * @example
 * ```ts
 * const clock = new HybridClock(Date.now);
 * clock.observe(message.time);
 * const time = clock.next(); // after message.time
 * ```
 */
export class HybridClock {
  readonly #readWallMs: () => number;
  readonly #maxAheadMs: number;
  #wallMs = 0;
  #counter = 0;
  #refused = 0;

  /**
   * @param readWallMs Wall clock in milliseconds since the Unix epoch.
   * @param options How far ahead a remote time may be.
   */
  constructor(readWallMs: () => number, options: HybridClockOptions = {}) {
    this.#readWallMs = readWallMs;
    this.#maxAheadMs = options.maxAheadMs ?? MAX_AHEAD_MS;
  }

  /** Remote times that were refused because they lay too far ahead. */
  get refused(): number {
    return this.#refused;
  }

  /**
   * Gives a time after every time given or observed before.
   *
   * When the wall clock jumps back, the wall part stays and the counter
   * grows, so that the order of events is kept.
   */
  next(): HybridTime {
    const wallMs = this.#readWallMs();
    if (wallMs > this.#wallMs) {
      this.#wallMs = wallMs;
      this.#counter = 0;
    } else {
      this.#counter += 1;
    }
    return { wallMs: this.#wallMs, counter: this.#counter };
  }

  /**
   * Takes a time from another process in, so that what follows lies after it.
   *
   * A clock far in the future would drag every process that hears it along,
   * and wrong times would then outlive the VM with the wrong clock. Such a time
   * is refused and counted.
   *
   * @param remote Time from a message.
   * @returns False when the time was refused.
   */
  observe(remote: HybridTime): boolean {
    if (!isValidTime(remote) || this.#isTooFarAhead(remote)) {
      this.#refused += 1;
      return false;
    }
    if (remote.wallMs > this.#wallMs) {
      this.#wallMs = remote.wallMs;
      this.#counter = remote.counter;
    } else if (remote.wallMs === this.#wallMs) {
      this.#counter = Math.max(this.#counter, remote.counter);
    }
    return true;
  }

  #isTooFarAhead(remote: HybridTime): boolean {
    return remote.wallMs - this.#readWallMs() > this.#maxAheadMs;
  }
}

/** Values that are no integers would break the order for good. */
function isValidTime(time: HybridTime): boolean {
  return Number.isSafeInteger(time.wallMs) &&
    Number.isSafeInteger(time.counter) && time.counter >= 0;
}

/**
 * Orders two hybrid times.
 *
 * @param left One time.
 * @param right The other time.
 * @returns Negative when `left` is earlier, 0 when equal, else positive.
 * @example
 * ```ts
 * compareTimes({ wallMs: 1, counter: 0 }, { wallMs: 1, counter: 2 }); // -2
 * ```
 */
export function compareTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
