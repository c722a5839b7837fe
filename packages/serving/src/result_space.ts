/**
 * Accounting of the space for results at a pool's endpoints.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { PoolSpec } from "./model.ts";

interface TrackedResult {
  readonly endpointId: EndpointId;
  readonly bytes: number;
  /** Start of the call that made it; its space is occupied from then on. */
  readonly since: number;
  /** When the endpoint deletes it by itself. */
  readonly dropsAt: number;
}

/** Space that results of other VMs occupied when they were noticed. */
interface UntrackedBytes {
  readonly bytes: number;
  readonly at: number;
}

/** A result that is stored at an endpoint. */
export interface StoredResult {
  readonly endpointId: EndpointId;
  readonly handle: string;
  readonly bytes: number;
  /** Monotonic time at which its call started, in milliseconds. */
  readonly since: number;
}

/** Results that must still fit for a failure to imply results of other VMs. */
const MIN_UNTRACKED_RESULTS = 2;
/** Assumed time from the last result to the first event, before any measurement. */
const DEFAULT_READ_MS = 300;

/**
 * Returns the space of one endpoint for results: all that is configured.
 *
 * A margin for approximate sizes costs a whole group, since groups start complete:
 * with 3% less, four groups of a stage fitted instead of five.
 */
export function getCapacityBytes(pool: PoolSpec): number {
  return pool.roomBytes;
}

/**
 * Tracks the bytes of results that a leader has stored, has in progress, and has
 * reserved for partly made groups.
 *
 * Prevents two faults. Calls whose results don't fit come back empty after a whole
 * call's time. And groups started without space for their last piece hold what they
 * have and wait for each other: the symptom is a pool that is idle for seconds with
 * sixty groups queued, until the results expire.
 */
export class ResultSpace {
  readonly #kept = new Map<string, TrackedResult>();
  readonly #used = new Map<EndpointId, number>();
  readonly #reserved = new Map<EndpointId, number>();
  readonly #untracked = new Map<EndpointId, UntrackedBytes>();
  /** Moving average of the time that a byte is occupied, in milliseconds. */
  #holdMs: number | undefined;

  /** Returns the bytes that can be reserved for a new group at an endpoint. */
  getFreeBytes(endpointId: EndpointId, pool: PoolSpec, now: number): number {
    this.#removeExpired(pool, now);
    const free = getCapacityBytes(pool) - this.getUsedBytes(endpointId) -
      this.getReservedBytes(endpointId) -
      this.#getUntracked(endpointId, pool, now);
    return Math.max(0, free);
  }

  /** Returns the bytes of own results and running calls. */
  getUsedBytes(endpointId: EndpointId): number {
    return this.#used.get(endpointId) ?? 0;
  }

  /** Returns the bytes reserved for groups that no call has taken yet. */
  getReservedBytes(endpointId: EndpointId): number {
    return this.#reserved.get(endpointId) ?? 0;
  }

  /** Returns the average time that a byte is occupied, in milliseconds. */
  getHoldMs(pool: PoolSpec): number {
    return this.#holdMs ??
      pool.callMs + pool.batchSize * pool.pieceMs + DEFAULT_READ_MS;
  }

  /**
   * Records that a result didn't fit although it should by this accounting.
   *
   * Prevents calls that come back empty, each after its whole time, after a power
   * loss of all VMs: results unknown to any VM occupy space until they expire,
   * evenly spread over the time that results are kept.
   */
  recordNoSpace(
    { endpointId, bytes }: Pick<StoredResult, "endpointId" | "bytes">,
    pool: PoolSpec,
    now: number,
  ): void {
    const unused = getCapacityBytes(pool) - this.getUsedBytes(endpointId);
    // Sizes are approximate: a difference of one result proves nothing.
    if (unused < bytes * MIN_UNTRACKED_RESULTS) return;
    this.#untracked.set(endpointId, { bytes: unused, at: now });
  }

  /** Adds the bytes of a call that starts. */
  addBytes(endpointId: EndpointId, bytes: number): void {
    this.#used.set(endpointId, this.getUsedBytes(endpointId) + bytes);
  }

  /** Removes the bytes of a call that has ended. */
  removeBytes(endpointId: EndpointId, bytes: number): void {
    this.addBytes(endpointId, -bytes);
  }

  /** Reserves bytes for a group; negative bytes cancel a reservation. */
  addReservedBytes(endpointId: EndpointId, bytes: number): void {
    this.#reserved.set(endpointId, this.getReservedBytes(endpointId) + bytes);
  }

  /** Records a result that is stored at an endpoint. */
  keep(result: StoredResult, pool: PoolSpec | undefined, now: number): void {
    const { handle, ...rest } = result;
    const dropsAt = now + (pool?.resultTtlMs ?? 0);
    this.#kept.set(handle, { ...rest, dropsAt });
    this.addBytes(result.endpointId, result.bytes);
  }

  /** Records that a result was released; false if it isn't known. */
  release(handle: string, pool: PoolSpec | undefined, now: number): boolean {
    const kept = this.#kept.get(handle);
    if (kept === undefined) return false;
    this.#kept.delete(handle);
    this.removeBytes(kept.endpointId, kept.bytes);
    if (pool !== undefined) this.#recordHold(kept, pool, now);
    return true;
  }

  #getUntracked(endpointId: EndpointId, pool: PoolSpec, now: number): number {
    const known = this.#untracked.get(endpointId);
    if (known === undefined) return 0;
    const remainingShare = 1 - (now - known.at) / pool.resultTtlMs;
    if (remainingShare > 0) return known.bytes * remainingShare;
    this.#untracked.delete(endpointId);
    return 0;
  }

  /** Weighted by size, since space for large results runs out first. */
  #recordHold(kept: TrackedResult, pool: PoolSpec, now: number): void {
    const weight = Math.min(1, kept.bytes / pool.roomBytes);
    const before = this.getHoldMs(pool);
    this.#holdMs = before + weight * (now - kept.since - before);
  }

  #removeExpired(pool: PoolSpec, now: number): void {
    for (const [handle, kept] of this.#kept) {
      if (kept.dropsAt > now) return;
      this.release(handle, pool, now);
    }
  }
}
