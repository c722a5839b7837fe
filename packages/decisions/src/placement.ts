/**
 * Which endpoint gets a call.
 *
 * @module
 */
import type { Endpoint } from "./endpoint.ts";
import type { Pool } from "./pool.ts";
import type { State } from "./state.ts";
import type { TrackedRequest } from "./tracked.ts";

/** Picks an endpoint for the stage that is due, if any may take it. */
export function pickEndpoint(
  _state: State,
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  let best: Endpoint | undefined;
  for (const endpoint of pool.open) {
    if (request.tried.includes(endpoint.facts.endpointId)) continue;
    if (!best || endpoint.inFlight < best.inFlight) best = endpoint;
  }
  return best;
}
