/**
 * Counts runs by key.
 *
 * @module
 */
import type { RunRequest } from "./run.ts";

/** Limit of kept keys, above which the oldest is dropped. */
const MAX_KEYS = 500_000;

/** Runs under one key. */
export interface KeyRuns {
  count: number;
  readonly operations: string[];
  readonly digests: string[];
}

/** Counts runs by key, including calls whose answer was lost. */
export class RunCounts {
  readonly #byKey = new Map<string, KeyRuns>();
  #maxRunsPerKey = 0;
  #total = 0;

  /** Highest number of runs of any key. */
  get maxRunsPerKey(): number {
    return this.#maxRunsPerKey;
  }

  get total(): number {
    return this.#total;
  }

  /** Counts a run at its start, because from then on it may have side effects. */
  add(request: RunRequest): void {
    if (request.key === undefined) return;
    const { key, operation, digest } = request;
    const existing = this.#byKey.get(key);
    if (existing) {
      existing.count += 1;
      existing.operations.push(operation);
      existing.digests.push(digest);
    } else {
      this.#dropOldest();
      // Literals, because a push to an empty array reserves space for many more.
      const runs = { count: 1, operations: [operation], digests: [digest] };
      this.#byKey.set(key, runs);
    }
    this.#total += 1;
    this.#maxRunsPerKey = Math.max(
      this.#maxRunsPerKey,
      existing?.count ?? 1,
    );
  }

  /** Returns all keys with their runs. */
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
