/**
 * Endpoint selection for requests.
 *
 * @module
 */
import * as endpointSpeed from "@sardinestep/endpoint_speed";
import * as membership from "@sardinestep/membership";
import type { EndpointId, ZoneId } from "@sardinestep/types";
import type { PromptPart } from "./prompt_session.ts";

/** An endpoint and its load as known to this VM. */
export interface PlacementCandidate {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  readonly slots: number;
  /** Requests that this VM has in flight there. */
  readonly inFlight: number;
  /** Running and queued requests of all VMs, as last reported by the endpoint. */
  readonly reported?: number;
  /** Whether other endpoints are tried first. */
  readonly isAvoided: boolean;
}

/** What a VM knows of an endpoint's speed. */
export interface EndpointSpeed {
  /** Multiple of the usual time that work takes there. */
  readonly slowdown: number;
  /** Requests that this VM sent there since the endpoint's last report. */
  readonly sentSinceReport: number;
}

/** Options of {@link pickEndpoint}. */
export interface PickEndpointOptions {
  readonly candidates: readonly PlacementCandidate[];
  /** Session whose prompt an endpoint may have cached. */
  readonly session?: PromptPart;
  /** Bytes that the request reads, by the zone that stores them. */
  readonly inputBytes?: Readonly<Record<ZoneId, number>>;
  readonly ownZone: ZoneId;
  /** Endpoints that the request was already sent to. */
  readonly tried: ReadonlySet<EndpointId>;
}

/** Options of {@link pickEndpointBySpeed}. */
export interface PickEndpointBySpeedOptions extends PickEndpointOptions {
  /** Seed of random choices. */
  readonly requestId: string;
  /** Usual time to the first event, in milliseconds. */
  readonly usualMs: number;
  /** Returns what is known of an endpoint's speed; called for few candidates. */
  readonly getSpeed: (id: EndpointId) => EndpointSpeed;
}

/**
 * Utilization up to which a session returns to its endpoint. Above it, processing
 * the prompt again elsewhere takes less time than the slower tokens here.
 */
const SESSION_MAX_UTILIZATION = 0.8;
/** Number of requests in flight above the mean at which a session moves. */
const SESSION_MAX_EXTRA_REQUESTS = 6;
/**
 * Cross-zone bytes that cost as much as one token processed again, by what
 * operators pay for either.
 */
const CROSS_ZONE_BYTES_PER_TOKEN = 5_000;
/** Utilization by which an endpoint of another zone must be lower. */
const MIN_ZONE_GAIN = 0.5;
/**
 * Speed at which an endpoint reads a prompt: the slower one of two deployments whose
 * engines read 32 and 70 tokens/ms, so that a session doesn't move too early.
 */
const READ_TOKENS_PER_MS = 32;
/**
 * Endpoints that a slowed session may move to: the next ones of its ranking, which
 * are the same on all VMs, so that its later requests find the prompt there.
 */
const SESSION_ALTERNATIVES = 2;

/**
 * Picks an endpoint.
 *
 * Rendezvous hashing maps a session to an endpoint, so all VMs send it to the one
 * that has its prompt cached, without coordination. A session moves if that
 * endpoint is full or unhealthy, or if its large inputs are stored in another zone
 * and its prompt is short. Other requests go to the least utilized endpoint, in the
 * own zone unless another one is much less utilized.
 *
 * @param options Candidates and the request.
 * @returns The endpoint's id; undefined if there is none.
 */
export function pickEndpoint(
  options: PickEndpointOptions,
): EndpointId | undefined {
  const usable = getUsable(options);
  if (usable.length === 0) return undefined;
  return options.session === undefined
    ? pickLeastUtilized(usable, options.ownZone)
    : pickForSession(
      buildSessionRanking(usable, options.session),
      options.session,
      options.inputBytes ?? {},
    ).id;
}

/**
 * Picks an endpoint where endpoints change their speed within a second.
 *
 * Requests without a session go to the earliest expected finish of a few random
 * endpoints. A session goes where {@link pickEndpoint} sends it, unless that endpoint
 * is slowed so much that one of the next ones of its ranking answers earlier, with
 * the time to read the prompt and to move the inputs.
 *
 * @param options Candidates with their slowdown, and the request.
 * @returns The endpoint's id; undefined if there is none.
 */
export function pickEndpointBySpeed(
  options: PickEndpointBySpeedOptions,
): EndpointId | undefined {
  const usable = getUsable(options);
  if (usable.length === 0) return undefined;
  const { session, inputBytes = {}, requestId, ownZone, usualMs, getSpeed } =
    options;
  if (session === undefined) {
    return endpointSpeed.pickByExpectedFinish(usable, {
      requestId,
      ownZone,
      otherZoneCost: MIN_ZONE_GAIN,
      addSpeed: (candidate) => ({ ...candidate, ...getSpeed(candidate.id) }),
    });
  }
  const ranked = buildSessionRanking(usable, session);
  const addSpeed = (candidate: PlacementCandidate) => ({
    ...candidate,
    ...getSpeed(candidate.id),
    readMs: getCost(candidate) / READ_TOKENS_PER_MS,
  });
  const getCost = buildSessionCost(ranked[0]!, session, inputBytes);
  const home = addSpeed(pickForSession(ranked, session, inputBytes));
  // Differences of load alone are left to pickForSession.
  const others = getAvailable(ranked)
    .slice(0, SESSION_ALTERNATIVES + 1)
    .map(addSpeed)
    .filter((other) => isFaster(other, home));
  if (others.length === 0) return home.id;
  return endpointSpeed.pickForSession([home, ...others], usualMs);
}

/** Whether the known speeds of two endpoints differ enough for a session to move. */
function isFaster(other: EndpointSpeed, home: EndpointSpeed): boolean {
  return other.slowdown < home.slowdown &&
    !endpointSpeed.isSameSpeed(other.slowdown, home.slowdown);
}

/** Returns the untried candidates, without avoided ones if there are others. */
function getUsable(options: PickEndpointOptions): PlacementCandidate[] {
  const untried = options.candidates.filter((candidate) =>
    !options.tried.has(candidate.id)
  );
  const healthy = untried.filter((candidate) => !candidate.isAvoided);
  return healthy.length > 0 ? healthy : untried;
}

/** Returns the zone of a session's preferred endpoint. */
export function pickSessionZone(
  candidates: readonly PlacementCandidate[],
  session: string,
): ZoneId | undefined {
  return membership.pickByHash(session, candidates, (candidate) => candidate.id)
    ?.zone;
}

function buildSessionRanking(
  usable: readonly PlacementCandidate[],
  session: PromptPart,
): PlacementCandidate[] {
  return membership.buildRanking(
    session.id,
    usable,
    (candidate) => candidate.id,
  );
}

function pickForSession(
  ranked: readonly PlacementCandidate[],
  session: PromptPart,
  inputBytes: Readonly<Record<ZoneId, number>>,
): PlacementCandidate {
  const available = getAvailable(ranked);
  const choices = available.length > 0 ? available : ranked;
  const getCost = buildSessionCost(ranked[0]!, session, inputBytes);
  return choices.reduce((best, candidate) =>
    getCost(candidate) < getCost(best) ? candidate : best
  );
}

/** Returns the endpoints that a session may use, by utilization. */
function getAvailable(
  ranked: readonly PlacementCandidate[],
): PlacementCandidate[] {
  const mean = ranked.reduce((sum, candidate) => sum + candidate.inFlight, 0) /
    ranked.length;
  return ranked.filter((candidate) =>
    getUtilization(candidate) < SESSION_MAX_UTILIZATION &&
    candidate.inFlight <= mean + SESSION_MAX_EXTRA_REQUESTS
  );
}

/** Builds the cost of a candidate: tokens read again and bytes moved, in tokens. */
function buildSessionCost(
  first: PlacementCandidate,
  session: PromptPart,
  inputBytes: Readonly<Record<ZoneId, number>>,
): (candidate: PlacementCandidate) => number {
  const allBytes = Object.values(inputBytes).reduce(
    (sum, bytes) => sum + bytes,
    0,
  );
  return (candidate) => {
    const movedBytes = allBytes - (inputBytes[candidate.zone] ?? 0);
    const reprocessedTokens = candidate === first ? 0 : session.tokens;
    return reprocessedTokens + movedBytes / CROSS_ZONE_BYTES_PER_TOKEN;
  };
}

function pickLeastUtilized(
  usable: readonly PlacementCandidate[],
  ownZone: ZoneId,
): EndpointId | undefined {
  const getScore = (candidate: PlacementCandidate) =>
    getUtilization(candidate) +
    (candidate.zone === ownZone ? 0 : MIN_ZONE_GAIN);
  const best = usable.reduce((left, right) =>
    getScore(right) < getScore(left) ? right : left
  );
  return best.id;
}

function getUtilization(candidate: PlacementCandidate): number {
  const running = Math.max(candidate.inFlight, candidate.reported ?? 0);
  return running / Math.max(1, candidate.slots);
}
