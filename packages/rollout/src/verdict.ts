/**
 * Decides from answer counts whether the target version is good or bad.
 *
 * A bad version fails a share of its requests, from the start or after some seconds,
 * on all routes or on one, or it answers several times slower. Meanwhile crashes of
 * engines, lost answers and bursts of load affect both versions.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Tally } from "./answer_counts.ts";
import {
  ALL_ROUTES,
  type JudgedCounts,
  type JudgedRoute,
  judgeTally,
  NO_JUDGED_COUNTS,
  NO_JUDGED_ROUTE,
  sumJudgedCounts,
} from "./judged_answers.ts";
import type { VerdictSettings } from "./settings.ts";

/** What the answers prove so far. */
export type Verdict =
  /** Undecided; `proof` is the share of the evidence for good so far, 0 to 1. */
  | { readonly kind: "open"; readonly proof: number }
  | { readonly kind: "good" }
  | { readonly kind: "bad"; readonly reason: string };

/** Method of deciding a verdict. */
export type VerdictPolicy =
  /** Bad if bad answers reach both a number and a share of all. */
  | {
    readonly kind: "fixedThreshold";
    readonly badAnswers: number;
    readonly badShare: number;
    readonly enoughAnswers: number;
  }
  /** Sequential likelihood ratio test against the present version. */
  | { readonly kind: "sequential"; readonly settings: VerdictSettings };

/** Evidence on one route. */
interface RouteState {
  /** All answers at the last evaluation. */
  readonly total: JudgedRoute;
  /** Exponentially decayed answers, for each of {@link HALF_LIVES_MS}. */
  readonly decayed: readonly JudgedRoute[];
}

/** State that {@link decideVerdict} keeps between two evaluations. */
export interface VerdictState {
  readonly evaluatedAt: number;
  readonly routes: ReadonlyMap<string, RouteState>;
}

/** State before the first evaluation. */
export const NO_VERDICT_STATE: VerdictState = {
  evaluatedAt: 0,
  routes: new Map(),
};

/**
 * Half-lives of an answer's weight: the short one detects a version that turns bad,
 * the long one works with few answers.
 */
const HALF_LIVES_MS = [1_500, 6_000] as const;
/** Weight of the prior: assumed answers, and the bad ones among them. */
const PRIOR_ANSWERS = 20;
const PRIOR_BAD_ANSWERS = 1;
/** Limits of the share of bad answers that is assumed of a good version. */
const MIN_BAD_SHARE = 0.02;
const MAX_BAD_SHARE = 0.6;
/** Share of the needed evidence that must remain without the worst endpoint group. */
const MIN_EVIDENCE_SHARE_WITHOUT_WORST = 1 / 3;
/** Share of the target's answers from which a route needs a proof of its own. */
const ROUTE_PROOF_MIN_TRAFFIC_SHARE = 0.1;
/** Proof that such a route needs, as a share of the proof over all routes. */
const ROUTE_PROOF_SHARE = 0.35;

/** Input of {@link decideVerdict}. */
export interface DecideVerdictOptions {
  readonly state: VerdictState;
  /** Answers of all VMs. */
  readonly tally: Tally;
  readonly policy: VerdictPolicy;
  readonly now: number;
}

/**
 * Evaluates the answers that arrived since the last evaluation.
 *
 * @param options Answers of both versions and the state of the last evaluation.
 * @returns The verdict, and the state for the next evaluation.
 * @example
 * ```ts
 * const { verdict, state } = decideVerdict({ state: NO_VERDICT_STATE, tally, policy, now });
 * ```
 */
export function decideVerdict(
  options: DecideVerdictOptions,
): { readonly verdict: Verdict; readonly state: VerdictState } {
  const { policy, tally, state } = options;
  return match(policy)
    .with({ kind: "fixedThreshold" }, (threshold) => ({
      verdict: decideByThreshold(judgeTally(tally, Infinity), threshold),
      state,
    }))
    .with(
      { kind: "sequential" },
      ({ settings }) => decideByLikelihoodRatio(options, settings),
    )
    .exhaustive();
}

function decideByThreshold(
  judged: ReadonlyMap<string, JudgedRoute>,
  policy: VerdictPolicy & { kind: "fixedThreshold" },
): Verdict {
  const { all, bad } = sumJudgedCounts(
    judged.get(ALL_ROUTES)?.target.values() ?? [],
  );
  if (bad >= policy.badAnswers && bad >= policy.badShare * all) {
    return { kind: "bad", reason: `${bad} of ${all} answers are bad` };
  }
  if (all >= policy.enoughAnswers) return { kind: "good" };
  return { kind: "open", proof: all / policy.enoughAnswers };
}

function decideByLikelihoodRatio(
  { state, tally, now }: DecideVerdictOptions,
  settings: VerdictSettings,
): { verdict: Verdict; state: VerdictState } {
  const judged = judgeTally(tally, settings.slowFactor);
  const elapsedMs = now - state.evaluatedAt;
  const routes = new Map<string, RouteState>();
  let reason: string | undefined;
  for (const [route, total] of judged) {
    const previous = state.routes.get(route) ?? NO_ROUTE_STATE;
    const decayed = HALF_LIVES_MS.map((halfLifeMs, i) => {
      const decay = 0.5 ** (elapsedMs / halfLifeMs);
      return decayAnswers(previous.decayed[i]!, {
        previous: previous.total,
        total,
        decay,
      });
    });
    routes.set(route, { total, decayed });
    const priorShare = estimateBadShare(
      total.present,
      PRIOR_BAD_ANSWERS / PRIOR_ANSWERS,
    );
    const isBad = decayed.some((counts) =>
      isProvedBad(counts, { priorShare, settings })
    );
    if (isBad) reason ??= formatReason(route, total);
  }
  const verdict = reason !== undefined
    ? { kind: "bad" as const, reason }
    : decideGood(judged, settings);
  return { verdict, state: { evaluatedAt: now, routes } };
}

function formatReason(
  route: string,
  { present, target }: JudgedRoute,
): string {
  const { all, bad } = sumJudgedCounts(target.values());
  const scope = route === ALL_ROUTES ? "all routes" : `route "${route}"`;
  return `${bad} of ${all} answers are bad on ${scope}, ` +
    `${present.bad} of ${present.all} of the present version`;
}

/**
 * Decays the answers of both versions alike, so that both are compared over the
 * same period: a long good past doesn't hide new failures, and a fault that affects
 * both versions counts against neither.
 */
function decayAnswers(
  decayed: JudgedRoute,
  { previous, total, decay }: {
    readonly previous: JudgedRoute;
    readonly total: JudgedRoute;
    readonly decay: number;
  },
): JudgedRoute {
  // Nothing to compare until the target version has answered.
  if (sumJudgedCounts(total.target.values()).all === 0) return NO_JUDGED_ROUTE;
  const update = (
    old: JudgedCounts,
    before: JudgedCounts,
    now: JudgedCounts,
  ): JudgedCounts => ({
    all: old.all * decay + Math.max(0, now.all - before.all),
    bad: old.bad * decay + Math.max(0, now.bad - before.bad),
  });
  return {
    present: update(decayed.present, previous.present, total.present),
    target: new Map([...total.target].map(([group, now]) => [
      group,
      update(
        decayed.target.get(group) ?? NO_JUDGED_COUNTS,
        previous.target.get(group) ?? NO_JUDGED_COUNTS,
        now,
      ),
    ])),
  };
}

/** Evidence for a bad version in nats, by one bad and by one good answer. */
interface LogLikelihoodRatios {
  readonly bad: number;
  readonly good: number;
}

function getLogLikelihoodRatios(
  goodVersionBadShare: number,
  { lossShare }: VerdictSettings,
): LogLikelihoodRatios {
  const badVersionBadShare = goodVersionBadShare +
    (1 - goodVersionBadShare) * lossShare;
  return {
    bad: Math.log(badVersionBadShare / goodVersionBadShare),
    good: Math.log((1 - badVersionBadShare) / (1 - goodVersionBadShare)),
  };
}

/**
 * Guards against rolling back a good version because one of its endpoints is broken:
 * enough evidence must remain without the worst endpoint group.
 */
function isProvedBad(
  { present, target }: JudgedRoute,
  { priorShare, settings }: {
    readonly priorShare: number;
    readonly settings: VerdictSettings;
  },
): boolean {
  const needed = Math.log(1 / settings.falseAlarmRate);
  const ratios = getLogLikelihoodRatios(
    getBadShareBound(present, priorShare),
    settings,
  );
  const groups = [...target.values()].map(({ all, bad }) =>
    Math.max(0, bad * ratios.bad + (all - bad) * ratios.good)
  );
  const sum = groups.reduce((total, evidence) => total + evidence, 0);
  if (sum < needed) return false;
  const withoutWorst = sum - Math.max(...groups);
  return withoutWorst >= needed * MIN_EVIDENCE_SHARE_WITHOUT_WORST ||
    sumJudgedCounts(target.values()).bad >= settings.lonelyBadAnswers;
}

/** The least proved route with enough traffic decides. */
function decideGood(
  judged: ReadonlyMap<string, JudgedRoute>,
  settings: VerdictSettings,
): Verdict {
  const needed = Math.log(1 / settings.missRate);
  const getProof = ({ present, target }: JudgedRoute): number => {
    const { all, bad } = sumJudgedCounts(target.values());
    const ratios = getLogLikelihoodRatios(getBadShareBound(present), settings);
    return -(bad * ratios.bad + (all - bad) * ratios.good);
  };
  const countAnswers = ({ target }: JudgedRoute) =>
    sumJudgedCounts(target.values()).all;
  const allRoutes = judged.get(ALL_ROUTES) ?? NO_JUDGED_ROUTE;
  const perRoute = [...judged.values()]
    .filter((route) =>
      countAnswers(route) >=
        countAnswers(allRoutes) * ROUTE_PROOF_MIN_TRAFFIC_SHARE
    )
    .map((route) => getProof(route) / (needed * ROUTE_PROOF_SHARE));
  const proof = Math.min(getProof(allRoutes) / needed, ...perRoute);
  return proof >= 1
    ? { kind: "good" }
    : { kind: "open", proof: Math.max(0, proof) };
}

/** Share of bad answers, drawn towards the prior while there are few answers. */
function estimateBadShare(
  { all, bad }: JudgedCounts,
  priorShare: number,
): number {
  return (bad + priorShare * PRIOR_ANSWERS) / (all + PRIOR_ANSWERS);
}

/** Present version's share of bad answers, one standard deviation above the mean. */
function getBadShareBound(
  present: JudgedCounts,
  priorShare = PRIOR_BAD_ANSWERS / PRIOR_ANSWERS,
): number {
  const mean = estimateBadShare(present, priorShare);
  const deviation = Math.sqrt(
    mean * (1 - mean) / (present.all + PRIOR_ANSWERS),
  );
  const share = mean + deviation;
  return Math.min(MAX_BAD_SHARE, Math.max(MIN_BAD_SHARE, share));
}

const NO_ROUTE_STATE: RouteState = {
  total: NO_JUDGED_ROUTE,
  decayed: HALF_LIVES_MS.map(() => NO_JUDGED_ROUTE),
};
