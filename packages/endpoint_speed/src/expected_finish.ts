/**
 * Choice of the endpoint that is expected to finish first.
 *
 * @module
 */
import type { EndpointId, ZoneId } from "@sardinestep/types";
import murmurhash from "murmurhash";

/**
 * Endpoints of the own zone that are compared. With two, an endpoint that all VMs
 * take for the best gets at most twice its share; comparing all sends it everything.
 */
const OWN_ZONE_CHOICES = 2;

/** An endpoint, its load and its speed as known to this VM. */
export interface SpeedCandidate {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  readonly slots: number;
  /** Requests that this VM has in flight there. */
  readonly inFlight: number;
  /** Running and queued requests of all VMs, as last reported by the endpoint. */
  readonly reported?: number;
  /** Requests that this VM sent there since that report. */
  readonly sentSinceReport?: number;
  /** Multiple of the usual time that work takes there; 1 if unset. */
  readonly slowdown?: number;
}

/** The request of {@link pickByExpectedFinish}. */
export interface ExpectedFinishOptions {
  /** Seed of the random choices. */
  readonly requestId: string;
  readonly ownZone: ZoneId;
  /** What another zone costs, as a share of the usual time of one request. */
  readonly otherZoneCost: number;
  /** Adds the speed; called for the compared candidates only, to save time. */
  readonly addSpeed?: (candidate: SpeedCandidate) => SpeedCandidate;
}

/** An endpoint that may take a request of a session. */
export interface SessionCandidate extends SpeedCandidate {
  /** Time to read what it lacks of the prompt and the inputs, in milliseconds. */
  readonly readMs: number;
}

/**
 * Returns when a new request is expected to finish, in usual times of one request:
 * the work ahead by slot and its own, times the slowdown.
 */
export function getExpectedFinish(candidate: SpeedCandidate): number {
  const { inFlight, reported, sentSinceReport = 0, slots } = candidate;
  // Without a report, requests sent long ago would count although they have ended.
  const ahead = reported === undefined
    ? inFlight
    : Math.max(inFlight, reported + sentSinceReport);
  return (ahead / Math.max(1, slots) + 1) * (candidate.slowdown ?? 1);
}

/**
 * Picks an endpoint for a request without a session, where many VMs act on reports
 * of the same age and endpoints change their speed within a second.
 *
 * Two random endpoints of the own zone and one of the others are compared, so that
 * VMs with the same report don't all send to the same endpoint.
 *
 * @param candidates Endpoints that may be used.
 * @returns The endpoint's id; undefined if there is none.
 * @example
 * ```ts
 * pickByExpectedFinish(candidates, { requestId, ownZone: "a", otherZoneCost: 0.5 });
 * ```
 */
export function pickByExpectedFinish(
  candidates: readonly SpeedCandidate[],
  options: ExpectedFinishOptions,
): EndpointId | undefined {
  const { requestId, ownZone, otherZoneCost, addSpeed } = options;
  const own = candidates.filter(({ zone }) => zone === ownZone);
  const others = candidates.filter(({ zone }) => zone !== ownZone);
  const choices = own.length === 0
    ? pickRandom(others, requestId, OWN_ZONE_CHOICES)
    : [
      ...pickRandom(own, requestId, OWN_ZONE_CHOICES),
      ...pickRandom(others, requestId, 1),
    ];
  const getCost = (candidate: SpeedCandidate) =>
    getExpectedFinish(candidate) +
    (candidate.zone === ownZone ? 0 : otherZoneCost);
  const known = addSpeed === undefined ? choices : choices.map(addSpeed);
  return pickLeast(known, getCost)?.id;
}

/**
 * Picks an endpoint for a request whose session has its prompt at one of them, where
 * endpoints change their speed within a second.
 *
 * The session moves only if another endpoint is expected to answer earlier although
 * it reads the prompt again.
 *
 * @param candidates The session's endpoint, then those it may move to.
 * @param usualMs Usual time to the first event, in milliseconds.
 * @returns The endpoint's id; undefined if there is none.
 */
export function pickForSession(
  candidates: readonly SessionCandidate[],
  usualMs: number,
): EndpointId | undefined {
  const getMs = (candidate: SessionCandidate) =>
    getExpectedFinish(candidate) * usualMs +
    candidate.readMs * (candidate.slowdown ?? 1);
  return pickLeast(candidates, getMs)?.id;
}

function pickLeast<T>(
  items: readonly T[],
  getCost: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const cost = getCost(item);
    if (cost >= bestCost) continue;
    best = item;
    bestCost = cost;
  }
  return best;
}

function pickRandom<T>(items: readonly T[], seed: string, count: number): T[] {
  const left = [...items];
  const picked: T[] = [];
  for (let i = 0; i < count && left.length > 0; i++) {
    const index = murmurhash.v3(`${seed}\0${i}`) % left.length;
    picked.push(...left.splice(index, 1));
  }
  return picked;
}
