/**
 * Observed errors of forecasts, and the margins that follow from them.
 *
 * @module
 */
import { DecayedHistogram } from "./decayed_histogram.ts";

/** A forecast that was made when the result of a stage was available. */
export interface Forecast {
  readonly route: string;
  readonly stage: number;
  /** Expected time from the result to the first event, in milliseconds. */
  readonly predictedMs: number;
  /** Whether the first event was expected within the objective. */
  readonly isOnTime: boolean;
  /** Whether no further stage of the request had to run. */
  readonly isLast: boolean;
}

/** Observations of one route. */
interface RouteErrors {
  /** Time by which the first event came later than predicted, by stage. */
  readonly byStage: Map<number, DecayedHistogram>;
  /** Time from the last result to the first event. */
  readonly firstEvent: DecayedHistogram;
}

/** Quantile of the errors that a margin covers. */
const MARGIN_QUANTILE = 0.8;
/**
 * Largest margin as a share of the objective. A larger one leaves less time than
 * the calls of three stages take, so that idle pools could serve nothing on time.
 */
const MAX_MARGIN_SHARE = 0.35;
/** Routes that are remembered; each takes about 1 KB with three stages. */
const MAX_ROUTES = 256;
/** Stages of a route that are remembered. */
const MAX_STAGES = 16;

/**
 * Learns by route and stage how much later than predicted first events come.
 *
 * Each VM keeps its own; it is empty after a start and learns within seconds.
 */
export class ForecastErrors {
  readonly #routes = new Map<string, RouteErrors>();

  /** Number of routes that are remembered. */
  get size(): number {
    return this.#routes.size;
  }

  /**
   * Records how long the first event took after a stage's result.
   *
   * Forecasts of requests that were late already teach no margin: overload makes them
   * late, and a margin that grows with overload refuses more work than necessary.
   * They do teach the time to the first event. Otherwise a stall of the engines
   * would make every later forecast late, and the time would never be learned again.
   *
   * @param forecast The forecast at the time of the result.
   * @param actualMs Time from the result to the first event, in milliseconds.
   */
  recordError(forecast: Forecast, actualMs: number): void {
    const { route, stage, isOnTime, isLast } = forecast;
    if (stage >= MAX_STAGES) return;
    const errors = this.#updateRoute(route);
    if (isLast) errors.firstEvent.recordMs(actualMs);
    if (!isOnTime) return;
    let histogram = errors.byStage.get(stage);
    if (histogram === undefined) {
      histogram = new DecayedHistogram();
      errors.byStage.set(stage, histogram);
    }
    histogram.recordMs(actualMs - forecast.predictedMs);
  }

  /**
   * Returns the time that forecasts at a stage of a route must allow for errors.
   *
   * @param objectiveMs Objective of the route, in milliseconds.
   * @returns Milliseconds, at most {@link MAX_MARGIN_SHARE} of the objective; 0
   * while too little is known.
   * @example
   * ```ts
   * const dueAt = startedAt + objectiveMs - remainingMs -
   *   errors.getMarginMs("drafts", 1, objectiveMs);
   * ```
   */
  getMarginMs(route: string, stage: number, objectiveMs: number): number {
    const errorMs = this.#routes.get(route)?.byStage.get(stage)
      ?.getQuantileMs(MARGIN_QUANTILE) ?? 0;
    return Math.min(errorMs, objectiveMs * MAX_MARGIN_SHARE);
  }

  /**
   * Returns the median time from the last result to the first event, in
   * milliseconds; undefined while too little is known.
   */
  getFirstEventMs(route: string): number | undefined {
    return this.#routes.get(route)?.firstEvent.getQuantileMs(0.5);
  }

  /** Gives a route's entry; the least recently updated one is dropped if needed. */
  #updateRoute(route: string): RouteErrors {
    const errors = this.#routes.get(route) ??
      { byStage: new Map(), firstEvent: new DecayedHistogram() };
    this.#routes.delete(route);
    this.#routes.set(route, errors);
    if (this.#routes.size > MAX_ROUTES) {
      const [oldest] = this.#routes.keys();
      this.#routes.delete(oldest!);
    }
    return errors;
  }
}
