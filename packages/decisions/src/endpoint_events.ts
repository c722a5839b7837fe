/**
 * Handlers of events about endpoints and zones, and of ticks.
 *
 * @module
 */
import type {
  EndpointFacts,
  EndpointId,
  LoadReport,
  ZoneId,
} from "@sardinestep/types";
import { Endpoint } from "./endpoint.ts";
import type { State } from "./state.ts";

/** Adds an endpoint or applies its changed facts and slice. */
export function handleEndpointChange(
  state: State,
  facts: EndpointFacts,
  slice: number,
): void {
  const existing = state.endpoints.get(facts.endpointId);
  if (existing && existing.facts.service !== facts.service) {
    handleEndpointRemoval(state, facts.endpointId);
  }
  const pool = state.getPool(facts.service);
  const endpoint = state.endpoints.get(facts.endpointId) ??
    new Endpoint(facts, slice);
  endpoint.update(facts, slice, state.now);
  endpoint.isZoneOut = state.zonesOut.has(facts.zone);
  state.endpoints.set(facts.endpointId, endpoint);
  pool.add(endpoint);
  pool.refresh(endpoint, state.now);
  state.changedPools.add(pool);
}

/** Removes an endpoint; its running calls continue. */
export function handleEndpointRemoval(
  state: State,
  endpointId: EndpointId,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  state.endpoints.delete(endpointId);
  state.getPool(endpoint.facts.service).remove(endpoint);
}

/** Replaces the set of zones that are out of service, effective immediately. */
export function handleZoneChange(
  state: State,
  zonesOut: readonly ZoneId[],
): void {
  state.zonesOut = new Set(zonesOut);
  for (const endpoint of state.endpoints.values()) {
    endpoint.isZoneOut = state.zonesOut.has(endpoint.facts.zone);
    const pool = state.getPool(endpoint.facts.service);
    pool.refresh(endpoint, state.now);
    state.changedPools.add(pool);
  }
}

/** Applies a load report that an endpoint sent about itself. */
export function handleLoadReport(state: State, report: LoadReport): void {
  const endpoint = state.endpoints.get(report.endpointId);
  if (!endpoint) return;
  endpoint.applyReport(report, state.now);
  state.getPool(endpoint.facts.service).refresh(endpoint, state.now);
}

/** Re-enables endpoints whose pause is over and rechecks every queue. */
export function handleTick(state: State): void {
  for (const pool of state.pools.values()) {
    pool.refreshSuspended(state.now);
    if (pool.queue.length > 0) state.changedPools.add(pool);
  }
}
