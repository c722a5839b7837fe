/**
 * Keeps stage results in memory at two entries in different failure domains.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import * as results from "@sardinestep/results";
import type * as rpc from "@sardinestep/rpc";
import type { MemberFacts, StageResult } from "@sardinestep/types";
import { getResultKey, type RequestContext } from "./context.ts";

const HOLDER_COUNT = 2;
const KEEP_TIMEOUT_MS = 1_000;
/** A holder that takes longer is asked in vain: the stage runs again instead. */
const FIND_TIMEOUT_MS = 300;
/** Memory for kept results; half of a small VM's heap stays free. */
const MAX_BYTES = 64 * 1_048_576;

/** What the keeper works with. */
export interface ResultKeeperOptions {
  readonly vmId: string;
  readonly peers: rpc.Peers;
  readonly keepMs: number;
  readonly maxEntries: number;
  readonly getMembers: () => readonly MemberFacts[];
  readonly readNow: () => number;
  readonly count: (name: string) => void;
}

/** Sends results to their holders and asks holders for results. */
export class ResultKeeper {
  readonly #options: ResultKeeperOptions;
  readonly #store: results.ResultStore;
  #sending = 0;

  constructor(options: ResultKeeperOptions) {
    this.#options = options;
    const { maxEntries } = options;
    this.#store = new results.ResultStore({ maxEntries, maxBytes: MAX_BYTES });
  }

  /** Results on their way to other entries. */
  get sending(): number {
    return this.#sending;
  }

  /** Why results were dropped so far. */
  get drops(): Readonly<Record<string, number>> {
    return this.#store.drops;
  }

  /** Keeps a result that another entry sent. */
  accept(result: StageResult, keepMs: number): void {
    const now = this.#options.readNow();
    const boundMs = Math.min(keepMs, this.#options.keepMs);
    this.#store.keep(result, now + boundMs, now);
  }

  /** Gives what this entry keeps under a key. */
  findHere(keyId: claims.KeyId): StageResult[] {
    return this.#store.find(keyId, this.#options.readNow());
  }

  /** Sends a result to its two holders; this entry may be one of them. */
  keep(result: StageResult): void {
    for (const holder of this.#pickHolders(result)) {
      if (holder.vmId === this.#options.vmId) {
        this.accept(result, this.#options.keepMs);
      } else {
        void this.#send(result, holder);
      }
    }
  }

  /** Asks the holders of a request's results for them. */
  async findAll(context: RequestContext): Promise<StageResult[]> {
    const keyId = getResultKey(context);
    if (!keyId) return [];
    const holders = this.#pickHolders(keyId);
    const found = await Promise.all(
      holders.map((holder) => this.#findAt(keyId, holder)),
    );
    const stageNames = context.pipeline.stages.map((stage) => stage.name);
    return mergeByStage(
      found.map((list) => this.#store.dropForeign(list, { keyId, stageNames })),
    );
  }

  #pickHolders(keyId: claims.KeyId): MemberFacts[] {
    const members = this.#options.getMembers();
    return results.pickHolders({ keyId, members, count: HOLDER_COUNT });
  }

  async #send(result: StageResult, holder: MemberFacts): Promise<void> {
    this.#sending += 1;
    const { keepMs, peers } = this.#options;
    const sent = await peers.call(holder.entryRpc, "keepResult", {
      result,
      keepMs,
    }, { timeoutMs: KEEP_TIMEOUT_MS });
    this.#sending -= 1;
    this.#options.count(
      sent.isOk() ? "results_kept_total" : "results_unkept_total",
    );
  }

  async #findAt(
    keyId: claims.KeyId,
    holder: MemberFacts,
  ): Promise<readonly StageResult[]> {
    if (holder.vmId === this.#options.vmId) return this.findHere(keyId);
    const found = await this.#options.peers.call(
      holder.entryRpc,
      "findResults",
      keyId,
      { timeoutMs: FIND_TIMEOUT_MS },
    );
    return found.isOk() ? found.value : [];
  }
}

/** The first one for each stage stands: two holders have the same results. */
function mergeByStage(
  lists: readonly (readonly StageResult[])[],
): StageResult[] {
  const byStage = new Map<number, StageResult>();
  for (const result of lists.flat()) {
    if (!byStage.has(result.stage)) byStage.set(result.stage, result);
  }
  return [...byStage.values()];
}
