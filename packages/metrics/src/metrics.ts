/**
 * Counters, gauges and histograms of one process.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// Not the library's face: that one loads a formatter and a WebAssembly build
// which take longer than all else that a process loads at its start.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";
import {
  formatLabels,
  type Labels,
  NO_LABELS,
  SeriesFamily,
} from "./labels.ts";

/**
 * Label sets of one metric. Stages times endpoints of both deployments of today
 * stay below it; a histogram costs some ten kilobytes.
 */
export const MAX_SERIES = 200;
/** Metrics by name; names come from the code, so this only guards mistakes. */
export const MAX_METRICS = 300;

/** Times are kept in microseconds: lookups take less than a millisecond. */
const UNITS_PER_MS = 1_000;
/** An hour; longer times are recorded as an hour. */
const MAX_UNITS = 3_600_000 * UNITS_PER_MS;
const QUANTILES = [0.5, 0.9, 0.99];
/** Two digits: an error below 1 % at a tenth of the memory of three. */
const SIGNIFICANT_DIGITS = 2;
const CountsOf32Bits = constructorFromBucketSize(32);

/** How {@link Metrics} names and bounds its series. */
export interface MetricsOptions {
  /** Put before every name, such as `sardinestep`. */
  readonly prefix: string;
  readonly maxSeries?: number;
}

/** A counter of one label set; kept by callers on the hot path. */
export interface Counter {
  add(by?: number): void;
  readonly value: number;
}

/** A histogram of one label set; kept by callers on the hot path. */
export interface Timer {
  recordMs(ms: number): void;
}

class CounterSeries implements Counter {
  value = 0;

  add(by = 1): void {
    this.value += by;
  }
}

class GaugeSeries {
  value = 0;
}

class TimerSeries implements Timer {
  readonly histogram: Histogram;
  sumMs = 0;

  constructor() {
    this.histogram = new CountsOf32Bits(1, 2, SIGNIFICANT_DIGITS);
    this.histogram.autoResize = true;
  }

  recordMs(ms: number): void {
    // A clock that is set back must not throw inside a request.
    if (!(ms >= 0)) return;
    const bounded = Math.min(ms * UNITS_PER_MS, MAX_UNITS);
    this.histogram.recordValue(Math.round(bounded));
    this.sumMs += ms;
  }
}

/**
 * Counts and measures; all memory is bounded.
 *
 * @example
 * ```ts
 * const metrics = new Metrics({ prefix: "sardinestep" });
 * const refused = metrics.counter("refused_total", { code: "QUEUE_FULL" });
 * refused.add();
 * metrics.recordMs("stage_ms", { stage: "rerank" }, 12.5);
 * ```
 */
export class Metrics {
  readonly #prefix: string;
  readonly #maxSeries: number;
  readonly #counters = new Map<string, SeriesFamily<CounterSeries>>();
  readonly #gauges = new Map<string, SeriesFamily<GaugeSeries>>();
  readonly #timers = new Map<string, SeriesFamily<TimerSeries>>();

  /** @param options Prefix of names and bound of label sets. */
  constructor(options: MetricsOptions) {
    this.#prefix = options.prefix;
    this.#maxSeries = options.maxSeries ?? MAX_SERIES;
  }

  /** Gives the counter of a label set; keep it where each call counts. */
  counter(name: string, labels: Labels = NO_LABELS): Counter {
    return this.#getFamily(this.#counters, name, () => new CounterSeries())
      .get(labels);
  }

  /** Gives the histogram of a label set; keep it where each call counts. */
  timer(name: string, labels: Labels = NO_LABELS): Timer {
    return this.#getFamily(this.#timers, name, () => new TimerSeries())
      .get(labels);
  }

  /** Adds to a counter. */
  count(name: string, labels: Labels = NO_LABELS, by = 1): void {
    this.counter(name, labels).add(by);
  }

  /** Sets a gauge. */
  setGauge(name: string, labels: Labels, value: number): void {
    this.#getFamily(this.#gauges, name, () => new GaugeSeries())
      .get(labels).value = value;
  }

  /** Records a time in milliseconds; negative and undefined ones are ignored. */
  recordMs(name: string, labels: Labels, ms: number): void {
    this.timer(name, labels).recordMs(ms);
  }

  /** Gives every counter by `name{labels}`, without the prefix. */
  getCounters(): Record<string, number> {
    const values: Record<string, number> = {};
    for (const [name, family] of this.#counters) {
      for (const [text, series] of family.entries()) {
        values[`${name}${text}`] = series.value;
      }
    }
    return values;
  }

  /** Gives everything in the text form that Prometheus reads. */
  formatPrometheus(): string {
    const lines: string[] = [];
    this.#addValues(lines, "counter", this.#counters);
    this.#addValues(lines, "gauge", this.#gauges);
    this.#addSummaries(lines);
    return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
  }

  #getFamily<T>(
    families: Map<string, SeriesFamily<T>>,
    name: string,
    create: () => T,
  ): SeriesFamily<T> {
    const known = families.get(name);
    if (known !== undefined) return known;
    if (families.size >= MAX_METRICS) {
      throw new Error(
        `Cannot add metric "${name}": names must come from the code, and ` +
          `there are ${MAX_METRICS} already`,
      );
    }
    const family = new SeriesFamily(create, this.#maxSeries);
    families.set(name, family);
    return family;
  }

  #addValues(
    lines: string[],
    type: "counter" | "gauge",
    families: ReadonlyMap<string, SeriesFamily<{ readonly value: number }>>,
  ): void {
    for (const [name, family] of families) {
      lines.push(`# TYPE ${this.#prefix}_${name} ${type}`);
      for (const [text, series] of family.entries()) {
        lines.push(`${this.#prefix}_${name}${text} ${series.value}`);
      }
    }
  }

  #addSummaries(lines: string[]): void {
    for (const [name, family] of this.#timers) {
      const fullName = `${this.#prefix}_${name}`;
      lines.push(`# TYPE ${fullName} summary`);
      for (const [text, series, labels] of family.entries()) {
        lines.push(...formatQuantiles(fullName, series, labels));
        lines.push(`${fullName}_sum${text} ${series.sumMs}`);
        lines.push(`${fullName}_count${text} ${series.histogram.totalCount}`);
      }
    }
  }
}

function formatQuantiles(
  fullName: string,
  series: TimerSeries,
  labels: Labels,
): string[] {
  return QUANTILES.map((quantile) => {
    const text = formatLabels({ ...labels, quantile: String(quantile) });
    const units = series.histogram.getValueAtPercentile(quantile * 100);
    return `${fullName}${text} ${units / UNITS_PER_MS}`;
  });
}
