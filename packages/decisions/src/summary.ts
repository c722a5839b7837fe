/**
 * Gauges of a decider for metrics and status.
 *
 * @module
 */
import {
  type EndpointId,
  REQUEST_CLASS,
  type RequestClass,
} from "@sardinestep/types";
import type { State } from "./state.ts";

/** Gauges of a decider. */
export interface DeciderSummary {
  /** Number of requests waiting for an endpoint, by class. */
  readonly queueLengths: Readonly<Record<RequestClass, number>>;
  readonly endpoints: readonly EndpointSummary[];
}

/** Gauges of one endpoint. */
export interface EndpointSummary {
  readonly endpointId: EndpointId;
  /** Number of running calls of this entry. */
  readonly inFlight: number;
  /** Current limit on concurrent calls of this entry. */
  readonly limit: number;
  /** Moving average of its call times in milliseconds, 0 before the first. */
  readonly latencyMs: number;
}

/** Builds the gauges from the state of a decider. */
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
