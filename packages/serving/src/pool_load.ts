/**
 * Load of a pool as reported by its leader, and the waits that follow from it.
 *
 * Waits are kept for each size of results: a pool may have no space left for large
 * results while its endpoints are idle half of the time. Small results then pass at
 * once and large ones wait for a second, so a single wait for all would reject
 * requests that could run.
 *
 * @module
 */
import type { PoolSpec } from "./model.ts";
import type { QueuedGroup } from "./piece_queue.ts";

/** Queue before a group. */
export interface Backlog {
  /** Expected wait for calls, in milliseconds. */
  readonly waitMs: number;
  /** Queued pieces of its size or smaller that wait for space. */
  readonly queuedPieces: number;
}

/** Queue before a group of a rank, or of the ranks up to the next entry. */
export interface RankBacklog extends Backlog {
  readonly rank: number;
}

/** Queue before a group with results of one size. */
export interface SizeLoad {
  readonly resultBytes: number;
  /** Results of this size that fit now, over all endpoints. */
  readonly freePieces: number;
  /** Queue by rank, the most urgent first; the first entry has rank 0. */
  readonly ranks: readonly RankBacklog[];
  /** Queue before a request that is already late. */
  readonly late: Backlog;
}

/** Work that a pool did recently for one customer. */
export interface CustomerUsageReport {
  readonly customer: string;
  /** Endpoint time, decayed, in milliseconds. */
  readonly workMs: number;
}

/** Load of a pool as seen by its leader. */
export interface PoolLoad {
  /** Number of endpoints in use. */
  readonly endpoints: number;
  /** Rate at which space is freed at full load, in bytes a millisecond. */
  readonly freedBytesPerMs: number;
  /** One entry for each queued size, the smallest first. */
  readonly sizes: readonly SizeLoad[];
  /** Set if every endpoint is paused: time until one accepts calls, in ms. */
  readonly pausedMs?: number;
  /** Largest users of a contended pool, from which a next leader starts. */
  readonly usage?: readonly CustomerUsageReport[];
}

/** Load of a pool without a report. */
export const UNKNOWN_LOAD: PoolLoad = {
  endpoints: 0,
  freedBytesPerMs: 0,
  sizes: [],
};

/** Properties of a group that determine its wait. */
export interface GroupDemand {
  readonly rank: number;
  readonly pieces: number;
  readonly resultBytes: number;
  /** Whether its request can't be on time and only uses spare capacity. */
  readonly isLate: boolean;
}

/** Options of {@link estimateLoad}. */
export interface EstimateLoadOptions {
  readonly queue: readonly QueuedGroup[];
  readonly pool: PoolSpec;
  readonly endpoints: number;
  /** Space that is neither used nor reserved at each endpoint in use, in bytes. */
  readonly freeBytes: readonly number[];
  readonly freedBytesPerMs: number;
  /** Set if every endpoint is paused: time until one accepts calls, in ms. */
  readonly pausedMs?: number;
  /**
   * Whether a group that has not started is served before a new one of its rank.
   * Set for contended pools: only groups that the plan keeps on time; by default
   * those that are not late or have completed work.
   */
  readonly isKeptOnTime?: (queued: QueuedGroup) => boolean;
  readonly now: number;
}

/** Longest reported wait, in milliseconds; no caller waits that long. */
const MAX_WAIT_MS = 60_000;

/**
 * Estimates how long a new group would wait, by the size of its results.
 *
 * @param options Queue, pool, endpoints and time.
 * @returns Waits by size and rank; a rank waits for all more urgent ones.
 * @example
 * ```ts
 * const load = estimateLoad({ queue, pool, endpoints: 3, freeBytes, freedBytesPerMs, now });
 * ```
 */
export function estimateLoad(options: EstimateLoadOptions): PoolLoad {
  const { queue, endpoints, freedBytesPerMs, pausedMs } = options;
  const sizes = [...new Set(queue.map(({ group }) => group.resultBytes))]
    .sort((a, b) => a - b);
  return {
    endpoints,
    freedBytesPerMs,
    ...(pausedMs === undefined ? {} : { pausedMs }),
    sizes: sizes.map((size) => estimateSize(size, options)),
  };
}

/**
 * Returns the expected wait of a group: for calls, or for space if that is longer.
 *
 * @param load Load reported by the pool's leader.
 * @param demand Pieces, size and rank of the group.
 * @returns Milliseconds.
 */
export function getExpectedWait(load: PoolLoad, demand: GroupDemand): number {
  const waitMs = Math.max(getQueueWait(load, demand), load.pausedMs ?? 0);
  return Math.min(MAX_WAIT_MS, waitMs);
}

function getQueueWait(load: PoolLoad, demand: GroupDemand): number {
  const size = load.sizes.findLast((entry) =>
    entry.resultBytes <= demand.resultBytes
  );
  if (size === undefined) return 0;
  const { waitMs, queuedPieces } = getBacklog(size, demand);
  if (size.resultBytes < demand.resultBytes) return waitMs;
  const piecesOverSpace = queuedPieces + demand.pieces - size.freePieces;
  if (piecesOverSpace <= 0) return waitMs;
  const freedPiecesPerMs = load.freedBytesPerMs /
    Math.max(1, demand.resultBytes);
  const spaceWaitMs = freedPiecesPerMs > 0
    ? piecesOverSpace / freedPiecesPerMs
    : MAX_WAIT_MS;
  return Math.max(waitMs, spaceWaitMs);
}

/** Whether more results of a size are queued than fit. */
export function isShortOfSpace(load: PoolLoad, resultBytes: number): boolean {
  const size = load.sizes.find((entry) => entry.resultBytes === resultBytes);
  return size !== undefined && size.late.queuedPieces > size.freePieces;
}

function estimateSize(
  resultBytes: number,
  options: EstimateLoadOptions,
): SizeLoad {
  const { queue, freeBytes } = options;
  const ranks = new Set([0, ...queue.map(({ group }) => group.rank)]);
  return {
    resultBytes,
    freePieces: countFitting(freeBytes, resultBytes),
    ranks: [...ranks].sort((a, b) => a - b).map((rank) => {
      const ahead = queue.filter((queued) => isAhead(queued, rank, options));
      return { rank, ...estimateBacklog(ahead, resultBytes, options) };
    }),
    late: estimateBacklog(queue, resultBytes, options),
  };
}

function getBacklog(size: SizeLoad, demand: GroupDemand): Backlog {
  if (demand.isLate) return size.late;
  const rank = size.ranks.findLast((entry) => entry.rank <= demand.rank);
  return rank ?? size.late;
}

/** Whether a group precedes a new one; late groups with completed work do. */
function isAhead(
  queued: QueuedGroup,
  rank: number,
  { isKeptOnTime, now }: EstimateLoadOptions,
): boolean {
  const { group, startedIn } = queued;
  if (startedIn !== undefined) return true;
  if (group.rank > rank) return false;
  return isKeptOnTime?.(queued) ?? (group.dueAt >= now || group.isInvested);
}

function estimateBacklog(
  ahead: readonly QueuedGroup[],
  resultBytes: number,
  options: EstimateLoadOptions,
): Backlog {
  const { pool, endpoints, freeBytes, now } = options;
  const perPieceMs = getFullCallPieceMs(pool);
  const reservedPieces = sum(ahead.map(countReserved));
  const smaller = ahead.filter(({ group }) => group.resultBytes <= resultBytes);
  const queuedPieces = sum(smaller.map((queued) => queued.waiting.length));
  // Larger results compete for calls only as far as they fit.
  const largerPieces = sum(
    ahead.filter(({ group }) => group.resultBytes > resultBytes)
      .map((queued) => queued.waiting.length),
  );
  const fittingPieces = Math.min(
    largerPieces,
    countFitting(freeBytes, resultBytes),
  );
  const pieces = reservedPieces + queuedPieces + fittingPieces;
  const backlogMs = pieces * perPieceMs / Math.max(1, endpoints);
  // In lanes a group may wait by its rank, share or due time while others pass it.
  const sameSize = options.isKeptOnTime === undefined ? smaller : [];
  const oldestMs = Math.max(
    0,
    ...sameSize
      .filter(({ group }) => group.resultBytes === resultBytes)
      .map((queued) => Math.min(now, queued.group.dueAt) - queued.queuedAt),
  );
  return { waitMs: Math.round(Math.max(backlogMs, oldestMs)), queuedPieces };
}

/** Returns the pieces of a group that have space reserved at endpoints. */
export function countReserved(queued: QueuedGroup): number {
  return sum([...queued.reserved.values()].map((pieces) => pieces.length));
}

/** Returns the endpoint time of one piece of a full call, in milliseconds. */
export function getFullCallPieceMs(pool: PoolSpec): number {
  return pool.callMs / pool.batchSize + pool.pieceMs;
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
  return values.reduce((total, value) => total + value, 0);
}
