/**
 * How often each key ran.
 *
 * @module
 */
import type { RunRequest } from "./run.ts";

/** Keys that are remembered; the oldest is dropped beyond that. */
const MAX_KEYS = 500_000;

/** What ran under one key. */
export interface KeyRuns {
  count: number;
  readonly operations: string[];
  readonly digests: string[];
}

/** Counts runs by key, also of calls whose answer was lost. */
export class RunCounts {
  readonly #byKey = new Map<string, KeyRuns>();
  #maxRunsPerKey = 0;
  #total = 0;

  /** The most that any key ran. */
  get maxRunsPerKey(): number {
    return this.#maxRunsPerKey;
  }

  get total(): number {
    return this.#total;
  }

  /** Counts a run as it begins, for from then on it may have acted. */
  add(request: RunRequest): void {
    if (request.key === undefined) return;
    const runs = this.#getRuns(request.key);
    runs.count += 1;
    runs.operations.push(request.operation);
    runs.digests.push(request.digest);
    this.#total += 1;
    this.#maxRunsPerKey = Math.max(this.#maxRunsPerKey, runs.count);
  }

  /** Gives all keys with their runs. */
  getAll(): Record<string, KeyRuns> {
    return Object.fromEntries(this.#byKey);
  }

  /** Iterates over all keys. */
  entries(): IterableIterator<[string, KeyRuns]> {
    return this.#byKey.entries();
  }

  #getRuns(key: string): KeyRuns {
    const known = this.#byKey.get(key);
    if (known) return known;
    if (this.#byKey.size >= MAX_KEYS) {
      const [oldest] = this.#byKey.keys();
      this.#byKey.delete(oldest);
    }
    const runs: KeyRuns = { count: 0, operations: [], digests: [] };
    this.#byKey.set(key, runs);
    return runs;
  }
}
