/**
 * Which endpoint gets a call.
 *
 * @module
 */
import type { EndpointRole } from "@sardinestep/types";
import type { Endpoint } from "./endpoint.ts";
import type { Pool } from "./pool.ts";
import type { State } from "./state.ts";
import { getStage, type TrackedRequest } from "./tracked.ts";

/**
 * Endpoints that are compared for one call. More change little, and the time
 * of a decision must not grow with thousands of endpoints.
 */
const MAX_COMPARED = 24;
/**
 * Another zone costs a few milliseconds and a path that may break. So work
 * stays in the own zone until its endpoints are fuller by about this part of
 * their concurrency, and then spills before a queue grows.
 */
const OTHER_ZONE_PENALTY = 0.15;
/** Model engines with a cache of prompt prefixes. */
const HAS_CACHE: Readonly<Record<EndpointRole, boolean>> = {
  generator: true,
  encoder: false,
  retriever: false,
  reranker: false,
  service: false,
};
/** Load of an endpoint relative to the mean of the pool that prefixes may cause. */
const PREFIX_LOAD_FACTOR = 1.25;
/** While a pool is nearly idle, that much load is no matter. */
const PREFIX_FREE_FILL = 0.15;
/** Cost of calls that would wait inside the endpoint. */
const OVERFULL_FACTOR = 3;

/**
 * Picks an endpoint for the stage that is due, if any may take it.
 *
 * Made for many entries that place at the same time with reports that lag: the
 * comparison begins at a random endpoint, so entries with the same news don't
 * all choose the same one, and own calls count at once.
 */
export function pickEndpoint(
  state: State,
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  return pickByPrefix(pool, request) ?? pickByCost(state, pool, request);
}

/**
 * The endpoint whose cache should hold the prefix, as long as its load stays
 * within a bound.
 *
 * Made for skewed demand: without the bound a popular prefix would drive one
 * endpoint over its limit while others idle. A few next ones on the ring take
 * what is above the bound, so that a popular prefix is cached in as many
 * places as it needs.
 */
export function pickByPrefix(
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  const { prefixHash } = request.facts;
  if (prefixHash === undefined || !HAS_CACHE[pool.role]) return undefined;
  return pool.ring.getOrder(prefixHash).find((endpoint) =>
    endpoint.openIndex >= 0 && isSuitable(endpoint, pool, request) &&
    endpoint.totalLoad < getPrefixBound(pool, endpoint)
  );
}

/** A quarter above the mean, as usual for consistent hashing with bounds. */
function getPrefixBound(pool: Pool, endpoint: Endpoint): number {
  const fill = (pool.inFlight + 1) / Math.max(1, pool.slots);
  const share = Math.min(1, PREFIX_LOAD_FACTOR * fill + PREFIX_FREE_FILL);
  return share * endpoint.facts.warmConcurrency;
}

function pickByCost(
  state: State,
  pool: Pool,
  request: TrackedRequest,
): Endpoint | undefined {
  const { open } = pool;
  const offset = Math.floor(state.getRandom() * open.length);
  const count = Math.min(open.length, MAX_COMPARED);
  let best: Endpoint | undefined;
  let bestCost = Infinity;
  for (let index = 0; index < count; index++) {
    const endpoint = open[(offset + index) % open.length];
    if (!endpoint || !isSuitable(endpoint, pool, request)) continue;
    const cost = getCost(state, endpoint);
    if (cost >= bestCost) continue;
    best = endpoint;
    bestCost = cost;
  }
  return best;
}

/**
 * Whether a request may go to an endpoint.
 *
 * Made for calls that may not be repeated: a failure of such a call is an
 * unknown outcome, so an endpoint that is on probation gets repeatable calls
 * until it has answered one, unless there is no other.
 */
export function isSuitable(
  endpoint: Endpoint,
  pool: Pool,
  request: TrackedRequest,
): boolean {
  if (request.tried.includes(endpoint.facts.endpointId)) return false;
  if (request.calls.some((call) => call.endpoint === endpoint)) return false;
  if (!endpoint.health.isProbed) return true;
  return getStage(request).repeatable || pool.trusted === 0;
}

/** Expected time there relative to an empty endpoint of the own zone. */
function getCost(state: State, endpoint: Endpoint): number {
  const { warmConcurrency, zone } = endpoint.facts;
  const fill = (endpoint.totalLoad + 1) / Math.max(1, warmConcurrency);
  const overfull = Math.max(0, fill - 1);
  const isNear = state.zone === undefined || zone === state.zone;
  const distance = isNear ? 0 : OTHER_ZONE_PENALTY;
  return endpoint.health.slowness * (1 + fill + OVERFULL_FACTOR * overfull) +
    distance;
}
