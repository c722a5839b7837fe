/**
 * Queue of piece groups at a pool, and its order.
 *
 * @module
 */
import type {
  CustomerId,
  EndpointId,
  ServiceId,
  ZoneId,
} from "@sardinestep/types";
import type { ShardId } from "./leaders.ts";

/** The shard that made a group's inputs and stores them. */
export interface InputOwner {
  readonly service: ServiceId;
  readonly shard: ShardId;
}

/** All pieces of one stage of one request. */
export interface PieceGroup {
  readonly requestId: string;
  /** Identifies equal requests. */
  readonly fingerprint: string;
  readonly stage: number;
  readonly pieces: number;
  /** Input key of a first stage. */
  readonly key?: string;
  /** Handles of the results that a later stage reads. */
  readonly inputs: readonly string[];
  readonly resultBytes: number;
  /** Set if the inputs are released as soon as they are read. */
  readonly inputOwner?: InputOwner;
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Customer of the request, if known; shares of contended pools count by it. */
  readonly customer?: CustomerId;
  /**
   * Bytes that don't cross zones if the group is made in a zone: inputs stored
   * there, once for each piece that reads them, and results that are read there.
   */
  readonly localBytes: Readonly<Record<ZoneId, number>>;
  /** Whether endpoints have already completed work for the request. */
  readonly isInvested: boolean;
  /** Latest start with which the request meets its objective. */
  readonly dueAt: number;
  /** Part of the time to the objective that is kept for errors of the forecast, in ms. */
  readonly marginMs?: number;
  /** Latest start that still reaches the caller. */
  readonly expiresAt: number;
  /** Time at which it is dropped if none of its pieces has started. */
  readonly giveUpAt: number;
}

/** A queued group and its pieces that have not been sent. */
export interface QueuedGroup {
  readonly group: PieceGroup;
  readonly queuedAt: number;
  /** Pieces without reserved space. */
  readonly waiting: number[];
  /** Pieces with space reserved at an endpoint that wait for its next call. */
  readonly reserved: Map<EndpointId, number[]>;
  /** Zone in which its first pieces were made. */
  startedIn?: ZoneId;
}

/**
 * Head start of a rank over the next, in milliseconds: about the time to spare of a
 * request that has just arrived. So a less urgent request goes first only if it
 * would otherwise be late.
 */
const RANK_HEAD_START_MS = 500;
/**
 * Delay after which late groups of requests with completed work are due again, in
 * milliseconds. Their results occupy space meanwhile; new requests have up to a
 * second to spare when they are queued.
 */
const LATE_DUE_DELAY_MS = 1_500;

/**
 * Whether a queued group is to be dropped.
 *
 * A group with started pieces continues while its caller waits: dropping it between
 * two of its calls would waste the first one.
 */
export function isGivenUp(queued: QueuedGroup, now: number): boolean {
  const { group, startedIn } = queued;
  return now > (startedIn === undefined ? group.giveUpAt : group.expiresAt);
}

/** Sorts groups by the order in which they are served. */
export function rankQueue<T extends QueuedGroup>(
  queue: readonly T[],
  now: number,
): T[] {
  return [...queue].sort((a, b) => compareQueued(a, b, now));
}

/**
 * Compares groups; the one to be served first comes first. A started group goes
 * before all others, since its results occupy space until it is complete.
 */
export function compareQueued(
  a: QueuedGroup,
  b: QueuedGroup,
  now: number,
): number {
  const isStartedA = a.startedIn !== undefined;
  const isStartedB = b.startedIn !== undefined;
  if (isStartedA !== isStartedB) return isStartedA ? -1 : 1;
  const isLateA = isLateWithoutWork(a, now);
  const isLateB = isLateWithoutWork(b, now);
  if (isLateA !== isLateB) return isLateA ? 1 : -1;
  const byRank = a.group.rank - b.group.rank;
  if (isLateA && byRank !== 0) return byRank;
  return getSortKey(a, now) - getSortKey(b, now);
}

/**
 * Whether a group belongs to a late request without completed work.
 *
 * Prevents wasted work: a request with completed stages keeps results in the space
 * of several pools until it ends. Queued behind new requests, it would wait for
 * seconds and fail after all the work done for it.
 */
function isLateWithoutWork({ group }: QueuedGroup, now: number): boolean {
  return !group.isInvested && group.dueAt < now;
}

/**
 * Sort key of a group. A late group of a request with completed work is due again
 * some time later: groups that can be on time precede it, but not forever. Without
 * the delay every request of a burst is a little late, in the order in which they
 * became late.
 */
function getSortKey({ group, queuedAt }: QueuedGroup, now: number): number {
  const isLate = group.dueAt < now;
  const lateSince = Math.max(group.dueAt, queuedAt);
  const dueAt = isLate ? lateSince + LATE_DUE_DELAY_MS : group.dueAt;
  return dueAt + group.rank * RANK_HEAD_START_MS;
}
