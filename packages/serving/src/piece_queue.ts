/**
 * Which pieces go into the next call of a pool.
 *
 * The load that this answers: a call costs 150 ms however few pieces it carries,
 * and an endpoint makes one call at a time, so a pool bears its load only when
 * calls are composed of pieces of many requests; bursts of twice the mean reach
 * nine tenths of what full calls bear.
 *
 * @module
 */
import type { ZoneId } from "@sardinestep/types";
import type { PoolSpec } from "./model.ts";

/** All pieces of one stage of one request. */
export interface PieceGroup {
  readonly requestId: string;
  readonly stage: number;
  readonly pieces: number;
  /** What a first stage works on. */
  readonly key?: string;
  /** Handles that a later stage reads. */
  readonly inputs: readonly string[];
  readonly resultBytes: number;
  /** Rank of the request; 0 is the most urgent. */
  readonly priority: number;
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
  readonly waiting: number[];
  /** Where the first of its pieces were made. */
  madeIn?: ZoneId;
}

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

/** An endpoint that could take a call now. */
export interface CallRoom {
  readonly zone: ZoneId;
  readonly freeBytes: number;
  /** Most pieces; below the pool's own for an endpoint on trial. */
  readonly maxPieces: number;
}

/** What {@link planCall} chooses from. */
export interface PlanCallOptions {
  readonly queue: readonly QueuedGroup[];
  readonly pool: PoolSpec;
  readonly room: CallRoom;
  /** Zones in which the pool has endpoints in use. */
  readonly poolZones: ReadonlySet<ZoneId>;
  readonly now: number;
}

/** Pieces of one group in a planned call. */
export interface PlannedPieces {
  readonly queued: QueuedGroup;
  readonly pieces: readonly number[];
}

/**
 * Head start of one rank over the next, in milliseconds. It is half a call: a
 * more urgent request goes first unless the other would miss a call by that.
 */
const RANK_MS = 150;
/**
 * Within this time, in milliseconds, the stage of a late request that has been
 * worked for comes to its turn. Its results hold room meanwhile; what comes in
 * time has up to a second to spare when it is queued.
 */
const LATE_FINISH_MS = 1_500;
/**
 * A group waits for a zone that saves more bytes between zones than this. What a
 * later stage reads is read by each of its pieces: 16 pieces of 6 inputs of 60 kB
 * are 5.8 MB, more than the large results of first stages.
 */
const WORTHWHILE_BYTES = 500_000;
/** It does so while it has this much time to spare, about one call. */
const ZONE_PATIENCE_MS = 200;

/**
 * Plans the next call of an endpoint that is free.
 *
 * Groups that can still meet their objective, and those of requests that have
 * been worked for, go first, earliest due first; the others fill what is left,
 * since a late answer is worth a part of one in time.
 * A group may be split over calls: full calls are worth more than whole groups.
 * Pieces are sent only where their results have room, since an endpoint without
 * room still spends the call's whole time before it says so.
 *
 * @param options Queue, pool, endpoint and time.
 * @returns The pieces of each group; empty when nothing fits.
 * @example
 * ```ts
 * const call = planCall({ queue, pool, room, poolZones, now: 0 });
 * ```
 */
export function planCall(options: PlanCallOptions): PlannedPieces[] {
  const { pool, room, now } = options;
  const ranked = options.queue
    .filter((queued) => isEligible(queued, options))
    .sort((a, b) => compareQueued(a, b, now));
  const plan: PlannedPieces[] = [];
  let left = Math.min(pool.batchSize, room.maxPieces);
  let freeBytes = room.freeBytes;
  for (const queued of ranked) {
    const bytes = Math.max(1, queued.group.resultBytes);
    const fitting = Math.min(left, Math.floor(freeBytes / bytes));
    const pieces = queued.waiting.slice(0, Math.max(0, fitting));
    if (pieces.length === 0) continue;
    plan.push({ queued, pieces });
    left -= pieces.length;
    freeBytes -= pieces.length * bytes;
    if (left === 0) break;
  }
  return plan;
}

/** Orders groups, the one to be served first in front. */
export function compareQueued(
  a: QueuedGroup,
  b: QueuedGroup,
  now: number,
): number {
  const isLateA = isLateStart(a, now);
  const isLateB = isLateStart(b, now);
  if (isLateA !== isLateB) return isLateA ? 1 : -1;
  const byPriority = a.group.priority - b.group.priority;
  if (isLateA && byPriority !== 0) return byPriority;
  return getRank(a, now) - getRank(b, now);
}

/** Load of a pool as its leader sees it. */
export interface PoolLoad {
  /** Expected wait before a call starts, by priority of the request, in ms. */
  readonly waitMs: readonly number[];
  /** The same for a request that is late already, in ms. */
  readonly lateWaitMs: number;
  /** Endpoints in use. */
  readonly endpoints: number;
}

/** Priorities that {@link estimateLoad} tells apart. */
const PRIORITIES = [0, 1, 2, 3] as const;

/**
 * Estimates how long a new group would wait.
 *
 * @param options Queue, pool, endpoints and time.
 * @returns Waits by priority; less urgent ones wait for all before them.
 */
export function estimateLoad(options: {
  readonly queue: readonly QueuedGroup[];
  readonly pool: PoolSpec;
  readonly endpoints: number;
  readonly now: number;
}): PoolLoad {
  const { pool, endpoints, queue, now } = options;
  const perPieceMs = pool.callMs / pool.batchSize + pool.pieceMs;
  const waitMs = PRIORITIES.map((priority) => {
    const ahead = queue.filter(({ group }) =>
      group.priority <= priority && group.dueAt >= now
    );
    const pieces = ahead.reduce((sum, one) => sum + one.waiting.length, 0);
    const backlogMs = pieces * perPieceMs / Math.max(1, endpoints);
    const oldestMs = Math.max(0, ...ahead.map((one) => now - one.queuedAt));
    return Math.round(Math.max(backlogMs, oldestMs));
  });
  const pieces = queue.reduce((sum, one) => sum + one.waiting.length, 0);
  const lateWaitMs = Math.round(pieces * perPieceMs / Math.max(1, endpoints));
  return { waitMs, lateWaitMs, endpoints };
}

/** Wait that a load tells for a priority, in milliseconds. */
export function getPriorityWait(load: PoolLoad, priority: number): number {
  const rank = Math.min(Math.max(0, priority), load.waitMs.length - 1);
  return load.waitMs[rank] ?? 0;
}

function isEligible(queued: QueuedGroup, options: PlanCallOptions): boolean {
  const { group, madeIn } = queued;
  const { room, now, poolZones } = options;
  if (group.dueAt - now < ZONE_PATIENCE_MS) return true;
  // Results of one stage are read together, so they are made in one zone.
  if (madeIn !== undefined) {
    return madeIn === room.zone || !poolZones.has(madeIn);
  }
  const best = Math.max(
    0,
    ...[...poolZones].map((zone) => group.localBytes[zone] ?? 0),
  );
  return best - (group.localBytes[room.zone] ?? 0) < WORTHWHILE_BYTES;
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
  return dueAt + group.priority * RANK_MS;
}
