/**
 * Forecasts of one request: margins, admitted work, and what is learned from it.
 *
 * @module
 */
import type * as forecast from "@sardinestep/forecast";
import type * as serving from "@sardinestep/serving";

/** What a VM knows about its forecasts. */
export interface ForecastState {
  readonly errors: forecast.ForecastErrors;
  readonly ahead: forecast.AheadWork;
}

/** Options of a {@link StageForecast}. */
export interface StageForecastOptions extends ForecastState {
  readonly route: serving.Route;
  /** Time to the first event in ms, used until it is learned. */
  readonly defaultFirstEventMs: number;
  /** Whether the caller retries after a refusal; its answer is late in any case. */
  readonly isReturn: boolean;
}

/** Progress of a request at the time of a stage's result. */
export interface StageResult {
  readonly stage: number;
  /** Age of the request in ms. */
  readonly ageMs: number;
  /** Expected time of the remaining stages in ms, without queueing. */
  readonly restMs: number;
  /** The same with the reported waits, in ms. */
  readonly remainingWithWaitsMs: number;
  /** Whether no further stage has to run. */
  readonly isLast: boolean;
}

/** Applies what a VM has learned to one request, and learns from that request. */
export class StageForecast {
  readonly #options: StageForecastOptions;
  readonly #removeAhead = new Map<number, () => void>();
  #pending: {
    readonly ageMs: number;
    readonly forecast: forecast.Forecast;
  }[] = [];

  /** @param options The route and the state of the VM. */
  constructor(options: StageForecastOptions) {
    this.#options = options;
  }

  /** Expected time from the last stage result to the first event, in ms. */
  get firstEventMs(): number {
    const { errors, route, defaultFirstEventMs } = this.#options;
    return errors.getFirstEventMs(route.name) ?? defaultFirstEventMs;
  }

  /** Margin for errors of forecasts after a stage, in ms. */
  getMarginMs(stage: number): number {
    const { errors, route } = this.#options;
    return errors.getMarginMs(route.name, stage, route.objectiveMs);
  }

  /** Work in ms that this VM admitted for a pool and has not queued there. */
  getAheadMs(pool: string): number {
    return this.#options.ahead.getMs(pool);
  }

  /** Adds the admitted work of a stage, in ms of endpoint time. */
  addAhead(stage: number, pool: string, workMs: number): void {
    this.#removeAhead.set(stage, this.#options.ahead.add(pool, workMs));
  }

  /** Removes the admitted work of a stage that is queued now. */
  removeAhead(stage: number): void {
    this.#removeAhead.get(stage)?.();
    this.#removeAhead.delete(stage);
  }

  /** Removes all admitted work when the request ends. */
  release(): void {
    for (const remove of this.#removeAhead.values()) remove();
    this.#removeAhead.clear();
  }

  /** Keeps the forecast at a stage's result until the first event. */
  recordResult(result: StageResult): void {
    const { route, isReturn } = this.#options;
    const { stage, ageMs, isLast } = result;
    const { firstEventMs } = this;
    const expectedAgeMs = ageMs + result.restMs + firstEventMs;
    this.#pending.push({
      ageMs,
      forecast: {
        route: route.name,
        stage,
        // Waits that the load reports predict aren't errors of the forecast.
        predictedMs: result.remainingWithWaitsMs + firstEventMs,
        isOnTime: !isReturn && expectedAgeMs <= route.objectiveMs,
        isLast,
      },
    });
  }

  /** Drops the forecasts of a run whose results were lost. */
  dropForecasts(): void {
    this.#pending = [];
  }

  /**
   * Learns from the first event, or from the answer of a route without events.
   *
   * @param ageMs Age of the request in ms.
   */
  recordFirstEvent(ageMs: number): void {
    for (const { ageMs: resultAgeMs, forecast } of this.#pending) {
      this.#options.errors.recordError(forecast, ageMs - resultAgeMs);
    }
    this.#pending = [];
  }
}
