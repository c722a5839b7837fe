/**
 * Endpoints that announced their shutdown in an answer.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import type { ServingEndpoint } from "./model.ts";

/** A process of an endpoint that announced its shutdown. */
export interface LeavingEndpoint {
  readonly endpointId: EndpointId;
  /** Unix time of the endpoint's start, in ms; a restart ends the announcement. */
  readonly bornMs?: number;
}

/** Remembers announcements for the rest of the endpoint's process. */
export class LeavingEndpoints {
  readonly #leaving = new Map<EndpointId, LeavingEndpoint>();

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
   * leaving.record({ endpointId: "e1", bornMs: 7 }); // true
   * leaving.record({ endpointId: "e1", bornMs: 7 }); // false
   * ```
   */
  record(leaving: LeavingEndpoint): boolean {
    const known = this.#leaving.get(leaving.endpointId);
    const isKnown = known !== undefined &&
      (known.bornMs ?? 0) >= (leaving.bornMs ?? 0);
    if (isKnown) return false;
    this.#leaving.set(leaving.endpointId, leaving);
    return true;
  }
}
