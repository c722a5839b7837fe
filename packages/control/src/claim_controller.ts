/**
 * Settles claims through the log, with many records per append.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import * as ports from "@sardinestep/ports";
import type * as rpc from "@sardinestep/rpc";
import type * as timeline from "@sardinestep/timeline";
import type { CustomerId } from "@sardinestep/types";
import { match, P } from "ts-pattern";
import { LogTail } from "./log_tail.ts";

/** A record takes a few hundred bytes. */
const MAX_RECORDS_PER_APPEND = 500;
const MAX_BYTES_PER_APPEND = 256 * 1_024;
/**
 * How long outcomes wait to share an append with the next claim. A longer wait
 * would lose more outcomes when the control process crashes.
 */
const DEFERRED_LINGER_MS = 100;
/** An append that takes longer counts as lost; its records are sent again. */
const APPEND_TIMEOUT_MS = 2_000;
/** Pause after a failed append, so that retries do not overload the log. */
const RETRY_PAUSE_MS = 100;
const UNSETTLED_RETRY_MS = 2_000;
/** Maximum difference between the clock of a VM and the log's. */
const MAX_CLOCK_SKEW_MS = 60_000;
const PRUNE_INTERVAL_MS = 5_000;

/** Settings and dependencies of a {@link ClaimController}. */
export interface ClaimControllerOptions {
  readonly log: ports.LogPort;
  readonly lingerMs: number;
  readonly appendsPerSecond: number;
  readonly keyWindowMs: number;
  readonly timeline: timeline.Timeline;
  readonly count: (name: string, by?: number) => void;
  readonly onReachabilityChange: (isReachable: boolean) => void;
  /** Called with an exception thrown while a record was applied. */
  readonly onRecordError: (error: unknown) => void;
}

type ClaimRequest = Extract<claims.ClaimRecord, { kind: "claim" }>;

interface Waiter {
  readonly record: ClaimRequest;
  readonly resolve: (verdict: rpc.ClaimVerdict) => void;
  readonly timer: NodeJS.Timeout;
}

/** Appends claim records in groups and resolves each claim from the log. */
export class ClaimController {
  readonly #options: ClaimControllerOptions;
  readonly #table: claims.ClaimTable;
  readonly #planner: claims.GroupPlanner;
  readonly #tail: LogTail;
  readonly #waiters = new Map<string, Waiter[]>();
  readonly #pruneTimer: NodeJS.Timeout;
  #appendTimer: NodeJS.Timeout | undefined;
  #logTime = 0;
  /** No append starts before this time, however many records are queued. */
  #pausedUntil = 0;

  constructor(options: ClaimControllerOptions) {
    this.#options = options;
    this.#table = new claims.ClaimTable({
      keyWindowMs: options.keyWindowMs,
      futureSkewMs: MAX_CLOCK_SKEW_MS,
    });
    this.#planner = new claims.GroupPlanner({
      lingerMs: options.lingerMs,
      deferredLingerMs: DEFERRED_LINGER_MS,
      appendsPerSecond: options.appendsPerSecond,
      maxRecords: MAX_RECORDS_PER_APPEND,
      maxBytes: MAX_BYTES_PER_APPEND,
    });
    this.#tail = new LogTail({
      log: options.log,
      stream: claims.CLAIM_STREAM,
      onRecord: (record) => this.#applyRecord(record),
      onEmpty: (firstOffset) => this.#updateLogStart(firstOffset),
      onReachabilityChange: (isReachable) =>
        this.#handleReachability(isReachable),
      onRecordError: options.onRecordError,
    });
    this.#pruneTimer = setInterval(
      () => this.#table.prune(this.#logTime),
      PRUNE_INTERVAL_MS,
    );
  }

  /** Offset of the last record read from the claim stream. */
  get readThrough(): number {
    return this.#tail.readThrough;
  }

  /** Whether the last read of the log was answered. */
  get isReachable(): boolean {
    return this.#tail.isReachable;
  }

  /** Number of records that wait for an append. */
  get queuedRecords(): number {
    return this.#planner.size;
  }

  /** Starts to read the claim stream. */
  start(): void {
    this.#tail.start();
  }

  /** Stops reading and appending; pending claims are reported as unsettled. */
  close(): void {
    this.#tail.close();
    clearInterval(this.#pruneTimer);
    clearTimeout(this.#appendTimer);
    for (const waiters of [...this.#waiters.values()]) {
      for (const waiter of waiters) this.#resolveUnsettled(waiter);
    }
  }

  /**
   * Appends a claim and waits until the log has settled it.
   *
   * While the log is unreachable it reports the claim as unsettled at once: a
   * caller that waited for the end of an outage would miss its deadline.
   */
  claim(
    record: ClaimRequest,
    boundMs: number,
  ): Promise<rpc.ClaimVerdict> {
    const settledVerdict = this.#getVerdict(record);
    if (settledVerdict) return Promise.resolve(settledVerdict);
    if (!this.#tail.isReachable) return Promise.resolve(buildUnsettled());
    return new Promise((resolve) => {
      const waiter: Waiter = {
        record,
        resolve,
        timer: setTimeout(() => this.#resolveUnsettled(waiter), boundMs),
      };
      this.#addWaiter(waiter);
      const added = this.#planner.add(record, performance.now());
      if (added.kind === "refused") return this.#resolveUnsettled(waiter);
      this.#options.count("claims_total");
      this.#appendWhenDue();
    });
  }

  /** Queues releases and outcomes for a later append; returns their number. */
  appendLater(records: readonly claims.ClaimRecord[]): number {
    for (const record of records) this.#planner.add(record, performance.now());
    this.#appendWhenDue();
    return records.length;
  }

  /** Returns the status of a key and the offset up to which it is known. */
  lookUpKey(
    key: string,
    customer?: CustomerId,
  ): rpc.Methods["lookUpKey"]["result"] {
    const readThrough = this.readThrough;
    if (customer !== undefined) {
      const keyId = { customer, key };
      return [{ keyId, status: this.#table.getStatus(keyId), readThrough }];
    }
    return this.#table.findByKey(key).map((found) => ({
      ...found,
      readThrough,
    }));
  }

  /** Returns the sizes of the claim table, for status and metrics. */
  getSizes(): claims.ClaimTableSizes {
    return this.#table.sizes;
  }

  #handleReachability(isReachable: boolean): void {
    this.#options.onReachabilityChange(isReachable);
    if (isReachable) this.#appendWhenDue();
    else this.#resolveAllUnsettled();
  }

  /** Callers must not wait for the end of an outage. */
  #resolveAllUnsettled(): void {
    for (const waiters of [...this.#waiters.values()]) {
      for (const waiter of [...waiters]) this.#resolveUnsettled(waiter);
    }
  }

  /**
   * Prevents reporting a key as free when its claim was trimmed before this
   * process started. An empty page carries no log time, so the VM's clock is
   * used, moved ahead by the maximum clock skew.
   */
  #updateLogStart(firstOffset: number): void {
    if (firstOffset <= this.#table.readThrough + 1) return;
    const time = Date.now() + MAX_CLOCK_SKEW_MS;
    this.#table.updateLogStart({ firstOffset, time });
  }

  #applyRecord(record: ports.LogRecord & { firstOffset: number }): void {
    this.#logTime = Math.max(this.#logTime, record.time);
    const { offset, time, value, firstOffset } = record;
    this.#table.applyGroup({ offset, time }, value, { firstOffset });
    for (const claim of pickClaims(value)) this.#resolveWaiters(claim);
  }

  #resolveWaiters(record: ClaimRequest): void {
    const name = claims.formatClaimId(record.id);
    const waiters = this.#waiters.get(name);
    const verdict = waiters && this.#getVerdict(record);
    if (!waiters || !verdict) return;
    this.#waiters.delete(name);
    for (const waiter of waiters) {
      clearTimeout(waiter.timer);
      waiter.resolve(verdict);
    }
    this.#options.timeline.record(`claim_${verdict.kind}`, {
      key: record.keyId.key,
      customer: record.keyId.customer,
    }, { offset: this.#table.readThrough, claimant: name });
  }

  #getVerdict(record: ClaimRequest): rpc.ClaimVerdict | undefined {
    return match(this.#table.judge(record.id, record.keyId))
      .with("won", () => ({ kind: "won" as const }))
      .with("lost", () => ({
        kind: "lost" as const,
        status: this.#table.getStatus(record.keyId),
      }))
      .with("expired", () => ({ kind: "expired" as const }))
      // Its own claimant has released it: nobody may dispatch under this claim.
      .with("released", () => buildUnsettled())
      .with("unseen", () => undefined)
      .exhaustive();
  }

  #addWaiter(waiter: Waiter): void {
    const name = claims.formatClaimId(waiter.record.id);
    const waiters = this.#waiters.get(name) ?? [];
    waiters.push(waiter);
    this.#waiters.set(name, waiters);
  }

  #resolveUnsettled(waiter: Waiter): void {
    clearTimeout(waiter.timer);
    const name = claims.formatClaimId(waiter.record.id);
    const remaining = this.#waiters.get(name)?.filter((other) =>
      other !== waiter
    );
    if (remaining && remaining.length > 0) this.#waiters.set(name, remaining);
    else this.#waiters.delete(name);
    this.#planner.removeClaim(waiter.record.id);
    this.#options.count("claims_unsettled_total");
    waiter.resolve(buildUnsettled());
  }

  #appendWhenDue(): void {
    clearTimeout(this.#appendTimer);
    if (!this.#tail.isReachable) return;
    const now = performance.now();
    if (now < this.#pausedUntil) return this.#appendAt(this.#pausedUntil, now);
    const plan = this.#planner.planNext(now);
    match(plan)
      .with({ kind: "append" }, ({ records }) => void this.#append(records))
      .with({ kind: "wait", untilMs: Infinity }, () => {})
      .with(
        { kind: "wait", untilMs: P.number },
        ({ untilMs }) => this.#appendAt(untilMs, now),
      )
      .exhaustive();
  }

  #appendAt(untilMs: number, now: number): void {
    this.#appendTimer = setTimeout(() => this.#appendWhenDue(), untilMs - now);
  }

  async #append(records: readonly claims.ClaimRecord[]): Promise<void> {
    const group: claims.ClaimGroup = { kind: "group", records };
    this.#options.count("appends_total");
    this.#options.count("appended_records_total", records.length);
    const receipt = await this.#options.log.append(
      claims.CLAIM_STREAM,
      group,
      { timeoutMs: APPEND_TIMEOUT_MS },
    );
    this.#planner.handleAppendEnded();
    if (receipt.isOk()) {
      this.#tail.applyAppended(receipt.value, group);
      return this.#appendWhenDue();
    }
    this.#options.count("append_errors_total");
    this.#requeue(records);
    const pauseMs = receipt.error.retryAfterMs ?? RETRY_PAUSE_MS;
    this.#pausedUntil = performance.now() + pauseMs;
    this.#appendWhenDue();
  }

  /**
   * Queues the records of a failed append again. If only the answer was lost,
   * they are in the log already; applying a duplicate has no effect. A claim
   * without waiters was abandoned and is not sent again.
   */
  #requeue(records: readonly claims.ClaimRecord[]): void {
    const now = performance.now();
    for (const record of records) {
      const isAbandoned = record.kind === "claim" &&
        !this.#waiters.has(claims.formatClaimId(record.id));
      if (!isAbandoned) this.#planner.add(record, now);
    }
  }
}

function buildUnsettled(): rpc.ClaimVerdict {
  return { kind: "unsettled", retryAfterMs: UNSETTLED_RETRY_MS };
}

/** Picks claims that may have waiters; the claim table has checked the rest. */
function pickClaims(value: unknown): readonly ClaimRequest[] {
  const group = value as Partial<claims.ClaimGroup> | null;
  if (!Array.isArray(group?.records)) return [];
  return group.records.filter((record): record is ClaimRequest =>
    record?.kind === "claim" && typeof record.id?.instance === "string"
  );
}
