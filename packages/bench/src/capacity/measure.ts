/**
 * Memory and time of the real modules in this process.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

const MICROSECONDS_PER_MS = 1_000;

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

/** What a state of so many elements takes. */
export interface Held {
  readonly count: number;
  readonly bytes: number;
  /** Time to fill it, in microseconds. */
  readonly fillUs: number;
}

/**
 * Measures the heap that a state takes and the time to fill it.
 *
 * @param count Elements of the state.
 * @param fill Creates the state; what it returns is held meanwhile.
 * @returns Bytes and time of all elements together.
 * @example
 * ```ts
 * const { bytes, count } = measureHeld(1_000, (count) => new Array(count).fill({}));
 * ```
 */
export function measureHeld(
  count: number,
  fill: (count: number) => unknown,
): Held {
  const before = readHeap();
  const startedAt = performance.now();
  const state = fill(count);
  const fillUs = (performance.now() - startedAt) * MICROSECONDS_PER_MS;
  const bytes = readHeap() - before;
  // Used after the measurement, so that it is not collected before.
  return { count, bytes: state === undefined ? 0 : bytes, fillUs };
}

/**
 * Measures a step by repeating it.
 *
 * @param times How often it is run, after a tenth of that as warm-up.
 * @param run The step.
 * @returns Microseconds of one step.
 */
export function measureUs(
  times: number,
  run: (turn: number) => unknown,
): number {
  for (let turn = 0; turn < times / 10; turn += 1) run(turn);
  const startedAt = performance.now();
  for (let turn = 0; turn < times; turn += 1) run(turn);
  return (performance.now() - startedAt) * MICROSECONDS_PER_MS / times;
}

/** Gives the growth for each element between two sizes. */
export function getSlope(small: Held, large: Held): number {
  return (large.bytes - small.bytes) / (large.count - small.count);
}

function readHeap(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
