/**
 * When claim records are appended, and which of them go together.
 *
 * Load: every non-repeatable call of an entry waits for one append, and the log
 * service takes a few hundred appends a second from all VMs together. Harm
 * prevented: one append for each call would use that up, and an outage would
 * let memory grow.
 *
 * @module
 */
import { formatClaimId } from "./key_claims.ts";
import type { ClaimId, ClaimRecord } from "./record.ts";

/** Limits of a {@link GroupPlanner}. */
export interface GroupPlannerOptions {
  /** How long a record waits for company, in milliseconds. */
  readonly lingerMs: number;
  /**
   * How long releases and outcomes wait for a claim to go with, in milliseconds;
   * by default as long as claims. Each append of their own makes claims wait.
   */
  readonly laterLingerMs?: number;
  /** This process's share of the appends that the log takes. */
  readonly appendsPerSecond: number;
  /** Records in one append; four at least, so that a part is free for outcomes. */
  readonly maxRecords: number;
  /** Bytes of JSON in one append. */
  readonly maxBytes: number;
  /** Claims that may wait, and as many releases and outcomes. */
  readonly maxQueued?: number;
  /** Appends under way at once. */
  readonly maxOutstanding?: number;
}

/** What {@link GroupPlanner.add} did with a record. */
export type AddVerdict =
  | { readonly kind: "queued" }
  /** Claims only: too many wait, or it is too large. */
  | { readonly kind: "refused"; readonly retryAfterMs: number };

/** What to do next. */
export type GroupPlan =
  /** Nothing before that moment, unless a record or an answer comes. */
  | { readonly kind: "wait"; readonly untilMs: number }
  | { readonly kind: "append"; readonly records: readonly ClaimRecord[] };

interface QueuedRecord {
  readonly record: ClaimRecord;
  readonly addedAt: number;
  readonly bytes: number;
}

/** About a second of claims at the size of today, waiting for a slow log. */
const DEFAULT_MAX_QUEUED = 2_000;
/** One at a time: what comes meanwhile makes the next group larger. */
const DEFAULT_MAX_OUTSTANDING = 1;
/**
 * Part of a full group that releases and outcomes may always use: a flood of
 * claims must not keep outcomes out of the log.
 */
const LATER_SHARE = 0.25;
const MS_PER_SECOND = 1_000;

/**
 * Plans group appends; a token bucket of one token spaces them.
 *
 * @example
 * ```ts
 * planner.add(record, now);
 * const plan = planner.planNext(now);
 * if (plan.kind === "append") await append(plan.records);
 * planner.handleAppended();
 * ```
 */
export class GroupPlanner {
  readonly #options: Required<GroupPlannerOptions>;
  readonly #claims: QueuedRecord[] = [];
  /** Releases and outcomes: nobody waits for them. */
  readonly #later: QueuedRecord[] = [];
  /** Bytes that wait in both queues. */
  #bytes = 0;
  #outstanding = 0;
  #nextAppendAt = Number.NEGATIVE_INFINITY;
  #droppedCount = 0;

  constructor(options: GroupPlannerOptions) {
    this.#options = {
      maxQueued: DEFAULT_MAX_QUEUED,
      maxOutstanding: DEFAULT_MAX_OUTSTANDING,
      laterLingerMs: options.lingerMs,
      ...options,
    };
  }

  /** Records that wait. */
  get size(): number {
    return this.#claims.length + this.#later.length;
  }

  /** Releases and outcomes that were dropped by {@link add}. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Adds a record to the queue.
   *
   * A claim is refused when the queue is full: its caller gets a truthful "not
   * run" at once. Releases and outcomes are taken and the least needed one is
   * dropped instead. Each of these drops is safe, and costs only an answer:
   * an `unknown` outcome says no more than the held claim does; without its
   * release a key stays held, which callers are told as unknown; without
   * `completed` a repeat is told unknown unless an entry's memory has the
   * answer.
   *
   * @param record The record.
   * @param now The time by the clock that {@link planNext} is given.
   * @returns Whether the record waits.
   */
  add(record: ClaimRecord, now: number): AddVerdict {
    if (record.kind === "claim") return this.#addClaim(record, now);
    const queued = buildQueued(this.#dropAnswer(record), now);
    this.#later.push(queued);
    this.#bytes += queued.bytes;
    if (this.#later.length > this.#options.maxQueued) this.#dropLater();
    return { kind: "queued" };
  }

  /**
   * Takes out a claim that has not been appended yet.
   *
   * @param id The claim, which its claimant has given up.
   * @returns Whether it was still waiting; if so it will never be in the log.
   */
  removeClaim(id: ClaimId): boolean {
    const name = formatClaimId(id);
    const isIt = (queued: QueuedRecord) =>
      formatClaimId(queued.record.id) === name;
    const index = this.#claims.findIndex(isIt);
    if (index < 0) return false;
    const [removed] = this.#claims.splice(index, 1);
    this.#bytes -= removed.bytes;
    return true;
  }

  /**
   * Plans the next append. Records in an `append` have left the queue: the
   * caller appends them, then calls {@link handleAppended} whatever came of it.
   *
   * @param now The time.
   * @returns What to append now, or until when to wait.
   */
  planNext(now: number): GroupPlan {
    if (this.size === 0) return { kind: "wait", untilMs: Infinity };
    if (this.#outstanding >= this.#options.maxOutstanding) {
      return { kind: "wait", untilMs: Infinity };
    }
    const dueAt = Math.max(this.#nextAppendAt, this.#findDueAt());
    if (dueAt > now) return { kind: "wait", untilMs: dueAt };
    this.#outstanding += 1;
    this.#nextAppendAt = now + MS_PER_SECOND / this.#options.appendsPerSecond;
    return { kind: "append", records: this.#buildGroup() };
  }

  /** An append has ended, well or not; the next one may go. */
  handleAppended(): void {
    this.#outstanding = Math.max(0, this.#outstanding - 1);
  }

  #addClaim(record: ClaimRecord, now: number): AddVerdict {
    const { appendsPerSecond, lingerMs, maxBytes, maxQueued, maxRecords } =
      this.#options;
    const queued = buildQueued(record, now);
    if (this.#claims.length < maxQueued && queued.bytes <= maxBytes) {
      this.#claims.push(queued);
      this.#bytes += queued.bytes;
      return { kind: "queued" };
    }
    const groups = Math.ceil(this.#claims.length / maxRecords);
    const retryAfterMs = lingerMs + groups * MS_PER_SECOND / appendsPerSecond;
    return { kind: "refused", retryAfterMs };
  }

  /** An answer too large for a group is left out; that it completed is kept. */
  #dropAnswer(record: ClaimRecord): ClaimRecord {
    if (record.kind !== "outcome" || record.answer === undefined) return record;
    if (countBytes(record) <= this.#options.maxBytes) return record;
    const { answer: _dropped, ...rest } = record;
    return rest;
  }

  #dropLater(): void {
    this.#droppedCount += 1;
    const ranks = this.#later.map(({ record }) => getNeed(record));
    const least = Math.min(...ranks);
    const [dropped] = this.#later.splice(ranks.indexOf(least), 1);
    this.#bytes -= dropped.bytes;
  }

  #findDueAt(): number {
    if (this.#isGroupFull()) return Number.NEGATIVE_INFINITY;
    const { laterLingerMs, lingerMs } = this.#options;
    return Math.min(
      (this.#claims[0]?.addedAt ?? Infinity) + lingerMs,
      (this.#later[0]?.addedAt ?? Infinity) + laterLingerMs,
    );
  }

  #isGroupFull(): boolean {
    const { maxBytes, maxRecords } = this.#options;
    return this.size >= maxRecords || this.#bytes >= maxBytes;
  }

  #buildGroup(): ClaimRecord[] {
    const { maxBytes, maxRecords } = this.#options;
    const share = this.#later.length > 0 ? LATER_SHARE : 0;
    const laterRecords = Math.floor(maxRecords * share);
    const claims = removeWithin(this.#claims, {
      records: maxRecords - Math.min(this.#later.length, laterRecords),
      bytes: maxBytes * (1 - share),
      atLeastOne: true,
    });
    const later = removeWithin(this.#later, {
      records: maxRecords - claims.length,
      bytes: maxBytes - countAll(claims),
      atLeastOne: claims.length === 0,
    });
    const group = [...claims, ...later];
    this.#bytes -= countAll(group);
    return group.map(({ record }) => record);
  }
}

function buildQueued(record: ClaimRecord, addedAt: number): QueuedRecord {
  return { record, addedAt, bytes: countBytes(record) };
}

function countBytes(record: ClaimRecord): number {
  return Buffer.byteLength(JSON.stringify(record));
}

function countAll(queue: readonly QueuedRecord[]): number {
  return queue.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** How much one group may still take. */
interface GroupBudget {
  readonly records: number;
  readonly bytes: number;
  /** Whether a record larger than the budget goes alone, or it would stay. */
  readonly atLeastOne: boolean;
}

/** Removes records from the front of a queue while they fit. */
function removeWithin(
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

/** The lower, the sooner a record may be dropped. */
function getNeed(record: ClaimRecord): number {
  if (record.kind === "outcome" && record.outcome === "unknown") return 0;
  return record.kind === "release" ? 1 : 2;
}
