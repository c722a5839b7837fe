/**
 * Folds the claim stream into one status per key; every reader of the same
 * records gets the same result.
 *
 * Relies on the log service: in a stream, times never decrease as offsets grow.
 *
 * @module
 */
import type {
  ApplyGroupOptions,
  ClaimTableOptions,
  ClaimTableSizes,
  CustomerKeyStatus,
  LogPosition,
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

/** The first offset of an untrimmed stream. */
const STREAM_START_OFFSET = 0;

/**
 * About one second of claims (300 groups of 30 claims each); claimants ask for
 * their verdict within seconds.
 */
const MAX_EXPIRED_CLAIMS = 10_000;

/**
 * The state of all keys in the claim stream.
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
  /** Latest claims outside their key's window, to tell their claimants so. */
  readonly #expiredClaims = new Set<string>();
  #readThrough = STREAM_START_OFFSET - 1;
  #latestTime = Number.NEGATIVE_INFINITY;
  /** All records from this log time on were read. */
  #completeSince = Number.NEGATIVE_INFINITY;
  /** Keys with an earlier embedded time may have been pruned. */
  #prunedBefore = Number.NEGATIVE_INFINITY;
  #keyCount = 0;
  #invalidCount = 0;
  #ignoredCount = 0;
  #gapCount = 0;

  constructor(options: ClaimTableOptions) {
    this.#options = { keepMs: options.keyWindowMs, ...options };
    this.#minted = new MintedOutcomes();
  }

  /** The offset of the last record that was applied; -1 before the first. */
  get readThrough(): number {
    return this.#readThrough;
  }

  /** Sizes and counters so far. */
  get sizes(): ClaimTableSizes {
    return {
      keys: this.#keyCount,
      mintedKeys: this.#minted.size,
      bad: this.#invalidCount,
      ignored: this.#ignoredCount,
      gaps: this.#gapCount,
    };
  }

  /**
   * Applies one log record. Records that were applied before are skipped;
   * malformed ones are counted and skipped.
   *
   * @param position Offset and time of the record.
   * @param value The record's value, not yet validated.
   * @param options Without `firstOffset`, a jump in offsets counts as a gap.
   */
  applyGroup(
    position: LogPosition,
    value: unknown,
    options: ApplyGroupOptions = {},
  ): void {
    if (position.offset <= this.#readThrough) return;
    this.#detectGap(position, options.firstOffset ?? position.offset);
    this.#readThrough = position.offset;
    this.#latestTime = Math.max(this.#latestTime, position.time);
    const group = parseGroup(value);
    if (group.isErr()) {
      this.#invalidCount += 1;
      return;
    }
    this.#invalidCount += group.value.invalidCount;
    for (const record of group.value.records) {
      this.#applyRecord(record, position.time);
    }
  }

  /**
   * Updates where the log starts after trimming. Needed when a read returns no
   * records; else a new reader of an emptied log would report old keys as free.
   *
   * @param logStart The oldest retained offset, and the log's time.
   */
  updateLogStart(
    logStart: { readonly firstOffset: number; readonly time: number },
  ): void {
    const { firstOffset, time } = logStart;
    this.#latestTime = Math.max(this.#latestTime, time);
    if (firstOffset <= this.#readThrough + 1) return;
    this.#detectGap({ offset: firstOffset, time }, firstOffset);
    this.#readThrough = firstOffset - 1;
  }

  /**
   * Status of a key according to the records read so far.
   *
   * @param keyId Customer and key.
   * @returns Its status; `expired` also if earlier records may have been missed.
   */
  getStatus(keyId: KeyId): KeyStatus {
    const parsed = parseKey(keyId.key);
    if (parsed.isErr()) return { kind: "expired" };
    if (parsed.value.kind === "minted") return this.#minted.getStatus(keyId);
    const status = this.#findEntry(keyId)?.claims.getStatus();
    return this.#confirmFree(status ?? { kind: "free" }, parsed.value.time);
  }

  /**
   * Finds a key under every customer that used it.
   *
   * @param key The key's text.
   * @returns One entry for each customer.
   */
  findByKey(key: string): CustomerKeyStatus[] {
    const entries = this.#keys.get(key)?.values() ?? [];
    const found = [...entries].map(({ keyId, claims, time }) => ({
      keyId,
      status: this.#confirmFree(claims.getStatus(), time),
    }));
    return [...found, ...this.#minted.findByKey(key)];
  }

  /**
   * Judges a claim by the records read so far.
   *
   * @param id The claim.
   * @param keyId The key that it is for.
   * @returns `won` only if no earlier claim of the key can have been missed.
   */
  judge(id: ClaimId, keyId: KeyId): ClaimJudgement {
    const judgement = this.#findEntry(keyId)?.claims.judge(id);
    if (judgement) return judgement;
    if (this.#expiredClaims.has(formatClaimId(id))) return "expired";
    const parsed = parseKey(keyId.key);
    if (parsed.isErr() || parsed.value.kind === "minted") return "expired";
    return this.#isExpired(parsed.value.time) ? "expired" : "unseen";
  }

  /**
   * Deletes keys whose window and `keepMs` have passed, to bound memory.
   *
   * @param logTimeNow The log's time.
   */
  prune(logTimeNow: number): void {
    const { keyWindowMs, keepMs } = this.#options;
    this.#latestTime = Math.max(this.#latestTime, logTimeNow);
    const oldestTime = logTimeNow - keyWindowMs - keepMs;
    if (oldestTime <= this.#prunedBefore) return;
    this.#prunedBefore = oldestTime;
    this.#minted.prune(oldestTime);
    for (const [key, entries] of this.#keys) {
      const [first] = entries.values();
      if (first.time >= oldestTime) continue;
      this.#keyCount -= entries.size;
      this.#keys.delete(key);
    }
  }

  /**
   * Detects records that were trimmed before this reader, new or disconnected,
   * read them. The holder's claim may be among them, and a later claim would look
   * like the first; so claims of keys that may have older claims never win.
   */
  #detectGap(position: LogPosition, firstOffset: number): void {
    const isContiguous = firstOffset <= this.#readThrough + 1;
    if (isContiguous) return;
    this.#gapCount += 1;
    this.#completeSince = position.time;
  }

  #applyRecord(record: ClaimRecord, time: number): void {
    const parsed = parseKey(record.keyId.key);
    if (parsed.isErr()) {
      this.#invalidCount += 1;
      return;
    }
    const isApplied = match<ParsedKey, boolean>(parsed.value)
      .with(
        { kind: "minted" },
        ({ instance }) => this.#minted.apply(record, { instance, time }),
      )
      .with(
        { kind: "uuidv7" },
        (key) => this.#applyToKey(record, { time, keyTime: key.time }),
      )
      .exhaustive();
    if (!isApplied) this.#ignoredCount += 1;
  }

  #applyToKey(
    record: ClaimRecord,
    { time, keyTime }: { time: number; keyTime: number },
  ): boolean {
    // A key that may have been pruned must not be claimed again.
    const isPruned = keyTime < this.#prunedBefore;
    if (isPruned || !this.#isInWindow(time - keyTime, record.kind)) {
      if (record.kind === "claim") this.#addExpiredClaim(record.id);
      return false;
    }
    const claims = this.#getEntry(record.keyId, keyTime).claims;
    const isHistoryComplete = this.#isHistoryComplete(keyTime);
    return match(record)
      .with(
        { kind: "claim" },
        ({ id, fingerprint }) =>
          claims.addClaim({ id, fingerprint, isHistoryComplete }),
      )
      .with({ kind: "release" }, ({ id }) => claims.addRelease(id))
      .with({ kind: "outcome" }, (outcome) => claims.addOutcome(outcome))
      .exhaustive();
  }

  /**
   * A claim is valid only inside the key's window, by the log's time: the window
   * is shorter than the log's retention, so an earlier claim is still readable
   * when a later one is judged. Releases and outcomes are accepted for `keepMs`
   * longer; they end a claim or record its outcome, but never start one.
   */
  #isInWindow(ageMs: number, kind: ClaimRecord["kind"]): boolean {
    const { futureSkewMs, keyWindowMs, keepMs } = this.#options;
    const limit = kind === "claim" ? keyWindowMs : keyWindowMs + keepMs;
    return ageMs >= -futureSkewMs && ageMs <= limit;
  }

  #addExpiredClaim(id: ClaimId): void {
    this.#expiredClaims.add(formatClaimId(id));
    if (this.#expiredClaims.size <= MAX_EXPIRED_CLAIMS) return;
    const [oldestClaim] = this.#expiredClaims;
    this.#expiredClaims.delete(oldestClaim);
  }

  /** Replaces `free` by `expired` if a claim of the key may have been missed. */
  #confirmFree(status: KeyStatus, keyTime: number): KeyStatus {
    if (status.kind !== "free") return status;
    const isConfirmed = this.#isHistoryComplete(keyTime) &&
      !this.#isExpired(keyTime);
    return isConfirmed ? status : { kind: "expired" };
  }

  /** Whether no valid claim of the key can have been missed. */
  #isHistoryComplete(keyTime: number): boolean {
    return keyTime - this.#options.futureSkewMs >= this.#completeSince;
  }

  #isExpired(keyTime: number): boolean {
    const { keyWindowMs } = this.#options;
    if (keyTime < this.#prunedBefore) return true;
    return this.#latestTime - keyTime > keyWindowMs;
  }

  #findEntry(keyId: KeyId): KeyEntry | undefined {
    return this.#keys.get(keyId.key)?.get(keyId.customer);
  }

  #getEntry(keyId: KeyId, time: number): KeyEntry {
    const existing = this.#findEntry(keyId);
    if (existing) return existing;
    const entry = { keyId, time, claims: new KeyClaims() };
    const entries = this.#keys.get(keyId.key) ?? new Map();
    entries.set(keyId.customer, entry);
    this.#keys.set(keyId.key, entries);
    this.#keyCount += 1;
    return entry;
  }
}
