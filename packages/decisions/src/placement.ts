/**
 * Selection of the endpoint for a call.
 *
 * @module
 */
import type { EndpointRole } from "@sardinestep/types";
import type { Endpoint } from "./endpoint.ts";
import type { Pool } from "./pool.ts";
import type { State } from "./state.ts";
import { getStage, type TrackedRequest } from "./tracked.ts";

/**
 * Endpoints compared for one call. More improve the choice only slightly, and
 * the time of a decision must not grow with thousands of endpoints.
 */
const MAX_COMPARED_ENDPOINTS = 24;
/**
 * Another zone costs a few milliseconds and a path that may fail. Work stays in
 * the local zone until the utilisation of its endpoints is higher by about this
 * share of their concurrency, and spills over before a queue builds up.
 */
const OTHER_ZONE_PENALTY = 0.15;
/** Roles whose engines cache prompt prefixes. */
const HAS_CACHE: Readonly<Record<EndpointRole, boolean>> = {
  generator: true,
  encoder: false,
  retriever: false,
  reranker: false,
  service: false,
};
/** Bound on prefix-based load, relative to the mean utilisation of the pool. */
const PREFIX_LOAD_FACTOR = 1.25;
/** Utilisation that is always allowed, since it is harmless in an idle pool. */
const PREFIX_IDLE_UTILISATION = 0.15;
/**
 * Time from the end of a failed endpoint's pause until it is probed with a call
 * that may not be repeated; the cause of the failure has usually been fixed by then.
 */
const NON_REPEATABLE_PROBE_DELAY_MS = 10_000;
/** Cost factor of calls that would queue inside the endpoint. */
const OVERLOAD_FACTOR = 3;

/**
 * Picks an endpoint for the current stage, `undefined` if none is suitable.
 *
 * Many entries place calls at the same time, with load reports that lag. The
 * comparison starts at a random endpoint, so that entries with the same reports
 * do not all pick the same one, and own calls count immediately.
 */
export function pickEndpoint(
  state: State,
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  return pickByPrefix(pool, request, state.now) ??
    pickByCost(state, pool, request);
}

/**
 * Picks an endpoint that probably caches the prefix, if its load is within a
 * bound.
 *
 * Without the bound, a popular prefix would overload one endpoint while others
 * are idle. The load above the bound goes to the next endpoints on the ring, so
 * that a popular prefix is cached at as many endpoints as it needs.
 */
export function pickByPrefix(
  pool: Pool,
  request: TrackedRequest,
  now: number,
): Endpoint | undefined {
  const { prefixHash } = request.facts;
  if (prefixHash === undefined || !HAS_CACHE[pool.role]) return undefined;
  return pool.ring.getCandidates(prefixHash).find((endpoint) =>
    endpoint.availableIndex >= 0 &&
    isSuitable(endpoint, pool, { request, now }) &&
    endpoint.totalLoad < getPrefixLoadBound(pool, endpoint)
  );
}

/** A quarter above the mean, as usual in consistent hashing with bounded loads. */
function getPrefixLoadBound(pool: Pool, endpoint: Endpoint): number {
  const utilisation = (pool.inFlight + 1) / Math.max(1, pool.slots);
  const share = Math.min(
    1,
    PREFIX_LOAD_FACTOR * utilisation + PREFIX_IDLE_UTILISATION,
  );
  return share * endpoint.facts.warmConcurrency;
}

function pickByCost(
  state: State,
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  const { available } = pool;
  const offset = Math.floor(state.getRandom() * available.length);
  const count = Math.min(available.length, MAX_COMPARED_ENDPOINTS);
  let best: Endpoint | undefined;
  let bestCost = Infinity;
  for (let index = 0; index < count; index++) {
    const endpoint = available[(offset + index) % available.length];
    if (!endpoint || !isSuitable(endpoint, pool, { request, now: state.now })) {
      continue;
    }
    const cost = getPlacementCost(state, endpoint);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}

/**
 * Returns whether a request may be sent to an endpoint.
 *
 * The failure of a call that may not be repeated leaves an unknown outcome, so
 * an endpoint on probation gets only repeatable calls until it has answered
 * one. In a pool without repeatable calls, such as payments, it is probed after
 * a longer time; otherwise it would stay excluded permanently.
 */
export function isSuitable(
  endpoint: Endpoint,
  pool: Pool,
  options: { readonly request: TrackedRequest; readonly now: number },
): boolean {
  const { request, now } = options;
  if (request.excluded.includes(endpoint.facts.endpointId)) return false;
  if (request.calls.some((call) => call.endpoint === endpoint)) return false;
  const { health } = endpoint;
  if (!health.isOnProbation || getStage(request).repeatable) return true;
  return pool.healthy === 0 ||
    now - health.pausedUntil > NON_REPEATABLE_PROBE_DELAY_MS;
}

/** Returns the expected time relative to an idle endpoint of the local zone. */
function getPlacementCost(state: State, endpoint: Endpoint): number {
  const { warmConcurrency, zone } = endpoint.facts;
  const utilisation = (endpoint.totalLoad + 1) / Math.max(1, warmConcurrency);
  const overload = Math.max(0, utilisation - 1);
  const isSameZone = state.zone === undefined || zone === state.zone;
  const zonePenalty = isSameZone ? 0 : OTHER_ZONE_PENALTY;
  return endpoint.health.latencyRatio *
      (1 + utilisation + OVERLOAD_FACTOR * overload) +
    zonePenalty;
}
