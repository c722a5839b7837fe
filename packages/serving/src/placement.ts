/**
 * Which endpoint a request is sent to.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { EndpointId, ZoneId } from "@sardinestep/types";
import type { PromptPart } from "./prompt_session.ts";

/** An endpoint and what this VM knows of its load. */
export interface PlacementCandidate {
  readonly id: EndpointId;
  readonly zone: ZoneId;
  readonly slots: number;
  /** Requests of this VM that run there. */
  readonly inFlight: number;
  /** Running and waiting requests of all VMs, as it said not long ago. */
  readonly reported?: number;
  /** Others are tried first. */
  readonly isAvoided: boolean;
}

/** What {@link pickEndpoint} chooses from. */
export interface PickEndpointOptions {
  readonly candidates: readonly PlacementCandidate[];
  /** Session whose prompt the endpoint may still keep. */
  readonly session?: PromptPart;
  /** Bytes that the request reads, by the zone that keeps them. */
  readonly inputBytes?: Readonly<Record<ZoneId, number>>;
  readonly ownZone: ZoneId;
  /** Endpoints that this request was already sent to. */
  readonly tried: ReadonlySet<EndpointId>;
}

/**
 * Share of an endpoint's slots up to which a session returns to it. Above it,
 * reading the prompt again elsewhere is quicker than the slower tokens here.
 */
const SESSION_LOAD_LIMIT = 0.8;
/** Requests of this VM beyond the mean at which a session moves on. */
const SESSION_EXTRA = 6;
/**
 * Bytes carried between zones that weigh as much as one token read again, by what
 * operators pay for either.
 */
const BYTES_PER_TOKEN = 5_000;
/** Share of slots in use by which another zone's endpoint must be better. */
const ZONE_GAIN = 0.5;

/**
 * Picks an endpoint.
 *
 * A session goes to the endpoint that rendezvous hashing gives it, so that all
 * VMs send it where its prompt was read before, without any exchange. It moves
 * when that one is full or broken, or when its large inputs lie in another zone
 * and its prompt is short. Other requests go to the least
 * used endpoint, in the own zone unless another is much better.
 *
 * @param options Candidates and the request.
 * @returns The endpoint's id; undefined when there is none.
 */
export function pickEndpoint(
  options: PickEndpointOptions,
): EndpointId | undefined {
  const fresh = options.candidates.filter((one) => !options.tried.has(one.id));
  const sound = fresh.filter((one) => !one.isAvoided);
  const usable = sound.length > 0 ? sound : fresh;
  if (usable.length === 0) return undefined;
  return options.session === undefined
    ? pickLeastUsed(usable, options.ownZone)
    : pickForSession(usable, options.session, options.inputBytes ?? {});
}

/** Gives the zone of a session's preferred endpoint. */
export function pickHomeZone(
  candidates: readonly PlacementCandidate[],
  session: string,
): ZoneId | undefined {
  return membership.pickByHash(session, candidates, (one) => one.id)?.zone;
}

function pickForSession(
  usable: readonly PlacementCandidate[],
  session: PromptPart,
  inputBytes: Readonly<Record<ZoneId, number>>,
): EndpointId | undefined {
  const ranked = membership.buildRanking(session.id, usable, (one) => one.id);
  const mean = usable.reduce((sum, one) => sum + one.inFlight, 0) /
    usable.length;
  const roomy = ranked.filter((one) =>
    getUse(one) < SESSION_LOAD_LIMIT && one.inFlight <= mean + SESSION_EXTRA
  );
  const choices = roomy.length > 0 ? roomy : ranked;
  const allBytes = Object.values(inputBytes).reduce((sum, one) => sum + one, 0);
  const getCost = (one: PlacementCandidate) => {
    const movedBytes = allBytes - (inputBytes[one.zone] ?? 0);
    const readTokens = one === ranked[0] ? 0 : session.tokens;
    return readTokens + movedBytes / BYTES_PER_TOKEN;
  };
  return choices.reduce((best, one) =>
    getCost(one) < getCost(best) ? one : best
  )
    .id;
}

function pickLeastUsed(
  usable: readonly PlacementCandidate[],
  ownZone: ZoneId,
): EndpointId | undefined {
  const getScore = (one: PlacementCandidate) =>
    getUse(one) + (one.zone === ownZone ? 0 : ZONE_GAIN);
  const best = usable.reduce((left, right) =>
    getScore(right) < getScore(left) ? right : left
  );
  return best.id;
}

function getUse(one: PlacementCandidate): number {
  const running = Math.max(one.inFlight, one.reported ?? 0);
  return running / Math.max(1, one.slots);
}
