/**
 * How long work takes at each endpoint now.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import { SpeedEvidence, type SpeedFigure } from "./speed_evidence.ts";

/** Bounds of a credible figure, as multiples of the usual time. */
const MIN_SLOWDOWN = 0.1;
const MAX_SLOWDOWN = 100;
/** Weight of the newest answer in the moving average of an endpoint's ratio. */
const NEWEST_RATIO_WEIGHT = 0.3;

/**
 * Estimates the slowdown of endpoints whose speed changes many times a second.
 *
 * Reports of the endpoint count first. The observed ratio of actual to expected
 * time counts for endpoints without a valid report. Without either, the mean of the
 * reports of all endpoints is returned, which is 1 if there are none.
 */
export class HostSpeeds {
  readonly #reported = new SpeedEvidence();
  readonly #observed = new SpeedEvidence();

  /**
   * Records a report of an endpoint.
   *
   * @param slowdown Multiple of the usual time; a figure that is no number or beyond
   * 0.1 to 100 is ignored.
   * @returns Whether the figure is credible.
   */
  recordReport(id: EndpointId, slowdown: number, now: number): boolean {
    const isCredible = slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN;
    if (isCredible) this.#reported.record(id, slowdown, now);
    return isCredible;
  }

  /**
   * Records how long an endpoint took for an answer.
   *
   * @param ratio Actual over expected time; ignored unless it is a positive number.
   */
  recordRatio(id: EndpointId, ratio: number, now: number): void {
    if (!(ratio > 0 && Number.isFinite(ratio))) return;
    const known = this.#observed.find(id, now)?.slowdown ?? 1;
    const average = known + NEWEST_RATIO_WEIGHT * (ratio - known);
    const bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, average));
    this.#observed.record(id, bounded, now);
  }

  /**
   * Returns how long work is expected to take at an endpoint.
   *
   * @returns A multiple of the usual time, 0.1 to 100.
   * @example
   * ```ts
   * const expectedMs = usualMs * speeds.getSlowdown(endpoint.id, performance.now());
   * ```
   */
  getSlowdown(id: EndpointId, now: number): number {
    return this.#reported.getEstimate(id, now) ??
      this.#observed.getEstimate(id, now) ?? this.#reported.getMean(now);
  }

  /** Returns the last report of an endpoint; undefined if it is too old. */
  findReport(id: EndpointId, now: number): SpeedFigure | undefined {
    return this.#reported.find(id, now);
  }

  /** Removes all endpoints but the given ones. */
  keep(ids: ReadonlySet<EndpointId>): void {
    this.#reported.keep(ids);
    this.#observed.keep(ids);
  }
}
