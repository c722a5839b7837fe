/**
 * Label sets, and the limit on the number of time series per metric.
 *
 * @module
 */

/** Labels of one time series, by name. */
export type Labels = Readonly<Record<string, string>>;

/** Label value of the series that is shared by label sets beyond the limit. */
export const OTHER_LABEL_VALUE = "other";

const NEEDS_ESCAPE = /[\\"\n]/;

/** Empty label set; shared, so that calls without labels allocate nothing. */
export const NO_LABELS: Labels = Object.freeze({});

/**
 * Formats a label set in the Prometheus exposition format.
 *
 * @param labels The labels; their order does not matter.
 * @returns `{a="x",b="y"}`, or an empty string without labels.
 * @example
 * ```ts
 * formatLabels({ stage: "rerank" }); // {stage="rerank"}
 * ```
 */
export function formatLabels(labels: Labels): string {
  const names = Object.keys(labels);
  if (names.length === 0) return "";
  names.sort();
  const pairs = names.map((name) =>
    `${name}="${formatLabelValue(labels[name] ?? "")}"`
  );
  return `{${pairs.join(",")}}`;
}

/** Escapes characters that the exposition format doesn't allow in quotes. */
function formatLabelValue(value: string): string {
  if (!NEEDS_ESCAPE.test(value)) return value;
  return value
    .replaceAll("\\", "\\\\")
    .replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

/**
 * Builds the label set of the series shared beyond the limit.
 *
 * @param labels Labels whose names are kept and whose values are replaced.
 */
export function buildOtherLabels(labels: Labels): Labels {
  return Object.fromEntries(
    Object.keys(labels).map((name) => [name, OTHER_LABEL_VALUE]),
  );
}

/**
 * The time series of one metric by label set, limited in number.
 *
 * Callers control some label values, such as the name of an unknown customer or
 * pipeline. Without a limit each new value would add a series that is never
 * removed, until the process runs out of memory. Label sets beyond the limit
 * share one series.
 */
export class MetricFamily<T> {
  readonly #create: () => T;
  readonly #maxSeries: number;
  readonly #seriesByText = new Map<string, T>();
  /** The same series by a key that is cheaper to build than the label text. */
  readonly #seriesByFastKey = new Map<string, T>();
  readonly #labelsByText = new Map<string, Labels>();

  /**
   * @param create Creates an empty series.
   * @param maxSeries Maximum series, not counting the shared one.
   */
  constructor(create: () => T, maxSeries: number) {
    this.#create = create;
    this.#maxSeries = maxSeries;
  }

  /** Returns the series of a label set; creates it if below the limit. */
  get(labels: Labels): T {
    const fastKey = buildFastKey(labels);
    const cached = this.#seriesByFastKey.get(fastKey);
    if (cached !== undefined) return cached;
    const text = formatLabels(labels);
    const existing = this.#seriesByText.get(text);
    const isBelowLimit = this.#seriesByText.size < this.#maxSeries;
    if (existing === undefined && !isBelowLimit) return this.#getShared(labels);
    const series = existing ?? this.#add(text, labels);
    // Not done for the shared series, so this map is bounded as well.
    this.#seriesByFastKey.set(fastKey, series);
    return series;
  }

  #getShared(labels: Labels): T {
    // A metric has fixed label names, so it has only one shared series.
    const sharedLabels = buildOtherLabels(labels);
    const text = formatLabels(sharedLabels);
    return this.#seriesByText.get(text) ?? this.#add(text, sharedLabels);
  }

  #add(text: string, labels: Labels): T {
    const series = this.#create();
    this.#seriesByText.set(text, series);
    this.#labelsByText.set(text, labels);
    return series;
  }

  /** Iterates over the series with their formatted labels and their labels. */
  *entries(): IterableIterator<[string, T, Labels]> {
    for (const [text, series] of this.#seriesByText) {
      yield [text, series, this.#labelsByText.get(text) ?? NO_LABELS];
    }
  }
}

/** Runs on every count: keeps the caller's label order and doesn't escape. */
function buildFastKey(labels: Labels): string {
  let key = "";
  for (const name in labels) key += `${name}\0${labels[name]}\0`;
  return key;
}
