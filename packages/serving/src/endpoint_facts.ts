/**
 * Which registered endpoints may be used, from records that come, change and go.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { ServingEndpoint } from "./model.ts";

/**
 * How long after the registry's return a missing record proves nothing, in
 * milliseconds: records that lapsed while it was away come back within two
 * seconds, plus one read.
 */
export const LAPSE_GRACE_MS = 2_300;

/** An endpoint and what is known of its record. */
interface KnownEndpoint {
  readonly endpoint: ServingEndpoint;
  readonly heardAt: number;
  /** Set while the record is missing and that proves nothing yet. */
  readonly dropAt?: number;
}

/** What a record changed. */
export type EndpointChange =
  | "added"
  | "restarted"
  | "draining"
  | "updated"
  | "removed"
  | "lapsed"
  | "none";

/**
 * Folds records of the registry.
 *
 * Guards against two opposite faults: an endpoint that is used after it left, and
 * a whole service that vanishes because its records lapsed while the registry was
 * away. A removal counts at once unless the registry has only just come back.
 */
export class EndpointFacts {
  readonly #known = new Map<EndpointId, KnownEndpoint>();
  #returnedAt = -Infinity;

  /** Notes that the registry answers again after it did not. */
  handleRegistryReturn(now: number): void {
    this.#returnedAt = now;
  }

  /** Takes a record over. */
  update(endpoint: ServingEndpoint, now: number): EndpointChange {
    const before = this.#known.get(endpoint.id)?.endpoint;
    this.#known.set(endpoint.id, { endpoint, heardAt: now });
    if (before === undefined) return "added";
    if (before.bornMs !== endpoint.bornMs) return "restarted";
    if (!before.isDraining && endpoint.isDraining) return "draining";
    return before.address === endpoint.address ? "none" : "updated";
  }

  /** Takes the loss of a record over. */
  remove(id: EndpointId, now: number): EndpointChange {
    const known = this.#known.get(id);
    if (known === undefined) return "none";
    const dropAt = this.#returnedAt + LAPSE_GRACE_MS;
    if (known.endpoint.isDraining || dropAt <= now) {
      this.#known.delete(id);
      return "removed";
    }
    this.#known.set(id, { ...known, dropAt });
    return "lapsed";
  }

  /** Removes what a whole listing doesn't name. */
  removeMissing(ids: ReadonlySet<EndpointId>, now: number): EndpointId[] {
    const missing = [...this.#known.keys()].filter((id) => !ids.has(id));
    return missing.filter((id) => this.remove(id, now) !== "none");
  }

  /** Drops endpoints whose records did not come back. */
  dropLapsed(now: number): EndpointId[] {
    const gone = [...this.#known]
      .filter(([, known]) => known.dropAt !== undefined && known.dropAt <= now)
      .map(([id]) => id);
    for (const id of gone) this.#known.delete(id);
    return gone;
  }

  /** Every endpoint that isn't gone, with the age of its record's last news. */
  getAll(now: number): { endpoint: ServingEndpoint; ageMs: number }[] {
    return [...this.#known.values()].map(({ endpoint, heardAt }) => ({
      endpoint,
      ageMs: now - heardAt,
    }));
  }
}
