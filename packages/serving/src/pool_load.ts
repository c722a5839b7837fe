/**
 * How long a new group would wait at a pool, as its leader tells the other VMs.
 *
 * The load that this answers: a pool whose large results have no room left, while
 * its endpoints are idle half of the time. A small result goes through at once
 * there and a large one waits for a second, so one wait for all turns away
 * requests whose way is free.
 *
 * @module
 */
import type { PoolSpec } from "./model.ts";
import type { QueuedGroup } from "./piece_queue.ts";

/** What stands before a group. */
export interface Backlog {
  /** Wait for calls, in milliseconds. */
  readonly waitMs: number;
  /** Pieces of its size or a smaller one that wait for room. */
  readonly queuedPieces: number;
}

/** What stands before a group of a rank, or of the ranks up to the next entry. */
export interface RankBacklog extends Backlog {
  readonly rank: number;
}

/** Backlog before a group whose results have one size. */
export interface SizeLoad {
  readonly resultBytes: number;
  /** Results of this size that find room now, over all endpoints. */
  readonly freePieces: number;
  /** By rank, the most urgent first; the first entry is of rank 0. */
  readonly ranks: readonly RankBacklog[];
  /** Before a request that is late already. */
  readonly late: Backlog;
}

/** Load of a pool as its leader sees it. */
export interface PoolLoad {
  /** Endpoints in use. */
  readonly endpoints: number;
  /** Room that comes free while everything is in use, in bytes a millisecond. */
  readonly freedBytesPerMs: number;
  /** One entry for each size that waits, the smallest first. */
  readonly sizes: readonly SizeLoad[];
}

/** Load of a pool of which nothing is known. */
export const NO_LOAD: PoolLoad = {
  endpoints: 0,
  freedBytesPerMs: 0,
  sizes: [],
};

/** What a group needs of a pool. */
export interface GroupNeed {
  readonly rank: number;
  readonly pieces: number;
  readonly resultBytes: number;
  /** Its request can't be in time; it takes what others leave. */
  readonly isLate: boolean;
}

/** What {@link estimateLoad} looks at. */
export interface EstimateLoadOptions {
  readonly queue: readonly QueuedGroup[];
  readonly pool: PoolSpec;
  readonly endpoints: number;
  /** Room that is promised to nobody, for each endpoint in use, in bytes. */
  readonly freeBytes: readonly number[];
  readonly freedBytesPerMs: number;
  readonly now: number;
}

/** Longest wait that is told, in milliseconds; no caller waits that long. */
const MAX_WAIT_MS = 60_000;

/**
 * Estimates how long a new group would wait, by the size of its results.
 *
 * @param options Queue, pool, endpoints and time.
 * @returns Waits by size and rank; less urgent ones wait for all before them.
 * @example
 * ```ts
 * const load = estimateLoad({ queue, pool, endpoints: 3, freeBytes, freedBytesPerMs, now });
 * ```
 */
export function estimateLoad(options: EstimateLoadOptions): PoolLoad {
  const { queue, endpoints, freedBytesPerMs } = options;
  const sizes = [...new Set(queue.map(({ group }) => group.resultBytes))]
    .sort((a, b) => a - b);
  return {
    endpoints,
    freedBytesPerMs,
    sizes: sizes.map((size) => estimateSize(size, options)),
  };
}

/**
 * Gives the wait of a group: for calls, or for room where that is longer.
 *
 * @param load What the pool's leader told.
 * @param need Pieces, size and rank of the group.
 * @returns Milliseconds.
 */
export function getExpectedWait(load: PoolLoad, need: GroupNeed): number {
  const size = load.sizes.findLast((one) =>
    one.resultBytes <= need.resultBytes
  );
  if (size === undefined) return 0;
  const { waitMs, queuedPieces } = getBacklog(size, need);
  if (size.resultBytes < need.resultBytes) return waitMs;
  const lacking = queuedPieces + need.pieces - size.freePieces;
  if (lacking <= 0) return waitMs;
  const freedPerMs = load.freedBytesPerMs / Math.max(1, need.resultBytes);
  const roomMs = freedPerMs > 0 ? lacking / freedPerMs : MAX_WAIT_MS;
  return Math.min(MAX_WAIT_MS, Math.max(waitMs, roomMs));
}

/** Whether results of a size wait for room, more of them than find any. */
export function isShortOfRoom(load: PoolLoad, resultBytes: number): boolean {
  const size = load.sizes.find((one) => one.resultBytes === resultBytes);
  return size !== undefined && size.late.queuedPieces > size.freePieces;
}

function estimateSize(
  resultBytes: number,
  options: EstimateLoadOptions,
): SizeLoad {
  const { queue, freeBytes, now } = options;
  const ranks = new Set([0, ...queue.map(({ group }) => group.rank)]);
  return {
    resultBytes,
    freePieces: countFitting(freeBytes, resultBytes),
    ranks: [...ranks].sort((a, b) => a - b).map((rank) => {
      const ahead = queue.filter((one) => isAhead(one, rank, now));
      return { rank, ...estimateBacklog(ahead, resultBytes, options) };
    }),
    late: estimateBacklog(queue, resultBytes, options),
  };
}

function getBacklog(size: SizeLoad, need: GroupNeed): Backlog {
  if (need.isLate) return size.late;
  const rank = size.ranks.findLast((one) => one.rank <= need.rank);
  return rank ?? size.late;
}

/** What was worked for goes on whether it is late or not. */
function isAhead(
  { group, madeIn }: QueuedGroup,
  rank: number,
  now: number,
): boolean {
  if (madeIn !== undefined) return true;
  const isInTime = group.dueAt >= now || group.isInvested;
  return isInTime && group.rank <= rank;
}

function estimateBacklog(
  ahead: readonly QueuedGroup[],
  resultBytes: number,
  options: EstimateLoadOptions,
): Backlog {
  const { pool, endpoints, freeBytes, now } = options;
  const perPieceMs = pool.callMs / pool.batchSize + pool.pieceMs;
  const promised = sum(ahead.map(countPromised));
  const smaller = ahead.filter(({ group }) => group.resultBytes <= resultBytes);
  const queuedPieces = sum(smaller.map((one) => one.waiting.length));
  // Larger results compete for calls only as far as they find room.
  const larger = sum(
    ahead.filter(({ group }) => group.resultBytes > resultBytes)
      .map((one) => one.waiting.length),
  );
  const fitting = Math.min(larger, countFitting(freeBytes, resultBytes));
  const pieces = promised + queuedPieces + fitting;
  const backlogMs = pieces * perPieceMs / Math.max(1, endpoints);
  const oldestMs = Math.max(
    0,
    ...smaller
      .filter(({ group }) => group.resultBytes === resultBytes)
      .map((one) => Math.min(now, one.group.dueAt) - one.queuedAt),
  );
  return { waitMs: Math.round(Math.max(backlogMs, oldestMs)), queuedPieces };
}

function countPromised(queued: QueuedGroup): number {
  return sum([...queued.promised.values()].map((pieces) => pieces.length));
}

function countFitting(
  freeBytes: readonly number[],
  resultBytes: number,
): number {
  return sum(
    freeBytes.map((bytes) => Math.floor(bytes / Math.max(1, resultBytes))),
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, one) => total + one, 0);
}
