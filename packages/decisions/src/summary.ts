/**
 * Gauges of a decider.
 *
 * @module
 */
import {
  type EndpointId,
  REQUEST_CLASS,
  type RequestClass,
} from "@sardinestep/types";
import type { State } from "./state.ts";

/** Gauges for metrics and status. */
export interface DeciderSummary {
  /** Requests waiting for an endpoint, by class. */
  readonly queueLengths: Readonly<Record<RequestClass, number>>;
  readonly endpoints: readonly EndpointSummary[];
}

/** Gauges of one endpoint. */
export interface EndpointSummary {
  readonly endpointId: EndpointId;
  /** Calls of this entry that run there. */
  readonly inFlight: number;
  /** Calls at once that this entry allows itself there. */
  readonly limit: number;
  /** Learned time of a call in milliseconds, 0 before the first. */
  readonly latencyMs: number;
}

/** Builds the gauges. */
export function buildSummary(state: State): DeciderSummary {
  const getLength = (requestClass: RequestClass) => {
    let length = 0;
    for (const pool of state.pools.values()) {
      length += pool.queue.getLength(requestClass);
    }
    return length;
  };
  return {
    queueLengths: {
      single: getLength(REQUEST_CLASS.single),
      lookup: getLength(REQUEST_CLASS.lookup),
      draft: getLength(REQUEST_CLASS.draft),
    },
    endpoints: [...state.endpoints.values()].map((endpoint) => ({
      endpointId: endpoint.facts.endpointId,
      inFlight: endpoint.inFlight,
      limit: endpoint.getLimit(state.now),
      latencyMs: endpoint.latencyMs,
    })),
  };
}
