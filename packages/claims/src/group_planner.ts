/**
 * Group commit of claim records: schedules appends and batches records into them.
 *
 * Every non-repeatable call of an entry waits for an append, and the log service
 * accepts only a few hundred appends a second from all VMs together. One append
 * per call would exhaust that rate. The queues are bounded so that an outage of
 * the log can't exhaust memory.
 *
 * @module
 */
import { formatClaimId } from "./key_claims.ts";
import type { ClaimId, ClaimRecord } from "./record.ts";

/** Options of a {@link GroupPlanner}. */
export interface GroupPlannerOptions {
  /** How long a claim waits for more records to join its group. */
  readonly lingerMs: number;
  /**
   * How long releases and outcomes wait to share an append with a claim, because
   * each append without a claim delays claims. Defaults to `lingerMs`.
   */
  readonly deferredLingerMs?: number;
  /** This process's share of the log's append rate. */
  readonly appendsPerSecond: number;
  /** Maximum records in one append; at least 4, to leave a slot for outcomes. */
  readonly maxRecords: number;
  /** Maximum bytes of JSON in one append. */
  readonly maxBytes: number;
  /** Maximum queued claims; releases and outcomes have the same limit together. */
  readonly maxQueued?: number;
  /** Maximum concurrent appends. */
  readonly maxInFlight?: number;
}

/** Result of {@link GroupPlanner.add}. */
export type AddResult =
  | { readonly kind: "queued" }
  /** Claims only: the queue is full, or the claim is too large. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** Result of {@link GroupPlanner.planNext}. */
export type AppendPlan =
  /** Nothing to append until then, unless a record is added or an append ends. */
  | { readonly kind: "wait"; readonly untilMs: number }
  | { readonly kind: "append"; readonly records: readonly ClaimRecord[] };

interface QueuedRecord {
  readonly record: ClaimRecord;
  readonly addedAt: number;
  readonly bytes: number;
}

/** About one second of claims at the current load, while the log is slow. */
const DEFAULT_MAX_QUEUED = 2_000;
/** One at a time: records that arrive meanwhile make the next group larger. */
const DEFAULT_MAX_IN_FLIGHT = 1;
/**
 * Share of a full group reserved for releases and outcomes, so that a flood of
 * claims can't keep outcomes out of the log.
 */
const MIN_DEFERRED_SHARE = 0.25;
const MS_PER_SECOND = 1_000;

/**
 * Plans group appends, spaced by a token bucket of one token.
 *
 * @example
 * ```ts
 * planner.add(record, now);
 * const plan = planner.planNext(now);
 * if (plan.kind === "append") await append(plan.records);
 * planner.handleAppendEnded();
 * ```
 */
export class GroupPlanner {
  readonly #options: Required<GroupPlannerOptions>;
  readonly #claims: QueuedRecord[] = [];
  /** Releases and outcomes; no caller waits for them. */
  readonly #deferred: QueuedRecord[] = [];
  /** Total bytes in both queues. */
  #queuedBytes = 0;
  #inFlight = 0;
  #nextAppendAt = Number.NEGATIVE_INFINITY;
  #droppedCount = 0;

  constructor(options: GroupPlannerOptions) {
    this.#options = {
      maxQueued: DEFAULT_MAX_QUEUED,
      maxInFlight: DEFAULT_MAX_IN_FLIGHT,
      deferredLingerMs: options.lingerMs,
      ...options,
    };
  }

  /** Number of queued records. */
  get size(): number {
    return this.#claims.length + this.#deferred.length;
  }

  /** Number of releases and outcomes dropped by {@link add}. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Adds a record to the queue.
   *
   * A claim is refused if the queue is full; its caller is answered "not run" at
   * once, which is true. Releases and outcomes are always queued; if their queue
   * is full, the least important one is dropped. A drop is safe and costs only an
   * answer: an `unknown` outcome adds nothing to the held claim; without its
   * release a key stays held, which callers see as unknown; without `completed` a
   * repeat is answered `unknown` unless an entry still has the answer in memory.
   *
   * @param record The record.
   * @param now The time by the same clock as for {@link planNext}.
   * @returns Whether the record was queued.
   */
  add(record: ClaimRecord, now: number): AddResult {
    if (record.kind === "claim") return this.#addClaim(record, now);
    const queued = buildQueued(this.#dropOversizedAnswer(record), now);
    this.#deferred.push(queued);
    this.#queuedBytes += queued.bytes;
    if (this.#deferred.length > this.#options.maxQueued) this.#dropDeferred();
    return { kind: "queued" };
  }

  /**
   * Removes a claim that its claimant has given up from the queue.
   *
   * @param id The claim.
   * @returns Whether it was still queued; if so, it will never be in the log.
   */
  removeClaim(id: ClaimId): boolean {
    const claimKey = formatClaimId(id);
    const isRequested = (queued: QueuedRecord) =>
      formatClaimId(queued.record.id) === claimKey;
    const index = this.#claims.findIndex(isRequested);
    if (index < 0) return false;
    const [removed] = this.#claims.splice(index, 1);
    this.#queuedBytes -= removed.bytes;
    return true;
  }

  /**
   * Plans the next append. Records of an `append` are removed from the queue; the
   * caller appends them, then calls {@link handleAppendEnded} whether or not the
   * append succeeded.
   *
   * @param now The time.
   * @returns The records to append now, or how long to wait.
   */
  planNext(now: number): AppendPlan {
    if (this.size === 0) return { kind: "wait", untilMs: Infinity };
    if (this.#inFlight >= this.#options.maxInFlight) {
      return { kind: "wait", untilMs: Infinity };
    }
    const dueAt = Math.max(this.#nextAppendAt, this.#findDueAt());
    if (dueAt > now) return { kind: "wait", untilMs: dueAt };
    this.#inFlight += 1;
    this.#nextAppendAt = now + MS_PER_SECOND / this.#options.appendsPerSecond;
    return { kind: "append", records: this.#buildGroup() };
  }

  /** Ends an append, successful or not, so that the next one may start. */
  handleAppendEnded(): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
  }

  #addClaim(record: ClaimRecord, now: number): AddResult {
    const { appendsPerSecond, lingerMs, maxBytes, maxQueued, maxRecords } =
      this.#options;
    const queued = buildQueued(record, now);
    if (this.#claims.length < maxQueued && queued.bytes <= maxBytes) {
      this.#claims.push(queued);
      this.#queuedBytes += queued.bytes;
      return { kind: "queued" };
    }
    const groups = Math.ceil(this.#claims.length / maxRecords);
    const retryAfterMs = lingerMs + groups * MS_PER_SECOND / appendsPerSecond;
    return { kind: "refused", retryAfterMs };
  }

  /** Omits an answer that is too large for a group, but keeps the outcome. */
  #dropOversizedAnswer(record: ClaimRecord): ClaimRecord {
    if (record.kind !== "outcome" || record.answer === undefined) return record;
    if (countBytes(record) <= this.#options.maxBytes) return record;
    const { answer: _answer, ...rest } = record;
    return rest;
  }

  #dropDeferred(): void {
    this.#droppedCount += 1;
    const priorities = this.#deferred.map(({ record }) =>
      getKeepPriority(record)
    );
    const lowest = Math.min(...priorities);
    const [dropped] = this.#deferred.splice(priorities.indexOf(lowest), 1);
    this.#queuedBytes -= dropped.bytes;
  }

  #findDueAt(): number {
    if (this.#isGroupFull()) return Number.NEGATIVE_INFINITY;
    const { deferredLingerMs, lingerMs } = this.#options;
    return Math.min(
      (this.#claims[0]?.addedAt ?? Infinity) + lingerMs,
      (this.#deferred[0]?.addedAt ?? Infinity) + deferredLingerMs,
    );
  }

  #isGroupFull(): boolean {
    const { maxBytes, maxRecords } = this.#options;
    return this.size >= maxRecords || this.#queuedBytes >= maxBytes;
  }

  #buildGroup(): ClaimRecord[] {
    const { maxBytes, maxRecords } = this.#options;
    const deferredShare = this.#deferred.length > 0 ? MIN_DEFERRED_SHARE : 0;
    const minDeferredRecords = Math.floor(maxRecords * deferredShare);
    const claims = removeFitting(this.#claims, {
      records: maxRecords - Math.min(this.#deferred.length, minDeferredRecords),
      bytes: maxBytes * (1 - deferredShare),
      atLeastOne: true,
    });
    const deferred = removeFitting(this.#deferred, {
      records: maxRecords - claims.length,
      bytes: maxBytes - countTotalBytes(claims),
      atLeastOne: claims.length === 0,
    });
    const group = [...claims, ...deferred];
    this.#queuedBytes -= countTotalBytes(group);
    return group.map(({ record }) => record);
  }
}

function buildQueued(record: ClaimRecord, addedAt: number): QueuedRecord {
  return { record, addedAt, bytes: countBytes(record) };
}

function countBytes(record: ClaimRecord): number {
  return Buffer.byteLength(JSON.stringify(record));
}

function countTotalBytes(queue: readonly QueuedRecord[]): number {
  return queue.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Remaining capacity of a group. */
interface GroupBudget {
  readonly records: number;
  readonly bytes: number;
  /** Takes the first record even if it exceeds `bytes`, or it would wait forever. */
  readonly atLeastOne: boolean;
}

/** Removes records from the front of a queue while they fit the budget. */
function removeFitting(
  queue: QueuedRecord[],
  budget: GroupBudget,
): QueuedRecord[] {
  let count = 0;
  let bytes = 0;
  while (count < queue.length && count < budget.records) {
    bytes += queue[count].bytes;
    const mayExceed = budget.atLeastOne && count === 0;
    if (bytes > budget.bytes && !mayExceed) break;
    count += 1;
  }
  return queue.splice(0, count);
}

/** Records of the lowest priority are dropped first. */
function getKeepPriority(record: ClaimRecord): number {
  if (record.kind === "outcome" && record.outcome === "unknown") return 0;
  return record.kind === "release" ? 1 : 2;
}
