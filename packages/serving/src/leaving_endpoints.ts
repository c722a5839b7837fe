/**
 * Endpoints that announced their shutdown in an answer.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import { Gossip, type GossipEntry, type GossipOptions } from "./gossip.ts";
import type { ServingEndpoint } from "./model.ts";

/** A process of an endpoint that announced its shutdown. */
export interface LeavingEndpoint {
  readonly endpointId: EndpointId;
  /** Unix time of the endpoint's start, in ms; a restart ends the announcement. */
  readonly bornMs?: number;
}

interface KnownLeaving extends LeavingEndpoint, GossipEntry {
  /** Monotonic time at which the endpoint was last registered. */
  registeredAt: number;
}

/**
 * How long an announcement outlives the endpoint's record, in milliseconds. A record
 * that was lost may be registered again by the same process.
 */
const KEEP_UNREGISTERED_MS = 600_000;

/** How long an announcement is sent after the endpoint's record is gone, in ms. */
const SEND_LEFT_MS = 10_000;

/** Remembers announcements for the rest of the endpoint's process. */
export class LeavingEndpoints {
  readonly #leaving = new Map<EndpointId, KnownLeaving>();
  readonly #gossip = new Gossip<KnownLeaving>();

  /** Whether the registered process of an endpoint has announced its shutdown. */
  has({ id, bornMs }: ServingEndpoint): boolean {
    const known = this.#leaving.get(id);
    return known !== undefined && known.bornMs === bornMs;
  }

  /**
   * Records an announcement.
   *
   * @returns Whether it is new; one of an earlier process is ignored.
   * @example
   * ```ts
   * leaving.record({ endpointId: "e1", bornMs: 7 }, 0); // true
   * leaving.record({ endpointId: "e1", bornMs: 7 }, 0); // false
   * ```
   */
  record(leaving: LeavingEndpoint, now: number): boolean {
    const known = this.#leaving.get(leaving.endpointId);
    const isKnown = known !== undefined &&
      (known.bornMs ?? 0) >= (leaving.bornMs ?? 0);
    if (isKnown) return false;
    this.#leaving.set(leaving.endpointId, {
      ...leaving,
      changedAt: now,
      registeredAt: now,
    });
    return true;
  }

  /** Returns the announcements to send to other VMs; undefined if there are none. */
  getUpdates(
    now: number,
    options?: GossipOptions,
  ): LeavingEndpoint[] | undefined {
    return this.#gossip.pick([...this.#leaving.values()], {
      ...options,
      now,
      isCurrent: ({ registeredAt }) => now - registeredAt < SEND_LEFT_MS,
    })?.map(({ endpointId, bornMs }) => ({ endpointId, bornMs }));
  }

  /** Forgets endpoints that have not been registered for a long time. */
  keep(registered: ReadonlySet<EndpointId>, now: number): void {
    for (const [id, known] of this.#leaving) {
      if (registered.has(id)) known.registeredAt = now;
      // Without a start time, a new record is the only sign of a restart.
      const keepMs = known.bornMs === undefined ? 0 : KEEP_UNREGISTERED_MS;
      if (now - known.registeredAt > keepMs) this.#leaving.delete(id);
    }
  }
}
