/**
 * Stage results that this entry keeps in memory, for itself and for others.
 *
 * @module
 */
import type { StageResult } from "@sardinestep/types";
import { Heap } from "heap-js";
import { formatKeyId, type ResultKey } from "./holders.ts";

/** Bounds of a {@link ResultStore}. */
export interface ResultStoreOptions {
  /** Stage results kept at most. */
  readonly maxEntries: number;
  /** Size of all kept results as JSON at most, in bytes. */
  readonly maxBytes: number;
}

/** Why a result was not kept, or is kept no longer. */
export const RESULT_DROP = {
  /** Arrived after its time: the deadline has passed. */
  late: "late",
  /** A result of the same stage is kept already; the first one stands. */
  doubled: "doubled",
  /** Belongs to another customer, key or stage. */
  foreign: "foreign",
  /** Larger than the whole store. */
  oversized: "oversized",
  /** Its time had passed. */
  expired: "expired",
  /** Had to make room before its time had passed. */
  evicted: "evicted",
} as const;
export type ResultDrop = (typeof RESULT_DROP)[keyof typeof RESULT_DROP];

/** What results must belong to. */
export interface ExpectedResults {
  readonly keyId: ResultKey;
  /** Names of the pipeline's stages, in order. */
  readonly stageNames: readonly string[];
}

interface KeptResult {
  readonly result: StageResult;
  readonly keyText: string;
  readonly untilMs: number;
  readonly bytes: number;
}

/**
 * Keeps finished stages, so that they outlive the entry that ran them.
 *
 * Bounded in number and bytes. When room is short, what expires first goes first:
 * its caller has the least time left to come back for it.
 *
 * @example
 * ```ts
 * store.keep(result, now + 60_000, now);
 * store.find({ customer, key }, now);
 * ```
 */
export class ResultStore {
  readonly #options: ResultStoreOptions;
  readonly #byKey = new Map<string, Map<number, KeptResult>>();
  readonly #byExpiry = new Heap<KeptResult>((left, right) =>
    left.untilMs - right.untilMs
  );
  readonly #drops: Record<ResultDrop, number> = {
    late: 0,
    doubled: 0,
    foreign: 0,
    oversized: 0,
    expired: 0,
    evicted: 0,
  };
  #bytes = 0;

  /** @param options Bounds in number and bytes. */
  constructor(options: ResultStoreOptions) {
    this.#options = options;
  }

  /** Results kept now. */
  get size(): number {
    return this.#byExpiry.length;
  }

  /** Size of the results kept now as JSON, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** How many results were dropped so far, by reason. */
  get drops(): Readonly<Record<ResultDrop, number>> {
    return this.#drops;
  }

  /**
   * Keeps a finished stage.
   *
   * @param result The result with the customer and key that it belongs to.
   * @param untilMs When it may be forgotten, by the clock of `now`.
   * @param now Monotonic milliseconds.
   * @returns Why it was not kept; undefined when it is.
   */
  keep(
    result: StageResult,
    untilMs: number,
    now: number,
  ): ResultDrop | undefined {
    this.#dropExpired(now);
    const bytes = Buffer.byteLength(JSON.stringify(result));
    const keyText = formatKeyId(result);
    const reason = this.#checkResult(result, { untilMs, now, bytes, keyText });
    if (reason !== undefined) {
      this.#drops[reason] += 1;
      return reason;
    }
    const kept = { result, keyText, untilMs, bytes };
    this.#add(kept);
    this.#dropToFit();
    return this.#has(kept) ? undefined : RESULT_DROP.evicted;
  }

  #checkResult(
    result: StageResult,
    of: {
      readonly untilMs: number;
      readonly now: number;
      readonly bytes: number;
      readonly keyText: string;
    },
  ): ResultDrop | undefined {
    if (of.untilMs <= of.now) return RESULT_DROP.late;
    if (of.bytes > this.#options.maxBytes) return RESULT_DROP.oversized;
    const present = this.#byKey.get(of.keyText)?.get(result.stage);
    if (present === undefined) return undefined;
    const isSameStage = present.result.stageName === result.stageName;
    return isSameStage ? RESULT_DROP.doubled : RESULT_DROP.foreign;
  }

  /**
   * Finds what is kept of a key, by stage.
   *
   * @param keyId Customer and key; both must be the same.
   * @param now Monotonic milliseconds.
   */
  find(keyId: ResultKey, now: number): StageResult[] {
    this.#dropExpired(now);
    const byStage = this.#byKey.get(formatKeyId(keyId));
    if (byStage === undefined) return [];
    return [...byStage.values()]
      .map((kept) => kept.result)
      .sort((left, right) => left.stage - right.stage);
  }

  /**
   * Gives those results that belong to a request, at most one for each stage, and
   * counts the others.
   *
   * Guards against an answer that another process gave to another question: its
   * stage output would be delivered to the wrong caller. Every result carries
   * customer, key and stage, and is checked against the request it is used for.
   *
   * @param results What another entry answered.
   * @param expected The request's key and stages.
   */
  dropForeign(
    results: readonly StageResult[],
    expected: ExpectedResults,
  ): StageResult[] {
    const byStage = new Map<number, StageResult>();
    for (const result of results) {
      if (!isExpected(result, expected)) this.#drops.foreign += 1;
      else if (byStage.has(result.stage)) this.#drops.doubled += 1;
      else byStage.set(result.stage, result);
    }
    return [...byStage.values()]
      .sort((left, right) => left.stage - right.stage);
  }

  #add(kept: KeptResult): void {
    const byStage = this.#byKey.get(kept.keyText) ?? new Map();
    byStage.set(kept.result.stage, kept);
    this.#byKey.set(kept.keyText, byStage);
    this.#byExpiry.push(kept);
    this.#bytes += kept.bytes;
  }

  #has(kept: KeptResult): boolean {
    return this.#byKey.get(kept.keyText)?.get(kept.result.stage) === kept;
  }

  #dropExpired(now: number): void {
    for (;;) {
      const first = this.#byExpiry.peek();
      if (first === undefined || first.untilMs > now) return;
      this.#dropFirst(RESULT_DROP.expired);
    }
  }

  #dropToFit(): void {
    const { maxEntries, maxBytes } = this.#options;
    while (this.size > maxEntries || this.#bytes > maxBytes) {
      this.#dropFirst(RESULT_DROP.evicted);
    }
  }

  #dropFirst(reason: ResultDrop): void {
    const kept = this.#byExpiry.pop();
    if (kept === undefined) return;
    this.#drops[reason] += 1;
    this.#bytes -= kept.bytes;
    const byStage = this.#byKey.get(kept.keyText);
    byStage?.delete(kept.result.stage);
    if (byStage?.size === 0) this.#byKey.delete(kept.keyText);
  }
}

function isExpected(result: StageResult, expected: ExpectedResults): boolean {
  const { keyId, stageNames } = expected;
  return result.customer === keyId.customer && result.key === keyId.key &&
    stageNames[result.stage] === result.stageName;
}
