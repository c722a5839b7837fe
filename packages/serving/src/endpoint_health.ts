/**
 * Health of an endpoint as seen by this VM's own traffic.
 *
 * Health checks may be wrong either way, and a fault may affect the callers of a
 * single zone only, so the answers to real requests decide.
 *
 * @module
 */

/** How a request ended, as far as it says something about its endpoint. */
export const EVIDENCE = {
  /** A complete answer that isn't a failure of the endpoint. */
  good: "good",
  /** The endpoint answered with a failure. */
  failed: "failed",
  /** No answer, a truncated or invalid one, or no connection. */
  broken: "broken",
  /** Another process has its address. */
  misdirected: "misdirected",
} as const;
/** A value of {@link EVIDENCE}. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE];

/** Weight of the newest answer in the moving average of failures. */
const NEWEST_ANSWER_WEIGHT = 0.3;
/**
 * Share of failures from which an endpoint is avoided. Services that fail one
 * request in seven by themselves stay below it (mean 0.14, standard deviation
 * 0.15).
 */
const AVOID_SHARE = 0.5;
/** Shortest time for which an endpoint is avoided, in milliseconds. */
const MIN_AVOIDANCE_MS = 500;
/** Longest time; a restarted endpoint is used again within it. */
const MAX_AVOIDANCE_MS = 3_000;

/** Health of one endpoint. */
export class EndpointHealth {
  #failedShare = 0;
  #consecutiveBroken = 0;
  #avoidUntil = -Infinity;

  /** Moving average of failures, 0 to 1. */
  get failedShare(): number {
    return this.#failedShare;
  }

  /** Whether other endpoints are tried first. */
  isAvoided(now: number): boolean {
    return now < this.#avoidUntil;
  }

  /** Records how a request ended. */
  record(evidence: Evidence, now: number): void {
    const isGood = evidence === EVIDENCE.good;
    const isBroken = evidence === EVIDENCE.broken ||
      evidence === EVIDENCE.misdirected;
    const value = isGood ? 0 : 1;
    this.#failedShare += NEWEST_ANSWER_WEIGHT * (value - this.#failedShare);
    if (isGood) this.#consecutiveBroken = 0;
    if (isBroken) this.#consecutiveBroken += 1;
    const isUnhealthy = isBroken || this.#failedShare >= AVOID_SHARE;
    if (!isGood && isUnhealthy) this.#avoid(now);
  }

  #avoid(now: number): void {
    const avoidanceMs = MIN_AVOIDANCE_MS *
      2 ** Math.min(8, this.#consecutiveBroken);
    this.#avoidUntil = now + Math.min(MAX_AVOIDANCE_MS, avoidanceMs);
  }
}
