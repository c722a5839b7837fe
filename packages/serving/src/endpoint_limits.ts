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

/** An {@link EndpointLimit} on its way to another VM. */
export interface LimitNews extends EndpointLimit {
  /** Time since the answer that said so, in milliseconds. */
  readonly ageMs: number;
}

interface KnownLimit extends EndpointLimit {
  /** Steady time of the answer. */
  readonly at: number;
  /** Steady time at which another limit was heard of. */
  readonly changedAt: number;
}

/** Time since the last word of a limit after which its absence lifts it, in ms. */
const LIFT_AFTER_MS = 1_000;
/** How long a change is told with each exchange, in milliseconds. */
const SPREAD_MS = 1_500;
/** How often all limits are told, for VMs that have just started, in ms. */
const REPEAT_MS = 2_000;
/** Limits that one exchange tells: those that changed last. */
const MAX_TOLD = 64;

/** Holds the newest word of each endpoint. */
export class EndpointLimits {
  readonly #known = new Map<EndpointId, KnownLimit>();
  #toldAllAt = -Infinity;

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
    // Answers that began before the need may still come without a limit.
    const isEarly = limit.perSecond === undefined &&
      before?.perSecond !== undefined && at - before.at < LIFT_AFTER_MS;
    if (isEarly) return false;
    const isNew = before?.perSecond !== limit.perSecond ||
      before?.bornMs !== limit.bornMs;
    const changedAt = isNew ? at : before!.changedAt;
    this.#known.set(limit.endpointId, { ...limit, at, changedAt });
    return isNew;
  }

  /** What other VMs should hear; undefined where there is nothing to tell. */
  getNews(now: number): LimitNews[] | undefined {
    if (this.#known.size === 0) return undefined;
    const isRepeat = now - this.#toldAllAt >= REPEAT_MS;
    if (isRepeat) this.#toldAllAt = now;
    const told = [...this.#known.values()]
      .filter(({ changedAt, perSecond }) =>
        now - changedAt < SPREAD_MS || (isRepeat && perSecond !== undefined)
      )
      .sort((a, b) => b.changedAt - a.changedAt)
      .slice(0, MAX_TOLD)
      .map(({ at, changedAt: _, ...limit }) => ({
        ...limit,
        ageMs: Math.round(now - at),
      }));
    return told.length === 0 ? undefined : told;
  }

  /** Forgets endpoints that are gone. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#known.keys()) {
      if (!ids.has(id)) this.#known.delete(id);
    }
  }
}
