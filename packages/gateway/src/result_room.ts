/**
 * How much room for results each endpoint of a pool has left.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import type { EndpointId } from "@sardinestep/types";

interface KeptResult {
  readonly endpointId: EndpointId;
  readonly bytes: number;
  /** When the endpoint drops it by itself. */
  readonly dropsAt: number;
}

/**
 * Share of an endpoint's room that is used: configured sizes are approximate,
 * and a call without room costs its whole time.
 */
const USED_SHARE = 0.97;

/**
 * Counts the bytes of results that a leader had made.
 *
 * Guards against calls whose pieces find no room: it shows as pieces that come
 * back empty after a whole call's time.
 */
export class ResultRoom {
  readonly #kept = new Map<string, KeptResult>();
  readonly #used = new Map<EndpointId, number>();

  /** Bytes that a new call may fill at an endpoint. */
  getFree(
    endpointId: EndpointId,
    pool: serving.PoolSpec,
    now: number,
  ): number {
    this.#dropOld(now);
    const used = this.#used.get(endpointId) ?? 0;
    return Math.max(0, pool.roomBytes * USED_SHARE - used);
  }

  /** Holds room for a call that starts. */
  addBytes(endpointId: EndpointId, bytes: number): void {
    this.#used.set(endpointId, (this.#used.get(endpointId) ?? 0) + bytes);
  }

  /** Gives a call's room back when it has ended. */
  removeBytes(endpointId: EndpointId, bytes: number): void {
    this.addBytes(endpointId, -bytes);
  }

  /** Notes a result that now lies at an endpoint. */
  keep(
    endpoint: serving.ServingEndpoint,
    handle: string,
    bytes: number,
    pool: serving.PoolSpec | undefined,
  ): void {
    const dropsAt = performance.now() + (pool?.resultTtlMs ?? 0);
    this.#kept.set(handle, { endpointId: endpoint.id, bytes, dropsAt });
    this.addBytes(endpoint.id, bytes);
  }

  /** Notes that a result is given up; false when it isn't known. */
  release(handle: string): boolean {
    const kept = this.#kept.get(handle);
    if (kept === undefined) return false;
    this.#kept.delete(handle);
    this.removeBytes(kept.endpointId, kept.bytes);
    return true;
  }

  #dropOld(now: number): void {
    for (const [handle, kept] of this.#kept) {
      if (kept.dropsAt > now) return;
      this.release(handle);
    }
  }
}
