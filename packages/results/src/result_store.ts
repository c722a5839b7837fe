/**
 * In-memory store of stage results that an entry keeps for itself and for
 * others.
 *
 * @module
 */
import type { StageResult } from "@sardinestep/types";
import { Heap } from "heap-js";
import { formatKeyId, type ResultKey } from "./holders.ts";

/** Limits of a {@link ResultStore}. */
export interface ResultStoreOptions {
  /** Maximum number of stage results. */
  readonly maxEntries: number;
  /** Maximum total size of the results as JSON. */
  readonly maxBytes: number;
}

/** Why a result was not stored, or was removed. */
export const DROP_REASON = {
  /** Arrived after its expiry time; the deadline has passed. */
  late: "late",
  /** A result of the same stage is stored already; the first one is kept. */
  duplicate: "duplicate",
  /** Belongs to another customer, key or stage. */
  mismatched: "mismatched",
  /** Larger than the byte limit of the store. */
  oversized: "oversized",
  /** Removed at its expiry time. */
  expired: "expired",
  /** Removed before its expiry time to stay within the limits. */
  evicted: "evicted",
} as const;
export type DropReason = (typeof DROP_REASON)[keyof typeof DROP_REASON];

/** The request that results must belong to. */
export interface ExpectedResults {
  readonly keyId: ResultKey;
  /** Names of the pipeline's stages, in order. */
  readonly stageNames: readonly string[];
}

interface StoredResult {
  readonly result: StageResult;
  readonly keyText: string;
  readonly expiresAtMs: number;
  readonly bytes: number;
}

/**
 * Stores the results of finished stages, so that they outlive the entry that
 * ran them.
 *
 * Limited in number and bytes. The result that expires first is evicted first:
 * its caller has the least time left to request it again.
 *
 * @example
 * ```ts
 * store.keep(result, now + 60_000, now);
 * store.find({ customer, key }, now);
 * ```
 */
export class ResultStore {
  readonly #options: ResultStoreOptions;
  readonly #byKey = new Map<string, Map<number, StoredResult>>();
  readonly #byExpiry = new Heap<StoredResult>((left, right) =>
    left.expiresAtMs - right.expiresAtMs
  );
  readonly #drops: Record<DropReason, number> = {
    late: 0,
    duplicate: 0,
    mismatched: 0,
    oversized: 0,
    expired: 0,
    evicted: 0,
  };
  #bytes = 0;

  /** @param options Limits in number and bytes. */
  constructor(options: ResultStoreOptions) {
    this.#options = options;
  }

  /** Number of stored results. */
  get size(): number {
    return this.#byExpiry.length;
  }

  /** Size of the stored results as JSON, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of results dropped so far, by reason. */
  get drops(): Readonly<Record<DropReason, number>> {
    return this.#drops;
  }

  /**
   * Stores the result of a finished stage.
   *
   * @param result The result with the customer and key that it belongs to.
   * @param expiresAtMs When it expires, on the clock of `now`.
   * @param now Monotonic milliseconds.
   * @returns Why it was not stored; undefined if it was.
   */
  keep(
    result: StageResult,
    expiresAtMs: number,
    now: number,
  ): DropReason | undefined {
    this.#dropExpired(now);
    const bytes = Buffer.byteLength(JSON.stringify(result));
    const keyText = formatKeyId(result);
    const reason = this.#checkResult(result, {
      expiresAtMs,
      now,
      bytes,
      keyText,
    });
    if (reason !== undefined) {
      this.#drops[reason] += 1;
      return reason;
    }
    const kept = { result, keyText, expiresAtMs, bytes };
    this.#add(kept);
    this.#dropToFit();
    return this.#has(kept) ? undefined : DROP_REASON.evicted;
  }

  #checkResult(
    result: StageResult,
    candidate: {
      readonly expiresAtMs: number;
      readonly now: number;
      readonly bytes: number;
      readonly keyText: string;
    },
  ): DropReason | undefined {
    if (candidate.expiresAtMs <= candidate.now) return DROP_REASON.late;
    if (candidate.bytes > this.#options.maxBytes) return DROP_REASON.oversized;
    const existing = this.#byKey.get(candidate.keyText)?.get(result.stage);
    if (existing === undefined) return undefined;
    const isSameStage = existing.result.stageName === result.stageName;
    return isSameStage ? DROP_REASON.duplicate : DROP_REASON.mismatched;
  }

  /**
   * Finds the stored results of a key, in stage order.
   *
   * @param keyId Customer and key; both must match.
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
   * Returns the results that belong to a request, at most one per stage, and
   * counts the others as dropped.
   *
   * Prevents delivering stage output to the wrong caller when another process
   * answers a different request: customer, key and stage of every result are
   * checked against the request.
   *
   * @param results Results received from another entry.
   * @param expected Key and stages of the request.
   */
  pickExpected(
    results: readonly StageResult[],
    expected: ExpectedResults,
  ): StageResult[] {
    const byStage = new Map<number, StageResult>();
    for (const result of results) {
      if (!isExpected(result, expected)) this.#drops.mismatched += 1;
      else if (byStage.has(result.stage)) this.#drops.duplicate += 1;
      else byStage.set(result.stage, result);
    }
    return [...byStage.values()]
      .sort((left, right) => left.stage - right.stage);
  }

  #add(kept: StoredResult): void {
    const byStage = this.#byKey.get(kept.keyText) ?? new Map();
    byStage.set(kept.result.stage, kept);
    this.#byKey.set(kept.keyText, byStage);
    this.#byExpiry.push(kept);
    this.#bytes += kept.bytes;
  }

  #has(kept: StoredResult): boolean {
    return this.#byKey.get(kept.keyText)?.get(kept.result.stage) === kept;
  }

  #dropExpired(now: number): void {
    for (;;) {
      const first = this.#byExpiry.peek();
      if (first === undefined || first.expiresAtMs > now) return;
      this.#dropFirst(DROP_REASON.expired);
    }
  }

  #dropToFit(): void {
    const { maxEntries, maxBytes } = this.#options;
    while (this.size > maxEntries || this.#bytes > maxBytes) {
      this.#dropFirst(DROP_REASON.evicted);
    }
  }

  #dropFirst(reason: DropReason): void {
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
