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
    const { key, operation, digest } = request;
    const known = this.#byKey.get(key);
    if (known) {
      known.count += 1;
      known.operations.push(operation);
      known.digests.push(digest);
    } else {
      this.#dropOldest();
      // Literals, for a push to an empty array makes room for many more.
      const runs = { count: 1, operations: [operation], digests: [digest] };
      this.#byKey.set(key, runs);
    }
    this.#total += 1;
    this.#maxRunsPerKey = Math.max(
      this.#maxRunsPerKey,
      known?.count ?? 1,
    );
  }

  /** Gives all keys with their runs. */
  getAll(): Record<string, KeyRuns> {
    return Object.fromEntries(this.#byKey);
  }

  /** Iterates over all keys. */
  entries(): IterableIterator<[string, KeyRuns]> {
    return this.#byKey.entries();
  }

  #dropOldest(): void {
    if (this.#byKey.size < MAX_KEYS) return;
    const [oldest] = this.#byKey.keys();
    this.#byKey.delete(oldest);
  }
}
