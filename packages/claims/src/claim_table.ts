/**
 * The claim stream folded into one status for each key; every reader of the
 * same records comes to the same one.
 *
 * Assumed of the log service: a stream's times never decrease with its offsets.
 *
 * @module
 */
import type {
  ApplyGroupOptions,
  ClaimTableOptions,
  ClaimTableSizes,
  FoundKey,
  Placement,
} from "./claim_table_options.ts";
import { match } from "ts-pattern";
import { type ClaimJudgement, formatClaimId, KeyClaims } from "./key_claims.ts";
import { type ParsedKey, parseKey } from "./key.ts";
import { MintedOutcomes } from "./minted_outcomes.ts";
import { parseGroup } from "./record_schema.ts";
import type { ClaimId, ClaimRecord, KeyId, KeyStatus } from "./record.ts";

interface KeyEntry {
  readonly keyId: KeyId;
  readonly time: number;
  readonly claims: KeyClaims;
}

/** The offset at which an untrimmed stream begins. */
const STREAM_START = 0;

/** A claimant asks within seconds; 300 groups a second of 30 claims for one. */
const MAX_REFUSED = 10_000;

/**
 * Folds the claim stream.
 *
 * @example
 * ```ts
 * const table = new ClaimTable({ keyWindowMs: 3_600_000, futureSkewMs: 60_000 });
 * table.applyGroup({ offset, time }, value, { firstOffset });
 * table.judge(id, keyId);
 * ```
 */
export class ClaimTable {
  readonly #options: Required<ClaimTableOptions>;
  /** By key text, then by customer. */
  readonly #keys = new Map<string, Map<string, KeyEntry>>();
  readonly #minted: MintedOutcomes;
  /** Names of claims outside their key's window, for their claimants to see. */
  readonly #refused = new Set<string>();
  #readThrough = STREAM_START - 1;
  #latestTime = Number.NEGATIVE_INFINITY;
  /** Records from this log time on were all read. */
  #coveredFrom = Number.NEGATIVE_INFINITY;
  /** Keys with a time before this one may have been forgotten. */
  #prunedThrough = Number.NEGATIVE_INFINITY;
  #keyCount = 0;
  #bad = 0;
  #ignored = 0;
  #gaps = 0;

  constructor(options: ClaimTableOptions) {
    this.#options = { keepMs: options.keyWindowMs, ...options };
    this.#minted = new MintedOutcomes();
  }

  /** The offset of the last record that was applied; -1 before the first. */
  get readThrough(): number {
    return this.#readThrough;
  }

  /** Sizes and counts so far. */
  get sizes(): ClaimTableSizes {
    return {
      keys: this.#keyCount,
      mintedKeys: this.#minted.size,
      bad: this.#bad,
      ignored: this.#ignored,
      gaps: this.#gaps,
    };
  }

  /**
   * Applies one record of the log. Records that were applied already are
   * passed over; what has no known shape is counted and passed over.
   *
   * @param receipt Where and when the log placed the record.
   * @param value The record's value, of any shape.
   * @param options Without `firstOffset` a jump in offsets counts as a gap.
   */
  applyGroup(
    receipt: Placement,
    value: unknown,
    options: ApplyGroupOptions = {},
  ): void {
    if (receipt.offset <= this.#readThrough) return;
    this.#recordGap(receipt, options.firstOffset ?? receipt.offset);
    this.#readThrough = receipt.offset;
    this.#latestTime = Math.max(this.#latestTime, receipt.time);
    const group = parseGroup(value);
    if (group.isErr()) {
      this.#bad += 1;
      return;
    }
    this.#bad += group.value.badCount;
    for (const record of group.value.records) {
      this.#applyRecord(record, receipt.time);
    }
  }

  /**
   * Tells how far back the log can be read; needed when a page has no records,
   * or a new reader of an emptied log would call old keys free.
   *
   * @param reach The oldest offset that the log keeps, and the log's time.
   */
  updateReach(
    reach: { readonly firstOffset: number; readonly time: number },
  ): void {
    const { firstOffset, time } = reach;
    this.#latestTime = Math.max(this.#latestTime, time);
    if (firstOffset <= this.#readThrough + 1) return;
    this.#recordGap({ offset: firstOffset, time }, firstOffset);
    this.#readThrough = firstOffset - 1;
  }

  /**
   * Status of a key as far as the log was read.
   *
   * @param keyId Customer and key.
   * @returns Its status; `expired` also where the log can't be sure to show all.
   */
  getStatus(keyId: KeyId): KeyStatus {
    const parsed = parseKey(keyId.key);
    if (parsed.isErr()) return { kind: "expired" };
    if (parsed.value.kind === "minted") return this.#minted.getStatus(keyId);
    const status = this.#findEntry(keyId)?.claims.getStatus();
    return this.#checkFree(status ?? { kind: "free" }, parsed.value.time);
  }

  /**
   * Finds a key text under every customer that used it.
   *
   * @param key The key's text.
   * @returns A row for each customer.
   */
  findByKey(key: string): FoundKey[] {
    const entries = this.#keys.get(key)?.values() ?? [];
    const found = [...entries].map(({ keyId, claims, time }) => ({
      keyId,
      status: this.#checkFree(claims.getStatus(), time),
    }));
    return [...found, ...this.#minted.findByKey(key)];
  }

  /**
   * Tells how a claim stands as far as the log was read.
   *
   * @param id The claim.
   * @param keyId The key that it is for.
   * @returns `won` only where every earlier claim of the key would be known.
   */
  judge(id: ClaimId, keyId: KeyId): ClaimJudgement {
    const known = this.#findEntry(keyId)?.claims.judge(id);
    if (known) return known;
    if (this.#refused.has(formatClaimId(id))) return "expired";
    const parsed = parseKey(keyId.key);
    if (parsed.isErr() || parsed.value.kind === "minted") return "expired";
    return this.#isExpired(parsed.value.time) ? "expired" : "unseen";
  }

  /**
   * Forgets keys that are out of their window and kept time; bounds memory.
   *
   * @param logTimeNow The log's time.
   */
  prune(logTimeNow: number): void {
    const { keyWindowMs, keepMs } = this.#options;
    this.#latestTime = Math.max(this.#latestTime, logTimeNow);
    const oldest = logTimeNow - keyWindowMs - keepMs;
    if (oldest <= this.#prunedThrough) return;
    this.#prunedThrough = oldest;
    this.#minted.prune(oldest);
    for (const [key, entries] of this.#keys) {
      const [first] = entries.values();
      if (first.time >= oldest) continue;
      this.#keyCount -= entries.size;
      this.#keys.delete(key);
    }
  }

  /**
   * Guards against a reader that was cut off, or new, while records expired:
   * the true holder's claim may be among those it never saw, and a later claim
   * would look like the first. Claims of keys that may have older claims are
   * then never judged won.
   */
  #recordGap(receipt: Placement, firstOffset: number): void {
    const isComplete = firstOffset <= this.#readThrough + 1;
    if (isComplete) return;
    this.#gaps += 1;
    this.#coveredFrom = receipt.time;
  }

  #applyRecord(record: ClaimRecord, time: number): void {
    const parsed = parseKey(record.keyId.key);
    if (parsed.isErr()) {
      this.#bad += 1;
      return;
    }
    const isCounted = match<ParsedKey, boolean>(parsed.value)
      .with(
        { kind: "minted" },
        ({ instance }) => this.#minted.apply(record, { instance, time }),
      )
      .with(
        { kind: "uuidv7" },
        (key) => this.#applyToKey(record, { time, keyTime: key.time }),
      )
      .exhaustive();
    if (!isCounted) this.#ignored += 1;
  }

  #applyToKey(
    record: ClaimRecord,
    { time, keyTime }: { time: number; keyTime: number },
  ): boolean {
    // A key that may have been forgotten must not begin anew.
    const isForgotten = keyTime < this.#prunedThrough;
    if (isForgotten || !this.#isInWindow(time - keyTime, record.kind)) {
      if (record.kind === "claim") this.#addRefused(record.id);
      return false;
    }
    const claims = this.#getEntry(record.keyId, keyTime).claims;
    const isCovered = this.#isCovered(keyTime);
    return match(record)
      .with(
        { kind: "claim" },
        ({ id, fingerprint }) =>
          claims.addClaim({ id, fingerprint, isCovered }),
      )
      .with({ kind: "release" }, ({ id }) => claims.addRelease(id))
      .with({ kind: "outcome" }, (outcome) => claims.addOutcome(outcome))
      .exhaustive();
  }

  /**
   * A claim counts only inside the key's window, by the log's time: the window
   * is shorter than the log's retention, so an earlier claim is still readable
   * when a later one is judged. Releases and outcomes may come later than that;
   * they end or explain a claim and never let one begin.
   */
  #isInWindow(ageMs: number, kind: ClaimRecord["kind"]): boolean {
    const { futureSkewMs, keyWindowMs, keepMs } = this.#options;
    const limit = kind === "claim" ? keyWindowMs : keyWindowMs + keepMs;
    return ageMs >= -futureSkewMs && ageMs <= limit;
  }

  #addRefused(id: ClaimId): void {
    this.#refused.add(formatClaimId(id));
    if (this.#refused.size <= MAX_REFUSED) return;
    const [oldest] = this.#refused;
    this.#refused.delete(oldest);
  }

  /** Says `free` only where a claim of the key could not have been missed. */
  #checkFree(status: KeyStatus, keyTime: number): KeyStatus {
    if (status.kind !== "free") return status;
    const isSure = this.#isCovered(keyTime) && !this.#isExpired(keyTime);
    return isSure ? status : { kind: "expired" };
  }

  /** Whether every claim of the key that may count was read. */
  #isCovered(keyTime: number): boolean {
    return keyTime - this.#options.futureSkewMs >= this.#coveredFrom;
  }

  #isExpired(keyTime: number): boolean {
    const { keyWindowMs } = this.#options;
    if (keyTime < this.#prunedThrough) return true;
    return this.#latestTime - keyTime > keyWindowMs;
  }

  #findEntry(keyId: KeyId): KeyEntry | undefined {
    return this.#keys.get(keyId.key)?.get(keyId.customer);
  }

  #getEntry(keyId: KeyId, time: number): KeyEntry {
    const known = this.#findEntry(keyId);
    if (known) return known;
    const entry = { keyId, time, claims: new KeyClaims() };
    const entries = this.#keys.get(keyId.key) ?? new Map();
    entries.set(keyId.customer, entry);
    this.#keys.set(keyId.key, entries);
    this.#keyCount += 1;
    return entry;
  }
}
