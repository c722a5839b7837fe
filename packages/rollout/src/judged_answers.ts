/**
 * Classifies counted answers as good or bad.
 *
 * @module
 */
import {
  type AnswerCounts,
  BUCKETS_PER_DOUBLING,
  parseCountsKey,
  sumCounts,
  type Tally,
} from "./answer_counts.ts";

/** Numbers of all and of bad answers. */
export interface JudgedCounts {
  readonly all: number;
  readonly bad: number;
}

/** Judged answers of both versions on one route or on {@link ALL_ROUTES}. */
export interface JudgedRoute {
  readonly present: JudgedCounts;
  /** By endpoint group. */
  readonly target: ReadonlyMap<number, JudgedCounts>;
}

/** Key of the sum over all routes. */
export const ALL_ROUTES = "*";
/** No answer yet. */
export const NO_JUDGED_COUNTS: JudgedCounts = { all: 0, bad: 0 };
/** No answer of either version yet. */
export const NO_JUDGED_ROUTE: JudgedRoute = {
  present: NO_JUDGED_COUNTS,
  target: new Map(),
};

/** Quantile of the present version's latency that is the usual longest time. */
const USUAL_LATENCY_QUANTILE = 0.95;
/** Timed answers of the present version that a route needs to judge slowness. */
const MIN_TIMED_ANSWERS = 12;

/**
 * Judges the answers of each route: bad ones failed or took much longer than usual.
 *
 * @param tally Answers of both versions.
 * @param slowFactor Multiple of the usual longest time from which an answer is slow.
 * @returns Judged answers by route, and their sum as {@link ALL_ROUTES}.
 */
export function judgeTally(
  tally: Tally,
  slowFactor: number,
): ReadonlyMap<string, JudgedRoute> {
  const present = groupByRoute(tally.present);
  const target = groupByRoute(tally.target);
  const routes = new Map<string, JudgedRoute>();
  for (const route of new Set([...present.keys(), ...target.keys()])) {
    const presentCounts = sumCounts(present.get(route)?.values() ?? []);
    const slowFrom = getSlowBucket(presentCounts, slowFactor);
    const groups = [...target.get(route) ?? []];
    routes.set(route, {
      present: judge(presentCounts, slowFrom),
      target: new Map(
        groups.map(([group, counts]) => [group, judge(counts, slowFrom)]),
      ),
    });
  }
  routes.set(ALL_ROUTES, sumRoutes([...routes.values()]));
  return routes;
}

function sumRoutes(routes: readonly JudgedRoute[]): JudgedRoute {
  const target = new Map<number, JudgedCounts>();
  for (const [group, judged] of routes.flatMap((route) => [...route.target])) {
    target.set(
      group,
      sumJudgedCounts([target.get(group) ?? NO_JUDGED_COUNTS, judged]),
    );
  }
  return {
    present: sumJudgedCounts(routes.map((route) => route.present)),
    target,
  };
}

function groupByRoute(
  countsByKey: Readonly<Record<string, AnswerCounts>>,
): Map<string, Map<number, AnswerCounts>> {
  const routes = new Map<string, Map<number, AnswerCounts>>();
  for (const [key, counts] of Object.entries(countsByKey)) {
    const { route, group } = parseCountsKey(key);
    const groups = routes.get(route) ?? new Map();
    routes.set(route, groups.set(group, counts));
  }
  return routes;
}

/** First slow bucket; `Infinity` while the present version has too few answers. */
function getSlowBucket(present: AnswerCounts, slowFactor: number): number {
  const all = countTimes(present.times);
  if (all < MIN_TIMED_ANSWERS) return Infinity;
  let cumulative = 0;
  const usualLongest = present.times.findIndex((count) => {
    cumulative += count;
    return cumulative >= USUAL_LATENCY_QUANTILE * all;
  });
  const margin = Math.ceil(Math.log2(slowFactor) * BUCKETS_PER_DOUBLING);
  return usualLongest + margin + 1;
}

function judge(
  { failed, times }: AnswerCounts,
  slowFrom: number,
): JudgedCounts {
  const slow = Number.isFinite(slowFrom)
    ? countTimes(times.slice(slowFrom))
    : 0;
  return { all: failed + countTimes(times), bad: failed + slow };
}

function countTimes(times: readonly number[]): number {
  return times.reduce((sum, count) => sum + count, 0);
}

/** Sums judged answers. */
export function sumJudgedCounts(all: Iterable<JudgedCounts>): JudgedCounts {
  return [...all].reduce(
    (sum, judged) => ({
      all: sum.all + judged.all,
      bad: sum.bad + judged.bad,
    }),
    NO_JUDGED_COUNTS,
  );
}
