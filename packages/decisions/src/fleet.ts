/**
 * News of endpoints, zones and customers.
 *
 * @module
 */
import type { EndpointFacts, EndpointId, ZoneId } from "@sardinestep/types";
import { Endpoint } from "./endpoint.ts";
import type { State } from "./state.ts";

/** Adds an endpoint or takes in what has changed. */
export function handleEndpointChange(
  state: State,
  facts: EndpointFacts,
  slice: number,
): void {
  const known = state.endpoints.get(facts.endpointId);
  if (known && known.facts.service !== facts.service) {
    handleEndpointRemoval(state, facts.endpointId);
  }
  const pool = state.getPool(facts.service);
  const endpoint = state.endpoints.get(facts.endpointId) ??
    new Endpoint(facts, slice);
  endpoint.update(facts, slice);
  endpoint.isZoneOut = state.zonesOut.has(facts.zone);
  state.endpoints.set(facts.endpointId, endpoint);
  pool.add(endpoint);
  pool.refresh(endpoint);
  state.changedPools.add(pool);
}

/** Forgets an endpoint; its running calls end by themselves. */
export function handleEndpointRemoval(
  state: State,
  endpointId: EndpointId,
): void {
  const endpoint = state.endpoints.get(endpointId);
  if (!endpoint) return;
  state.endpoints.delete(endpointId);
  state.getPool(endpoint.facts.service).remove(endpoint);
}

/** Takes zones out or in, from this event on. */
export function handleZones(state: State, zonesOut: readonly ZoneId[]): void {
  state.zonesOut = new Set(zonesOut);
  for (const endpoint of state.endpoints.values()) {
    endpoint.isZoneOut = state.zonesOut.has(endpoint.facts.zone);
    const pool = state.getPool(endpoint.facts.service);
    pool.refresh(endpoint);
    state.changedPools.add(pool);
  }
}
