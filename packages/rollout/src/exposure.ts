/**
 * Chooses the requests and endpoints that are exposed to an unproved version.
 *
 * Every request to a bad version may fail for its caller, while too few of them
 * prove nothing before the order's deadline. All VMs choose the same share of
 * sessions, so a conversation stays at one version and its prompt where it was
 * cached. Few endpoints take that share, so each has more load than an endpoint of
 * the present version.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { EndpointId } from "@sardinestep/types";
import murmurhash from "murmurhash";
import { getEndpointGroup } from "./answer_counts.ts";
import type { RolloutOrder } from "./order.ts";
import type { ExposureBound } from "./settings.ts";

/** Part of the bound's share that is used as the share of sessions. */
const SESSION_PART = 0.9;
/**
 * Part of the bound's share that counted requests may reach: the counts of other
 * VMs arrive some gossip exchanges late.
 */
const COUNTED_PART = 0.9;
/** Part of the bound's slack that is used. */
const SLACK_PART = 0.3;
/** Requests that one VM may send beyond the share of its own requests. */
const OWN_SLACK_REQUESTS = 2;
/** Minimum number of canary endpoints, since a fault of one proves nothing. */
const MIN_CANARIES = 2;
/**
 * Canary endpoints for each endpoint that the present version needs for the same
 * share of requests. Less than 1, so that faults under load show in the canary
 * phase.
 */
const CANARY_ENDPOINT_RATIO = 0.6;
/** Part of its slots that the expected requests of a loaded canary may take. */
const LOADED_SLOT_SHARE = 0.5;
/**
 * Part of the order's duration for which a canary has the load, long enough for
 * its requests to add up.
 */
const LOAD_TURN_SHARE = 1 / 8;
const HASH_RANGE = 2 ** 32;

/** Returns the share of sessions that the canary phase routes to the target. */
export function getCanaryShare(bound: ExposureBound): number {
  return bound.share * SESSION_PART;
}

/** Hashes a session to a number in [0, 1); the same on every VM. */
export function getSessionFraction(
  order: RolloutOrder,
  session: string,
): number {
  return murmurhash.v3(`${order.service}\0${order.target}\0${session}`) /
    HASH_RANGE;
}

/** Requests sent so far: by all VMs, as last reported to this one, and by it. */
export interface SentCounts {
  readonly all: number;
  readonly target: number;
  readonly own: number;
  readonly ownTarget: number;
}

/**
 * Whether one more request to the target version stays within the bound.
 *
 * Guards against a session with a large part of the traffic: routing by hash alone
 * would send all of it to an unproved version.
 *
 * @param sent Requests sent so far.
 * @param bound The operator's bound.
 */
export function isWithinExposureBound(
  sent: SentCounts,
  bound: ExposureBound,
): boolean {
  const share = bound.share * COUNTED_PART;
  const isWithinAll = sent.target + 1 <=
    share * sent.all + bound.slack * SLACK_PART;
  return isWithinAll &&
    sent.ownTarget + 1 <= OWN_SLACK_REQUESTS + share * sent.own;
}

/** Input of {@link pickCanaries}. */
export interface PickCanariesOptions {
  readonly order: RolloutOrder;
  /** Endpoints of the target version. */
  readonly target: readonly EndpointId[];
  /** Number of endpoints of the present version. */
  readonly present: number;
  /** Share of sessions that the canaries take, 0 to 1. */
  readonly share: number;
}

/**
 * Picks the canary endpoints of the target version, from different groups first.
 *
 * @returns Ids; the same on every VM that knows the same endpoints.
 */
export function pickCanaries(
  { order, target, present, share }: PickCanariesOptions,
): ReadonlySet<EndpointId> {
  const size = Math.max(
    MIN_CANARIES,
    Math.ceil(present * share * CANARY_ENDPOINT_RATIO),
  );
  const subject = `canary\0${order.service}\0${order.target}`;
  const ranked = membership.buildRanking(subject, target, (id) => id);
  const seenGroups = new Set<number>();
  const firstOfGroups = ranked.filter((id) => {
    const isFirst = !seenGroups.has(getEndpointGroup(id));
    seenGroups.add(getEndpointGroup(id));
    return isFirst;
  });
  const others = ranked.filter((id) => !firstOfGroups.includes(id));
  return new Set([...firstOfGroups, ...others].slice(0, size));
}

/** Input of {@link pickLoadedCanaries}. */
export interface PickLoadedCanariesOptions {
  /** Requests that are expected to run at all canaries together. */
  readonly expectedRunning: number;
  /** Requests that one canary runs at the same time. */
  readonly slots: number;
  readonly elapsedMs: number;
  readonly durationMs: number;
}

/**
 * Picks the canaries that take requests now; the others have their turn later.
 *
 * Guards against a version that fails under load only: spread over all canaries,
 * few requests never load one, and the version would meet its first load when it
 * serves everybody.
 *
 * @param canaries All canaries, from {@link pickCanaries}.
 * @param options Expected requests, and the time that decides the turn.
 * @returns Ids; the same on every VM that expects as many requests.
 * @example
 * ```ts
 * pickLoadedCanaries(canaries, { expectedRunning: 7, slots: 64, elapsedMs, durationMs }); // one id
 * ```
 */
export function pickLoadedCanaries(
  canaries: ReadonlySet<EndpointId>,
  options: PickLoadedCanariesOptions,
): ReadonlySet<EndpointId> {
  const { expectedRunning, slots, elapsedMs, durationMs } = options;
  const count = Math.max(
    1,
    Math.ceil(expectedRunning / (slots * LOADED_SLOT_SHARE)),
  );
  if (count >= canaries.size) return canaries;
  const turn = Math.floor(elapsedMs / (durationMs * LOAD_TURN_SHARE));
  const first = turn * count;
  const ids = [...canaries];
  return new Set(
    Array.from({ length: count }, (_, i) => ids[(first + i) % ids.length]!),
  );
}
