/**
 * Hybrid logical clock: orders events of processes whose wall clocks differ.
 *
 * @module
 */
import type { HybridTime } from "./event.ts";

/**
 * Maximum lead of a remote time over the wall clock. Larger than the drift of
 * VMs synchronized by NTP, but small enough that a VM with a wrong clock can't
 * move the time of all others into the future permanently.
 */
export const MAX_AHEAD_MS = 60_000;

/** Options of a {@link HybridClock}. */
export interface HybridClockOptions {
  /** Remote times further ahead of the wall clock are rejected. */
  readonly maxAheadMs?: number;
}

/**
 * Issues increasing times, each later than all times observed before.
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
  #rejectedCount = 0;

  /**
   * @param readWallMs Wall clock in milliseconds since the Unix epoch.
   * @param options Maximum lead of remote times.
   */
  constructor(readWallMs: () => number, options: HybridClockOptions = {}) {
    this.#readWallMs = readWallMs;
    this.#maxAheadMs = options.maxAheadMs ?? MAX_AHEAD_MS;
  }

  /** Number of remote times rejected as invalid or too far ahead. */
  get rejectedCount(): number {
    return this.#rejectedCount;
  }

  /**
   * Returns a time later than all times issued or observed before.
   *
   * If the wall clock jumps back, `wallMs` stays and the counter increases, so
   * that the order of events is preserved.
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
   * Merges a time received from another process, so that later times follow it.
   *
   * Rejects and counts a time too far ahead: every process that received it
   * would adopt it, and the wrong times would outlive the VM with the wrong
   * clock.
   *
   * @param remote Time from a message.
   * @returns False if the time was rejected.
   */
  observe(remote: HybridTime): boolean {
    if (!isValidTime(remote) || this.#isTooFarAhead(remote)) {
      this.#rejectedCount += 1;
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

/** Values that aren't integers would break the order permanently. */
function isValidTime(time: HybridTime): boolean {
  return Number.isSafeInteger(time.wallMs) &&
    Number.isSafeInteger(time.counter) && time.counter >= 0;
}

/**
 * Compares two hybrid times.
 *
 * @param left One time.
 * @param right The other time.
 * @returns Negative if `left` is earlier, 0 if equal, positive otherwise.
 * @example
 * ```ts
 * compareTimes({ wallMs: 1, counter: 0 }, { wallMs: 1, counter: 2 }); // -2
 * ```
 */
export function compareTimes(left: HybridTime, right: HybridTime): number {
  return left.wallMs - right.wallMs || left.counter - right.counter;
}
