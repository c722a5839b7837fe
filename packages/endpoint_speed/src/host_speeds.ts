/**
 * How long work takes at each endpoint now.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import { isSameSpeed } from "./evidence_decay.ts";
import {
  MAX_SHARED_AGE_MS,
  MAX_SHARED_SPEEDS,
  RelayedSpeeds,
  type SharedSpeed,
} from "./relayed_speeds.ts";
import { SpeedEvidence, type SpeedFigure } from "./speed_evidence.ts";

/** Bounds of a credible figure, as multiples of the usual time. */
const MIN_SLOWDOWN = 0.1;
const MAX_SLOWDOWN = 100;
/** Which figures are passed on. */
export const SHARE_SOURCE = {
  /** Reports that this VM got itself. */
  own: "own",
  /** These and the ones that it relayed, for a VM that collects them. */
  all: "all",
} as const;
/** One of {@link SHARE_SOURCE}. */
export type ShareSource = typeof SHARE_SOURCE[keyof typeof SHARE_SOURCE];

/** Weight of the newest answer in the moving average of an endpoint's ratio. */
const NEWEST_RATIO_WEIGHT = 0.3;

/**
 * Estimates the slowdown of endpoints whose speed changes many times a second.
 *
 * The newest report of the endpoint counts first, got by this VM or passed on. The
 * observed ratio of actual to expected time counts for endpoints without a valid
 * report. Without either, the mean of the reports of all endpoints is returned, which
 * is 1 if there are none.
 */
export class HostSpeeds {
  readonly #reported = new SpeedEvidence();
  readonly #observed = new SpeedEvidence();
  readonly #relayed = new RelayedSpeeds();

  /**
   * Records a report of an endpoint.
   *
   * @param slowdown Multiple of the usual time; a figure that is no number or beyond
   * 0.1 to 100 is ignored.
   * @returns Whether the figure is credible.
   */
  recordReport(id: EndpointId, slowdown: number, now: number): boolean {
    const isCredible = slowdown >= MIN_SLOWDOWN && slowdown <= MAX_SLOWDOWN;
    if (!isCredible) return false;
    const mean = this.#reported.getMean(now);
    this.#relayed.recordReport(id, { slowdown, at: now }, mean);
    this.#reported.record(id, slowdown, now);
    return true;
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
    return this.#getRelayedEstimate(id, now) ?? this.getOwnSlowdown(id, now);
  }

  /** The same from this VM's own evidence, without what other VMs passed on. */
  getOwnSlowdown(id: EndpointId, now: number): number {
    return this.#reported.getEstimate(id, now) ??
      this.#observed.getEstimate(id, now) ?? this.#reported.getMean(now);
  }

  /** Returns the last report of an endpoint; undefined if it is too old. */
  findReport(id: EndpointId, now: number): SpeedFigure | undefined {
    return this.#reported.find(id, now);
  }

  /** Records figures that another VM passed on. */
  recordShared(speeds: readonly SharedSpeed[], now: number): void {
    for (const speed of speeds.slice(0, MAX_SHARED_SPEEDS)) {
      this.#relayed.record(speed, now);
    }
  }

  /**
   * Returns the newest figures to pass on, unusual ones first. Usual ones end the
   * effect of earlier unusual ones.
   *
   * @param source Whether figures received from other VMs are passed on too.
   * @returns At most 32 figures of at most 1 s of age.
   */
  getShared(now: number, source: ShareSource): SharedSpeed[] {
    const newest = new Map<EndpointId, SpeedFigure>(this.#reported.getAll());
    switch (source) {
      case SHARE_SOURCE.own:
        break;
      case SHARE_SOURCE.all:
        for (const [id, figure] of this.#relayed.getAll()) {
          const at = newest.get(id)?.at ?? -Infinity;
          if (figure.at > at) newest.set(id, figure);
        }
        break;
      default:
        source satisfies never;
    }
    const mean = this.#reported.getMean(now);
    return [...newest]
      .filter(([, { at }]) => now - at < MAX_SHARED_AGE_MS)
      .sort(([, left], [, right]) =>
        Number(isSameSpeed(left.slowdown, mean)) -
          Number(isSameSpeed(right.slowdown, mean)) ||
        right.at - left.at
      )
      .slice(0, MAX_SHARED_SPEEDS)
      .map(([id, { slowdown, at }]) => ({
        id,
        slowdown: Math.round(slowdown * 100) / 100,
        ageMs: Math.round(now - at),
      }));
  }

  /** Returns the estimate from another VM's figure if that is the newest one. */
  #getRelayedEstimate(id: EndpointId, now: number): number | undefined {
    const relayed = this.#relayed.find(id);
    if (relayed === undefined || now - relayed.at > MAX_SHARED_AGE_MS) {
      return undefined;
    }
    const own = this.#reported.find(id, now);
    if (own !== undefined && own.at >= relayed.at) return undefined;
    const mean = this.#reported.getMean(now);
    return mean +
      this.#relayed.getWeight(now - relayed.at) * (relayed.slowdown - mean);
  }

  /** Removes all endpoints but the given ones. */
  keep(ids: ReadonlySet<EndpointId>): void {
    this.#reported.keep(ids);
    this.#observed.keep(ids);
    this.#relayed.keep(ids);
  }
}
