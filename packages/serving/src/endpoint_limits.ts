/**
 * Rate limits that endpoints in need tell with their answers.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { ServingEndpoint } from "./model.ts";

/** What an endpoint last said of its limit. */
export interface EndpointLimit {
  readonly endpointId: EndpointId;
  /** Unix millisecond of the endpoint's start; a restart begins without limit. */
  readonly bornMs?: number;
  /** Requests a second from all VMs together; undefined where it has none. */
  readonly perSecond?: number;
}

interface KnownLimit extends EndpointLimit {
  /** Steady time of the answer. */
  readonly at: number;
}

/** Holds the newest word of each endpoint. */
export class EndpointLimits {
  readonly #known = new Map<EndpointId, KnownLimit>();

  /** The limit of an endpoint; undefined where it has none. */
  get({ id, bornMs }: ServingEndpoint): number | undefined {
    const known = this.#known.get(id);
    return known?.bornMs === bornMs ? known?.perSecond : undefined;
  }

  /**
   * Takes over what an answer says.
   *
   * @param limit The limit, or that there is none.
   * @param at Steady time of the answer.
   * @returns Whether the limit is another one than before.
   */
  record(limit: EndpointLimit, at: number): boolean {
    const before = this.#known.get(limit.endpointId);
    if (before === undefined && limit.perSecond === undefined) return false;
    if (before !== undefined && before.at > at) return false;
    this.#known.set(limit.endpointId, { ...limit, at });
    return before?.perSecond !== limit.perSecond;
  }

  /** Forgets endpoints that are gone. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#known.keys()) {
      if (!ids.has(id)) this.#known.delete(id);
    }
  }
}
