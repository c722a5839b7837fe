/**
 * Label sets and the bound on how many of them are kept.
 *
 * @module
 */

/** Labels of one time series, by name. */
export type Labels = Readonly<Record<string, string>>;

/** Value of every label of the series that takes what is beyond the bound. */
export const OTHER = "other";

const NEEDS_ESCAPE = /[\\"\n]/;

/** No labels; shared, so that a call without labels allocates nothing. */
export const NO_LABELS: Labels = Object.freeze({});

/**
 * Builds the text that names a label set, in the form of Prometheus.
 *
 * @param labels The labels; their order does not matter.
 * @returns `{a="x",b="y"}`, or an empty text without labels.
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

/** Escapes what the exposition format can't carry inside quotes. */
function formatLabelValue(value: string): string {
  if (!NEEDS_ESCAPE.test(value)) return value;
  return value
    .replaceAll("\\", "\\\\")
    .replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

/**
 * Builds the label set that takes what is beyond the bound.
 *
 * @param labels Labels whose names are kept and whose values are replaced.
 */
export function buildOtherLabels(labels: Labels): Labels {
  return Object.fromEntries(
    Object.keys(labels).map((name) => [name, OTHER]),
  );
}

/**
 * Series of one metric by label set, bounded.
 *
 * Guards against labels that callers choose (a customer or pipeline name that
 * does not exist): each would add a series that is never removed, memory would
 * grow until the process dies. Beyond the bound all share one series.
 */
export class SeriesFamily<T> {
  readonly #create: () => T;
  readonly #maxSeries: number;
  readonly #byText = new Map<string, T>();
  /** Kept series once more, by a key that is cheap to build. */
  readonly #byQuickKey = new Map<string, T>();
  readonly #labelsByText = new Map<string, Labels>();

  /**
   * @param create Makes an empty series.
   * @param maxSeries Series kept, the one for all others not counted.
   */
  constructor(create: () => T, maxSeries: number) {
    this.#create = create;
    this.#maxSeries = maxSeries;
  }

  /** Gives the series of a label set, a new one if there is room. */
  get(labels: Labels): T {
    const quickKey = buildQuickKey(labels);
    const quick = this.#byQuickKey.get(quickKey);
    if (quick !== undefined) return quick;
    const text = formatLabels(labels);
    const known = this.#byText.get(text);
    const hasRoom = this.#byText.size < this.#maxSeries;
    if (known === undefined && !hasRoom) return this.#getOther(labels);
    const series = known ?? this.#add(text, labels);
    // Only of series that are kept, so this map is bounded as well.
    this.#byQuickKey.set(quickKey, series);
    return series;
  }

  #getOther(labels: Labels): T {
    // Metrics have fixed label names, so that there is one such series each.
    const otherLabels = buildOtherLabels(labels);
    const text = formatLabels(otherLabels);
    return this.#byText.get(text) ?? this.#add(text, otherLabels);
  }

  #add(text: string, labels: Labels): T {
    const series = this.#create();
    this.#byText.set(text, series);
    this.#labelsByText.set(text, labels);
    return series;
  }

  /** Lists series with the text of their labels and the labels themselves. */
  *entries(): IterableIterator<[string, T, Labels]> {
    for (const [text, series] of this.#byText) {
      yield [text, series, this.#labelsByText.get(text) ?? NO_LABELS];
    }
  }
}

/** As written by the caller, neither sorted nor escaped: this runs per count. */
function buildQuickKey(labels: Labels): string {
  let key = "";
  for (const name in labels) key += `${name}\0${labels[name]}\0`;
  return key;
}
