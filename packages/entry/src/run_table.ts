/**
 * Which entry runs a key at this moment, as its first holder knows it.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId } from "@sardinestep/types";
import { LRUCache } from "lru-cache";

/** Bounds and clock of a {@link RunTable}. */
export interface RunTableOptions {
  /** Runs remembered at once; beyond it the least recent is forgotten. */
  readonly maxRuns: number;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
}

interface Run {
  readonly runner: InstanceId;
  readonly untilMs: number;
}

/**
 * Spares the second run of a repeatable request that a caller sent through two
 * entries, and with it the bill of its stages.
 *
 * It is advice, kept in memory: what it forgets costs a second run at the worst.
 * Calls that may not be repeated do not rest on it but on their claims.
 *
 * @example
 * ```ts
 * runs.begin({ keyId, runner: "i-1", runInMs: 800 }); // undefined: i-1 runs it
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
   * Notes that an entry runs a key, unless another one does.
   *
   * @param params Key, entry, and how long it may run.
   * @returns The other entry that runs it; undefined when the asker may.
   */
  begin(params: rpc.FindResultsParams): InstanceId | undefined {
    const name = results.formatKeyId(params.keyId);
    const now = this.#readNow();
    const known = this.#runs.get(name);
    const isRunElsewhere = known && known.untilMs > now &&
      known.runner !== params.runner;
    if (isRunElsewhere) return known.runner;
    const untilMs = now + params.runInMs;
    this.#runs.set(name, { runner: params.runner, untilMs });
    return undefined;
  }

  /** Notes that an entry runs a key no longer. */
  end(keyId: claims.KeyId, runner: InstanceId): void {
    const name = results.formatKeyId(keyId);
    if (this.#runs.get(name)?.runner === runner) this.#runs.delete(name);
  }
}
