/**
 * Tracks which entry currently runs a key, on the first holder of the key.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId } from "@sardinestep/types";
import { LRUCache } from "lru-cache";

/** Limits and clock of a {@link RunTable}. */
export interface RunTableOptions {
  /** Maximum number of runs; beyond it the least recently used is evicted. */
  readonly maxRuns: number;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
}

interface Run {
  readonly runner: InstanceId;
  readonly untilMs: number;
}

/**
 * Prevents a repeatable request that a caller sent through two entries from running
 * twice, which would bill its stages twice.
 *
 * The table is best effort and in memory: a lost record costs a second run at most.
 * Non-repeatable calls rely on their claims instead.
 *
 * @example
 * ```ts
 * runs.begin({ keyId, runner: "i-1", runInMs: 800 }); // undefined: i-1 may run it
 * runs.begin({ keyId, runner: "i-2", runInMs: 800 }); // "i-1"
 * ```
 */
export class RunTable {
  readonly #readNow: () => number;
  readonly #runs: LRUCache<string, Run>;

  constructor(options: RunTableOptions) {
    this.#readNow = options.readNow;
    this.#runs = new LRUCache({ max: options.maxRuns });
  }

  /**
   * Records that an entry runs a key, unless another one does.
   *
   * @param params Key, entry and maximum duration of the run.
   * @returns The other entry that runs the key; undefined when the given one may.
   */
  begin(params: rpc.FindResultsParams): InstanceId | undefined {
    const keyName = results.formatKeyId(params.keyId);
    const now = this.#readNow();
    const currentRun = this.#runs.get(keyName);
    const isRunningElsewhere = currentRun && currentRun.untilMs > now &&
      currentRun.runner !== params.runner;
    if (isRunningElsewhere) return currentRun.runner;
    const untilMs = now + params.runInMs;
    this.#runs.set(keyName, { runner: params.runner, untilMs });
    return undefined;
  }

  /** Records that an entry no longer runs a key. */
  end(keyId: claims.KeyId, runner: InstanceId): void {
    const keyName = results.formatKeyId(keyId);
    if (this.#runs.get(keyName)?.runner === runner) this.#runs.delete(keyName);
  }
}
