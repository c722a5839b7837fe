/**
 * Groups of pieces that wait at a pool, and their order.
 *
 * @module
 */
import type { EndpointId, ServiceId, ZoneId } from "@sardinestep/types";
import type { ShardId } from "./leaders.ts";

/** The part of a pool that made a group's inputs, and keeps them. */
export interface InputOwner {
  readonly service: ServiceId;
  readonly shard: ShardId;
}

/** All pieces of one stage of one request. */
export interface PieceGroup {
  readonly requestId: string;
  /** Equal requests have the same one. */
  readonly fingerprint: string;
  readonly stage: number;
  readonly pieces: number;
  /** What a first stage works on. */
  readonly key?: string;
  /** Handles that a later stage reads. */
  readonly inputs: readonly string[];
  readonly resultBytes: number;
  /** Set if the inputs are given up as soon as they are read. */
  readonly inputOwner?: InputOwner;
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /**
   * Bytes that don't cross zones if the group is made in a zone: inputs that lie
   * there, for every piece that reads them, and results that are read there.
   */
  readonly localBytes: Readonly<Record<ZoneId, number>>;
  /** Whether endpoints have already worked for the request. */
  readonly isInvested: boolean;
  /** Latest start with which the request still meets its objective. */
  readonly dueAt: number;
  /** Latest start that is of any use to the caller. */
  readonly expiresAt: number;
  /** When it is given up if none of its pieces has been started. */
  readonly giveUpAt: number;
}

/** A group that waits, and the pieces that no call carries yet. */
export interface QueuedGroup {
  readonly group: PieceGroup;
  readonly queuedAt: number;
  /** Pieces that have no room yet. */
  readonly waiting: number[];
  /** Pieces whose results have room at an endpoint and that wait for its call. */
  readonly promised: Map<EndpointId, number[]>;
  /** Where the first of its pieces were made. */
  madeIn?: ZoneId;
}

/**
 * Head start of one rank over the next, in milliseconds: about what a request that
 * has just come has to spare. So what is less urgent goes first only when it would
 * be late otherwise.
 */
const RANK_MS = 500;
/**
 * Within this time, in milliseconds, the stage of a late request that has been
 * worked for comes to its turn. Its results hold room meanwhile; what comes in
 * time has up to a second to spare when it is queued.
 */
const LATE_FINISH_MS = 1_500;

/**
 * Whether a waiting group is given up.
 *
 * A group of which some pieces have been started goes on while its caller waits:
 * given up between two of its calls, the first one was made in vain.
 */
export function isGivenUp(queued: QueuedGroup, now: number): boolean {
  const { group, madeIn } = queued;
  return now > (madeIn === undefined ? group.giveUpAt : group.expiresAt);
}

/** Gives the groups in the order in which they are served. */
export function rankQueue<T extends QueuedGroup>(
  queue: readonly T[],
  now: number,
): T[] {
  return [...queue].sort((a, b) => compareQueued(a, b, now));
}

/**
 * Orders groups, the one to be served first in front. A group of which pieces are
 * made holds their room until it is whole, so it goes before all others.
 */
export function compareQueued(
  a: QueuedGroup,
  b: QueuedGroup,
  now: number,
): number {
  const isStartedA = a.madeIn !== undefined;
  const isStartedB = b.madeIn !== undefined;
  if (isStartedA !== isStartedB) return isStartedA ? -1 : 1;
  const isLateA = isLateStart(a, now);
  const isLateB = isLateStart(b, now);
  if (isLateA !== isLateB) return isLateA ? 1 : -1;
  const byRank = a.group.rank - b.group.rank;
  if (isLateA && byRank !== 0) return byRank;
  return getRank(a, now) - getRank(b, now);
}

/**
 * Whether a group starts a request that can no longer be in time.
 *
 * Guards against work that is thrown away: a request whose other stages are done
 * keeps results in the room of several pools until it is finished. Left behind
 * what is new, it waits for seconds and fails with all that was done for it.
 */
function isLateStart({ group }: QueuedGroup, now: number): boolean {
  return !group.isInvested && group.dueAt < now;
}

/**
 * A group that is late, of a request that has been worked for, is due again some
 * time later: what can be in time goes before it, but not for good. Without that
 * time every request of a burst is served a little late, in the order in which
 * they became late.
 */
function getRank({ group, queuedAt }: QueuedGroup, now: number): number {
  const isLate = group.dueAt < now;
  const lateSince = Math.max(group.dueAt, queuedAt);
  const dueAt = isLate ? lateSince + LATE_FINISH_MS : group.dueAt;
  return dueAt + group.rank * RANK_MS;
}
