/**
 * Waits for what has arrived at this process, before it acts on what it knows.
 *
 * @module
 */
import {
  setImmediate as waitForEvents,
  setTimeout as wait,
} from "node:timers/promises";

/** Interval of checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 50;

/** Options of {@link waitForArrivals} and {@link waitWhile}. */
export interface ArrivalOptions {
  /** Number of connections that were accepted so far. */
  readonly countAccepted: () => number;
  /** Monotonic time after which nothing is waited for, in milliseconds. */
  readonly until: number;
}

/**
 * Waits until connections that have been opened are accepted, and what has arrived on
 * them is read. After a pause of the process its timers may run first, and each turn of
 * the event loop accepts one connection.
 */
export async function waitForArrivals(
  { countAccepted, until }: ArrivalOptions,
): Promise<void> {
  for (;;) {
    const count = countAccepted();
    await waitForEvents();
    if (countAccepted() === count || performance.now() >= until) return;
  }
}

/**
 * Waits until a condition no longer holds, with what has arrived, or until a time.
 *
 * @param isTrue The condition.
 * @param options The time, and the connections on which something may arrive.
 */
export async function waitWhile(
  isTrue: () => boolean,
  options: ArrivalOptions,
): Promise<void> {
  const { until } = options;
  for (let leftMs = until - performance.now(); leftMs > 0;) {
    if (!isTrue()) {
      await waitForArrivals(options);
      if (!isTrue()) return;
    }
    await wait(Math.min(POLL_INTERVAL_MS, leftMs));
    leftMs = until - performance.now();
  }
}
