/**
 * Rate limits that overloaded endpoints announce in their answers.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import { Gossip, type GossipOptions } from "./gossip.ts";
import type { ServingEndpoint } from "./model.ts";

/** Rate limit last announced by an endpoint. */
export interface EndpointLimit {
  readonly endpointId: EndpointId;
  /** Unix time of the endpoint's start, in ms; a restart lifts the limit. */
  readonly bornMs?: number;
  /** Requests a second over all VMs; undefined if there is no limit. */
  readonly perSecond?: number;
}

/** An {@link EndpointLimit} as sent to another VM. */
export interface LimitUpdate extends EndpointLimit {
  /** Time since the answer that announced it, in milliseconds. */
  readonly ageMs: number;
}

interface KnownLimit extends EndpointLimit {
  /** Monotonic time of the answer. */
  readonly at: number;
  readonly changedAt: number;
}

/** Time after the last announcement until an answer can lift a limit, in ms. */
const LIFT_AFTER_MS = 1_000;
/** Latest rate limit of each endpoint. */
export class EndpointLimits {
  readonly #limits = new Map<EndpointId, KnownLimit>();
  readonly #gossip = new Gossip<KnownLimit>();

  /** Returns the limit of an endpoint; undefined if there is none. */
  get({ id, bornMs }: ServingEndpoint): number | undefined {
    const known = this.#limits.get(id);
    return known?.bornMs === bornMs ? known?.perSecond : undefined;
  }

  /**
   * Records the limit of an answer.
   *
   * @param limit The limit; without `perSecond` there is none.
   * @param at Monotonic time of the answer.
   * @returns Whether the limit changed.
   */
  record(limit: EndpointLimit, at: number): boolean {
    const before = this.#limits.get(limit.endpointId);
    if (before === undefined && limit.perSecond === undefined) return false;
    if (before !== undefined && before.at > at) return false;
    // Answers to earlier requests may still arrive without a limit.
    const isOutdated = limit.perSecond === undefined &&
      before?.perSecond !== undefined && at - before.at < LIFT_AFTER_MS;
    if (isOutdated) return false;
    const isChanged = before?.perSecond !== limit.perSecond ||
      before?.bornMs !== limit.bornMs;
    const changedAt = isChanged ? at : before!.changedAt;
    this.#limits.set(limit.endpointId, { ...limit, at, changedAt });
    return isChanged;
  }

  /** Returns the limits to send to other VMs; undefined if there are none. */
  getUpdates(now: number, options?: GossipOptions): LimitUpdate[] | undefined {
    return this.#gossip.pick([...this.#limits.values()], {
      ...options,
      now,
      isCurrent: ({ perSecond }) => perSecond !== undefined,
    })?.map(({ at, changedAt: _, ...limit }) => ({
      ...limit,
      ageMs: Math.round(now - at),
    }));
  }

  /** Removes endpoints that are no longer registered. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#limits.keys()) {
      if (!ids.has(id)) this.#limits.delete(id);
    }
  }
}
