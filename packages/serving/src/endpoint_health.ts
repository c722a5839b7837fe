/**
 * What this VM's own traffic tells of an endpoint.
 *
 * Health answers may be false either way, and only callers of one zone may see a
 * fault, so the answers of real requests decide.
 *
 * @module
 */

/** How one send ended, as far as it speaks for or against its endpoint. */
export const EVIDENCE = {
  /** A whole answer that isn't a failure of the endpoint. */
  good: "good",
  /** The endpoint answered that it failed. */
  failed: "failed",
  /** No answer, a broken one, or no connection. */
  broken: "broken",
} as const;
/** A value of {@link EVIDENCE}. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE];

/** Weight of the newest answer in the share of failures. */
const NEWEST_WEIGHT = 0.3;
/**
 * Share of failures from which an endpoint is avoided. Services that fail one
 * request in seven by themselves stay below it (mean 0.14, deviation 0.15).
 */
const AVOID_SHARE = 0.5;
/** First time for which a broken endpoint is avoided, in milliseconds. */
const MIN_AVOID_MS = 500;
/** Longest time; a restarted endpoint is found again within it. */
const MAX_AVOID_MS = 3_000;

/** Evidence about one endpoint. */
export class EndpointHealth {
  #failedShare = 0;
  #brokenInRow = 0;
  #avoidUntil = -Infinity;

  /** Share of failures among the newest answers, 0 to 1. */
  get failedShare(): number {
    return this.#failedShare;
  }

  /** Whether others are tried first. */
  isAvoided(now: number): boolean {
    return now < this.#avoidUntil;
  }

  /** Notes how a send ended. */
  record(evidence: Evidence, now: number): void {
    const isGood = evidence === EVIDENCE.good;
    const value = isGood ? 0 : 1;
    this.#failedShare += NEWEST_WEIGHT * (value - this.#failedShare);
    if (isGood) this.#brokenInRow = 0;
    if (evidence === EVIDENCE.broken) this.#brokenInRow += 1;
    const isAvoidable = evidence === EVIDENCE.broken ||
      this.#failedShare >= AVOID_SHARE;
    if (!isGood && isAvoidable) this.#avoid(now);
  }

  #avoid(now: number): void {
    const doubled = MIN_AVOID_MS * 2 ** Math.min(8, this.#brokenInRow);
    this.#avoidUntil = now + Math.min(MAX_AVOID_MS, doubled);
  }
}
