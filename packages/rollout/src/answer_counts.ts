/**
 * Counters of answers. They only grow, so two views of them merge by maximum.
 *
 * @module
 */
import murmurhash from "murmurhash";

/** Which of the two versions a request was sent to. */
export const SIDE = {
  /** The version that was in service before the order. */
  present: "present",
  /** The version that the order names. */
  target: "target",
} as const;
/** A value of {@link SIDE}. */
export type Side = typeof SIDE[keyof typeof SIDE];

/** Answers of one version on one route. */
export interface AnswerCounts {
  readonly sent: number;
  /** Sent requests that ended, whatever the outcome. */
  readonly ended: number;
  /** Requests that failed or whose answer was cut off. */
  readonly failed: number;
  /** Latency histogram of the other answers, see {@link getTimeBucket}. */
  readonly times: readonly number[];
}

/** Answer counts by version and by {@link getCountsKey}. */
export type Tally = Readonly<
  Record<Side, Readonly<Record<string, AnswerCounts>>>
>;

/** Route and endpoint group that answers are counted by. */
export interface CountsPlace {
  readonly route: string;
  /** Group of the version's endpoints, from {@link getGroup}. */
  readonly group: number;
}

/** Counts of zero. */
export const NO_ANSWERS: AnswerCounts = {
  sent: 0,
  ended: 0,
  failed: 0,
  times: [],
};
/** A tally without counts. */
export const NO_TALLY: Tally = { present: {}, target: {} };

/**
 * Number of groups that a version's endpoints are hashed into: a fault of one
 * endpoint shows in one group, a fault of the version in all of them.
 */
const GROUP_COUNT = 4;
/** Upper end of the first latency bucket. */
const FIRST_BUCKET_MS = 10;
/** Number of buckets per doubling of the latency. */
export const BUCKETS_PER_DOUBLING = 2;
/** Number of latency buckets; the last one has no upper end. */
const BUCKET_COUNT = 22;

/** Returns the group that an endpoint belongs to. */
export function getGroup(endpointId: string): number {
  return murmurhash.v3(endpointId) % GROUP_COUNT;
}

/** Formats the key of the counters of a route and group. */
export function getCountsKey({ group, route }: CountsPlace): string {
  return `${group}:${route}`;
}

/** Parses a key from {@link getCountsKey}. */
export function parseCountsKey(key: string): CountsPlace {
  const colon = key.indexOf(":");
  return { group: Number(key.slice(0, colon)), route: key.slice(colon + 1) };
}

/** Returns the latency bucket of a time in milliseconds. */
export function getTimeBucket(ms: number): number {
  const doublings = Math.log2(Math.max(1, ms / FIRST_BUCKET_MS));
  return Math.min(
    BUCKET_COUNT - 1,
    Math.ceil(doublings * BUCKETS_PER_DOUBLING),
  );
}

/** Merges two views of the same counters; the larger value is the newer one. */
export function mergeTallies(a: Tally, b: Tally): Tally {
  return combineTallies([a, b], Math.max);
}

/** Sums the counters of different VMs. */
export function addTallies(all: Iterable<Tally>): Tally {
  return combineTallies(all, add);
}

/** Sums counts, such as all those of one version. */
export function sumCounts(all: Iterable<AnswerCounts>): AnswerCounts {
  const sum = createCounts();
  for (const counts of all) combineInto(sum, counts, add);
  return sum;
}

type Combine = (left: number, right: number) => number;
type MutableCounts = {
  -readonly [K in keyof AnswerCounts]: K extends "times" ? number[] : number;
};

function add(a: number, b: number): number {
  return a + b;
}

function createCounts(): MutableCounts {
  return { sent: 0, ended: 0, failed: 0, times: [] };
}

function combineTallies(all: Iterable<Tally>, combine: Combine): Tally {
  const present: Record<string, MutableCounts> = {};
  const target: Record<string, MutableCounts> = {};
  for (const tally of all) {
    combineSide(present, tally.present, combine);
    combineSide(target, tally.target, combine);
  }
  return { present, target };
}

function combineSide(
  results: Record<string, MutableCounts>,
  side: Readonly<Record<string, AnswerCounts>>,
  combine: Combine,
): void {
  for (const [key, counts] of Object.entries(side)) {
    combineInto(results[key] ??= createCounts(), counts, combine);
  }
}

function combineInto(
  result: MutableCounts,
  counts: AnswerCounts,
  combine: Combine,
): void {
  result.sent = combine(result.sent, counts.sent);
  result.ended = combine(result.ended, counts.ended);
  result.failed = combine(result.failed, counts.failed);
  counts.times.forEach((count, bucket) => {
    result.times[bucket] = combine(result.times[bucket] ?? 0, count);
  });
}

/** Formats the counts of both versions for a log line. */
export function formatTally({ present, target }: Tally): string {
  const format = (counts: Readonly<Record<string, AnswerCounts>>) => {
    const { sent, ended, failed } = sumCounts(Object.values(counts));
    return `${sent} sent, ${ended} ended, ${failed} failed`;
  };
  return `target ${format(target)}; present ${format(present)}`;
}

/** Counts the requests in flight at one version, over all VMs in the tally. */
export function countRunning(tally: Tally, side: Side): number {
  const { sent, ended } = sumCounts(Object.values(tally[side]));
  return Math.max(0, sent - ended);
}
