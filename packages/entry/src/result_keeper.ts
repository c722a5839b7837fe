/**
 * Stores stage results in memory on two entries in different failure domains.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import type { InstanceId, MemberFacts, StageResult } from "@sardinestep/types";
import { getResultKey, type RequestContext } from "./context.ts";
import { RunTable } from "./run_table.ts";

const HOLDER_COUNT = 2;
const KEEP_TIMEOUT_MS = 1_000;
/** When a holder takes longer, the stage runs again instead. */
const FIND_TIMEOUT_MS = 300;
/** Memory limit of stored results; leaves half of a small VM's heap free. */
const MAX_BYTES = 64 * 1_048_576;

/** Dependencies and limits of a {@link ResultKeeper}. */
export interface ResultKeeperOptions {
  readonly vmId: string;
  readonly instance: InstanceId;
  readonly peers: rpc.PeerConnections;
  readonly keepMs: number;
  readonly maxEntries: number;
  readonly getMembers: () => readonly MemberFacts[];
  readonly readNow: () => number;
  readonly count: (name: string) => void;
}

/** Sends results to their holders and fetches results from them. */
export class ResultKeeper {
  readonly #options: ResultKeeperOptions;
  readonly #store: results.ResultStore;
  readonly #runs: RunTable;
  #pendingSends = 0;

  constructor(options: ResultKeeperOptions) {
    this.#options = options;
    const { maxEntries, readNow } = options;
    this.#runs = new RunTable({ maxRuns: maxEntries, readNow });
    this.#store = new results.ResultStore({ maxEntries, maxBytes: MAX_BYTES });
  }

  /** Number of results being sent to other entries. */
  get pendingSends(): number {
    return this.#pendingSends;
  }

  /** Number of dropped results by reason. */
  get drops(): Readonly<Record<string, number>> {
    return this.#store.drops;
  }

  /** Stores a result on this entry for `keepMs`, or its own limit if that is less. */
  storeLocally(result: StageResult, keepMs: number): void {
    const now = this.#options.readNow();
    const ttlMs = Math.min(keepMs, this.#options.keepMs);
    this.#store.keep(result, now + ttlMs, now);
  }

  /**
   * Returns the results stored on this entry under a key, and the other entry that
   * runs it. If there is none, the entry named in the parameters becomes the runner.
   */
  findLocal(params: rpc.FindResultsParams): rpc.FoundResults {
    const found = this.#store.find(params.keyId, this.#options.readNow());
    return { results: found, runningAt: this.#runs.begin(params) };
  }

  /** Records that an entry no longer runs a key. */
  recordRunEnd(keyId: claims.KeyId, runner: InstanceId): void {
    this.#runs.end(keyId, runner);
  }

  /** Stores a result on its two holders; this entry may be one of them. */
  keep(result: StageResult): void {
    for (const holder of this.#pickHolders(result)) {
      if (holder.vmId === this.#options.vmId) {
        this.storeLocally(result, this.#options.keepMs);
      } else {
        void this.#send(result, holder);
      }
    }
  }

  /**
   * Fetches the stored results of a request from its holders. Only the first holder
   * decides which entry runs the key, so that all entries get the same answer.
   */
  async findAll(context: RequestContext): Promise<rpc.FoundResults> {
    const keyId = getResultKey(context);
    if (!keyId) return { results: [] };
    const runInMs = context.deadlineAt - this.#options.readNow();
    const params = { keyId, runner: this.#options.instance, runInMs };
    const found = await Promise.all(
      this.#pickHolders(keyId).map((holder) =>
        this.#findAtHolder(params, holder)
      ),
    );
    const stageNames = context.pipeline.stages.map((stage) => stage.name);
    const results = mergeByStage(
      found.map(({ results }) =>
        this.#store.pickExpected(results, { keyId, stageNames })
      ),
    );
    return { results, runningAt: found[0]?.runningAt };
  }

  /** Notifies the first holder that this entry no longer runs a request. */
  endRun(context: RequestContext): void {
    const keyId = getResultKey(context);
    const [holder] = keyId ? this.#pickHolders(keyId) : [];
    if (!keyId || !holder) return;
    const { vmId, instance, peers } = this.#options;
    if (holder.vmId === vmId) return this.recordRunEnd(keyId, instance);
    const params = { keyId, runner: instance };
    const limit = { timeoutMs: KEEP_TIMEOUT_MS };
    void peers.call(holder.entryRpc, "endRun", params, limit);
  }

  #pickHolders(keyId: claims.KeyId): MemberFacts[] {
    const members = this.#options.getMembers();
    return results.pickHolders({ keyId, members, count: HOLDER_COUNT });
  }

  async #send(result: StageResult, holder: MemberFacts): Promise<void> {
    this.#pendingSends += 1;
    const { keepMs, peers } = this.#options;
    const sent = await peers.call(holder.entryRpc, "keepResult", {
      result,
      keepMs,
    }, { timeoutMs: KEEP_TIMEOUT_MS });
    this.#pendingSends -= 1;
    this.#options.count(
      sent.isOk() ? "results_kept_total" : "results_unkept_total",
    );
  }

  async #findAtHolder(
    params: rpc.FindResultsParams,
    holder: MemberFacts,
  ): Promise<rpc.FoundResults> {
    if (holder.vmId === this.#options.vmId) return this.findLocal(params);
    const found = await this.#options.peers.call(
      holder.entryRpc,
      "findResults",
      params,
      { timeoutMs: FIND_TIMEOUT_MS },
    );
    return found.isOk() ? found.value : { results: [] };
  }
}

/** Takes the first result of each stage, since both holders store the same ones. */
function mergeByStage(
  lists: readonly (readonly StageResult[])[],
): StageResult[] {
  const byStage = new Map<number, StageResult>();
  for (const result of lists.flat()) {
    if (!byStage.has(result.stage)) byStage.set(result.stage, result);
  }
  return [...byStage.values()];
}
