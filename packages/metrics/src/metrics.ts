/**
 * Counters, gauges and histograms of one process.
 *
 * @module
 */
import type { Histogram } from "hdr-histogram-js";
// The package's main entry also loads a formatter and a WebAssembly build, and
// takes longer to load than everything else that a process needs at startup.
import { constructorFromBucketSize } from "hdr-histogram-js/dist/JsHistogramFactory.js";
import {
  formatLabels,
  type Labels,
  MetricFamily,
  NO_LABELS,
} from "./labels.ts";

/**
 * Maximum label sets per metric. The stages times endpoints of each of the two
 * current deployments stay below it; a histogram takes about 10 kB.
 */
export const MAX_SERIES_PER_METRIC = 200;
/** Maximum metric names. Names are fixed in the code: this catches mistakes. */
export const MAX_METRICS = 300;

/** Times are recorded in microseconds: lookups take less than 1 ms. */
const US_PER_MS = 1_000;
/** One hour; longer times are recorded as one hour. */
const MAX_TIME_US = 3_600_000 * US_PER_MS;
const QUANTILES = [0.5, 0.9, 0.99];
/** Two digits give an error below 1 % with a tenth of the memory of three. */
const SIGNIFICANT_DIGITS = 2;
const Histogram32Bit = constructorFromBucketSize(32);

/** Metric name prefix and series limit of {@link Metrics}. */
export interface MetricsOptions {
  /** Prefix of every metric name, such as `sardinestep`. */
  readonly prefix: string;
  readonly maxSeries?: number;
}

/** A counter of one label set; callers on the hot path keep a reference. */
export interface Counter {
  add(by?: number): void;
  readonly value: number;
}

/** A histogram of one label set; callers on the hot path keep a reference. */
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
    this.histogram = new Histogram32Bit(1, 2, SIGNIFICANT_DIGITS);
    this.histogram.autoResize = true;
  }

  recordMs(ms: number): void {
    // A clock that was set back must not make a request fail.
    if (!(ms >= 0)) return;
    const bounded = Math.min(ms * US_PER_MS, MAX_TIME_US);
    this.histogram.recordValue(Math.round(bounded));
    this.sumMs += ms;
  }
}

/**
 * Counters, gauges and histograms with bounded memory.
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
  readonly #counters = new Map<string, MetricFamily<CounterSeries>>();
  readonly #gauges = new Map<string, MetricFamily<GaugeSeries>>();
  readonly #timers = new Map<string, MetricFamily<TimerSeries>>();

  /** @param options Prefix of metric names and limit on label sets. */
  constructor(options: MetricsOptions) {
    this.#prefix = options.prefix;
    this.#maxSeries = options.maxSeries ?? MAX_SERIES_PER_METRIC;
  }

  /** Returns the counter of a label set; keep the reference on hot paths. */
  counter(name: string, labels: Labels = NO_LABELS): Counter {
    return this.#getFamily(this.#counters, name, () => new CounterSeries())
      .get(labels);
  }

  /** Returns the histogram of a label set; keep the reference on hot paths. */
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

  /** Records a time in milliseconds; ignores negative values and NaN. */
  recordMs(name: string, labels: Labels, ms: number): void {
    this.timer(name, labels).recordMs(ms);
  }

  /** Returns all counters by `name{labels}`, without the prefix. */
  getCounters(): Record<string, number> {
    const values: Record<string, number> = {};
    for (const [name, family] of this.#counters) {
      for (const [text, series] of family.entries()) {
        values[`${name}${text}`] = series.value;
      }
    }
    return values;
  }

  /** Formats all metrics in the Prometheus text format. */
  formatPrometheus(): string {
    const lines: string[] = [];
    this.#addValues(lines, "counter", this.#counters);
    this.#addValues(lines, "gauge", this.#gauges);
    this.#addSummaries(lines);
    return lines.length === 0 ? "" : `${lines.join("\n")}\n`;
  }

  #getFamily<T>(
    families: Map<string, MetricFamily<T>>,
    name: string,
    create: () => T,
  ): MetricFamily<T> {
    const existing = families.get(name);
    if (existing !== undefined) return existing;
    if (families.size >= MAX_METRICS) {
      throw new Error(
        `Cannot add metric "${name}": names must be fixed in the code, and ` +
          `the limit of ${MAX_METRICS} names is reached`,
      );
    }
    const family = new MetricFamily(create, this.#maxSeries);
    families.set(name, family);
    return family;
  }

  #addValues(
    lines: string[],
    type: "counter" | "gauge",
    families: ReadonlyMap<string, MetricFamily<{ readonly value: number }>>,
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
    const us = series.histogram.getValueAtPercentile(quantile * 100);
    return `${fullName}${text} ${us / US_PER_MS}`;
  });
}
