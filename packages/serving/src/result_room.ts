/**
 * How much room for results each endpoint of a pool has left.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { PoolSpec } from "./model.ts";

interface KeptResult {
  readonly endpointId: EndpointId;
  readonly bytes: number;
  /** Start of the call that made it; its room is taken from then on. */
  readonly since: number;
  /** When the endpoint drops it by itself. */
  readonly dropsAt: number;
}

/** Room that others' results take, as it was when one was noticed. */
interface ForeignBytes {
  readonly bytes: number;
  readonly at: number;
}

/** A result that now lies at an endpoint. */
export interface MadeResult {
  readonly endpointId: EndpointId;
  readonly handle: string;
  readonly bytes: number;
  /** Steady time at which its call started, in milliseconds. */
  readonly since: number;
}

/** Results that must fit by the own count for others' to be taken for there. */
const FOREIGN_RESULTS = 2;
/** Time from the last result to a stream's first event, before any was seen. */
const USUAL_READ_MS = 300;

/**
 * Bytes of results that one endpoint is given at most: all that is configured.
 * Groups come whole, so what is kept back for approximate sizes is a group: with
 * three hundredths less, four groups of a stage fitted where five do.
 */
export function getCapacity(pool: PoolSpec): number {
  return pool.roomBytes;
}

/**
 * Counts the bytes of results that a leader had made, has in work, and has
 * promised to groups that are partly made.
 *
 * Guards against two harms. Calls whose pieces find no room come back empty after
 * a whole call's time. And groups that start without room for their last piece
 * hold what they have and wait for each other: it shows as a pool that idles for
 * seconds, with sixty groups before it, until the results lapse.
 */
export class ResultRoom {
  readonly #kept = new Map<string, KeptResult>();
  readonly #used = new Map<EndpointId, number>();
  readonly #promised = new Map<EndpointId, number>();
  readonly #foreign = new Map<EndpointId, ForeignBytes>();
  /** Mean time that a byte is held, in milliseconds. */
  #holdMs: number | undefined;

  /** Bytes that a new group may be promised at an endpoint. */
  getFree(endpointId: EndpointId, pool: PoolSpec, now: number): number {
    this.#dropOld(pool, now);
    const free = getCapacity(pool) - this.getUsed(endpointId) -
      this.getPromised(endpointId) - this.#getForeign(endpointId, pool, now);
    return Math.max(0, free);
  }

  /** Bytes of own results and running calls. */
  getUsed(endpointId: EndpointId): number {
    return this.#used.get(endpointId) ?? 0;
  }

  /** Bytes that groups are promised and no call has taken yet. */
  getPromised(endpointId: EndpointId): number {
    return this.#promised.get(endpointId) ?? 0;
  }

  /** How long a byte of room is held on average, in milliseconds. */
  getHoldMs(pool: PoolSpec): number {
    return this.#holdMs ??
      pool.callMs + pool.batchSize * pool.pieceMs + USUAL_READ_MS;
  }

  /**
   * Notes that a result found no room where this leader counts some.
   *
   * Guards against calls that come back empty, each after its whole time, once the
   * power of all VMs is back: results that no VM knows keep their room until they
   * lapse, evenly over the time that results are kept.
   */
  recordNoRoom(
    { endpointId, bytes }: Pick<MadeResult, "endpointId" | "bytes">,
    pool: PoolSpec,
    now: number,
  ): void {
    const unused = getCapacity(pool) - this.getUsed(endpointId);
    // Sizes are approximate: one result more or less is no sign of others.
    if (unused < bytes * FOREIGN_RESULTS) return;
    this.#foreign.set(endpointId, { bytes: unused, at: now });
  }

  /** Holds room for a call that starts. */
  addBytes(endpointId: EndpointId, bytes: number): void {
    this.#used.set(endpointId, this.getUsed(endpointId) + bytes);
  }

  /** Gives a call's room back when it has ended. */
  removeBytes(endpointId: EndpointId, bytes: number): void {
    this.addBytes(endpointId, -bytes);
  }

  /** Promises room to a group; negative bytes take a promise back. */
  addPromise(endpointId: EndpointId, bytes: number): void {
    this.#promised.set(endpointId, this.getPromised(endpointId) + bytes);
  }

  /** Notes a result that now lies at an endpoint. */
  keep(result: MadeResult, pool: PoolSpec | undefined, now: number): void {
    const { handle, ...rest } = result;
    const dropsAt = now + (pool?.resultTtlMs ?? 0);
    this.#kept.set(handle, { ...rest, dropsAt });
    this.addBytes(result.endpointId, result.bytes);
  }

  /** Notes that a result is given up; false when it isn't known. */
  release(handle: string, pool: PoolSpec | undefined, now: number): boolean {
    const kept = this.#kept.get(handle);
    if (kept === undefined) return false;
    this.#kept.delete(handle);
    this.removeBytes(kept.endpointId, kept.bytes);
    if (pool !== undefined) this.#recordHold(kept, pool, now);
    return true;
  }

  #getForeign(endpointId: EndpointId, pool: PoolSpec, now: number): number {
    const known = this.#foreign.get(endpointId);
    if (known === undefined) return 0;
    const left = 1 - (now - known.at) / pool.resultTtlMs;
    if (left > 0) return known.bytes * left;
    this.#foreign.delete(endpointId);
    return 0;
  }

  /** Large results count for more: their room is what runs out. */
  #recordHold(kept: KeptResult, pool: PoolSpec, now: number): void {
    const weight = Math.min(1, kept.bytes / pool.roomBytes);
    const before = this.getHoldMs(pool);
    this.#holdMs = before + weight * (now - kept.since - before);
  }

  #dropOld(pool: PoolSpec, now: number): void {
    for (const [handle, kept] of this.#kept) {
      if (kept.dropsAt > now) return;
      this.release(handle, pool, now);
    }
  }
}
