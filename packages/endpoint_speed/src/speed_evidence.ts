/**
 * The last figure of the speed of each endpoint, from one source.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";
import {
  EvidenceDecay,
  isSameSpeed,
  MAX_EVIDENCE_AGE_MS,
} from "./evidence_decay.ts";

/** Half-life of figures in the mean, in ms: several slow periods of 0.6 s. */
const MEAN_HALF_LIFE_MS = 5_000;

/** A figure of an endpoint's speed. */
export interface SpeedFigure {
  /** Time that work takes, as a multiple of the usual time. */
  readonly slowdown: number;
  /** Time of the figure on this VM's monotonic clock, in milliseconds. */
  readonly at: number;
}

/** Keeps the last figure of each endpoint and estimates the present from it. */
export class SpeedEvidence {
  readonly #figures = new Map<EndpointId, SpeedFigure>();
  readonly #decay = new EvidenceDecay();
  #latest: (SpeedFigure & { readonly id: EndpointId }) | undefined;
  #meanWeight = 0;
  #meanSum = 0;
  #meanAt = 0;

  /** Records a figure that is known to be valid. */
  record(id: EndpointId, slowdown: number, now: number): void {
    const mean = this.getMean(now);
    const previous = this.#figures.get(id);
    if (previous !== undefined && !isSameSpeed(previous.slowdown, mean)) {
      this.#decay.recordPair(
        now - previous.at,
        isSameSpeed(previous.slowdown, slowdown),
      );
    }
    const latest = this.#latest;
    if (
      latest !== undefined && latest.id !== id &&
      !isSameSpeed(latest.slowdown, mean)
    ) {
      this.#decay.recordUnrelated(isSameSpeed(latest.slowdown, slowdown));
    }
    this.#latest = { id, slowdown, at: now };
    this.#figures.set(id, { slowdown, at: now });
    this.#updateMean(slowdown, now);
  }

  /** Returns the last figure of an endpoint while it still says something. */
  find(id: EndpointId, now: number): SpeedFigure | undefined {
    const figure = this.#figures.get(id);
    if (figure === undefined) return undefined;
    return now - figure.at < MAX_EVIDENCE_AGE_MS ? figure : undefined;
  }

  /** Returns the last figures of all endpoints. */
  getAll(): Iterable<readonly [EndpointId, SpeedFigure]> {
    return this.#figures;
  }

  /** Returns the expected slowdown; undefined without a valid figure. */
  getEstimate(id: EndpointId, now: number): number | undefined {
    const figure = this.find(id, now);
    if (figure === undefined) return undefined;
    const mean = this.getMean(now);
    const weight = this.#decay.getWeight(now - figure.at);
    return mean + weight * (figure.slowdown - mean);
  }

  /**
   * Returns the mean of the recent figures of all endpoints. One assumed figure of 1
   * is part of it, so that it goes back to 1 when no figures arrive any more.
   */
  getMean(now: number): number {
    const share = this.#getMeanShare(now);
    return (this.#meanSum * share + 1) / (this.#meanWeight * share + 1);
  }

  /** Removes all endpoints but the given ones. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#figures.keys()) {
      if (!ids.has(id)) this.#figures.delete(id);
    }
  }

  #updateMean(slowdown: number, now: number): void {
    const share = this.#getMeanShare(now);
    this.#meanSum = this.#meanSum * share + slowdown;
    this.#meanWeight = this.#meanWeight * share + 1;
    this.#meanAt = now;
  }

  #getMeanShare(now: number): number {
    return 0.5 ** (Math.max(0, now - this.#meanAt) / MEAN_HALF_LIFE_MS);
  }
}
