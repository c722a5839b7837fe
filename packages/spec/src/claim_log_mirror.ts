/**
 * A mirror of the claim fold that can be built without one of its guards.
 * Without a mutant it agrees with the real one in every log that the
 * specification reaches; a test holds that.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import {
  buildJudgements,
  getInstance,
  type LogSpan,
  type LogView,
  type SpecRecord,
} from "./claim_log.ts";

/** Guards of the fold that a mutant can drop; for the specification only. */
export const FOLD_MECHANISM = {
  firstClaimHolds: "first-claim-holds",
  copiesChangeNothing: "copies-change-nothing",
  releaseNamesOneClaim: "release-names-one-claim",
  releaseIsForGood: "release-is-for-good",
  coverageAfterTrim: "coverage-after-trim",
} as const;
export type FoldMechanism =
  (typeof FOLD_MECHANISM)[keyof typeof FOLD_MECHANISM];

interface Outcome {
  readonly kind: "completed" | "unknown";
  readonly attempt: number;
}

interface Fold {
  readonly without?: FoldMechanism;
  readonly order: number[];
  readonly released: Set<number>;
  /** Attempts whose claim came after the key's window. */
  readonly tooLate: Set<number>;
  outcome?: Outcome;
}

/**
 * Reads a log through the mirror.
 *
 * @param span What the reader could read.
 * @param without The guard to drop.
 * @returns The same as the real fold would, if no guard is dropped.
 * @example
 * ```ts
 * readClaimsByMirror({ log, first: 0 }, FOLD_MECHANISM.firstClaimHolds);
 * ```
 */
export function readClaimsByMirror(
  { log, first }: LogSpan,
  without?: FoldMechanism,
): LogView {
  const fold: Fold = {
    without,
    order: [],
    released: new Set(),
    tooLate: new Set(),
  };
  const span = log.slice(first);
  for (const record of span) applyRecord(fold, record);
  const isCovered = first === 0 ||
    without === FOLD_MECHANISM.coverageAfterTrim;
  const isPastWindow = first > 0 || span.some(({ clock }) => clock === 1);
  const reading = { fold, isCovered, isPastWindow };
  const judgements = buildJudgements((attempt) =>
    getJudgement(reading, attempt)
  );
  return { judgements, status: getStatus(reading) };
}

interface Reading {
  readonly fold: Fold;
  readonly isCovered: boolean;
  readonly isPastWindow: boolean;
}

function getJudgement(
  { fold, isCovered, isPastWindow }: Reading,
  attempt: number,
): claims.ClaimJudgement {
  if (fold.released.has(attempt)) return "released";
  if (!fold.order.includes(attempt)) {
    return fold.tooLate.has(attempt) || isPastWindow ? "expired" : "unseen";
  }
  if (findHolder(fold) !== attempt) return "lost";
  return isCovered ? "won" : "expired";
}

function getStatus(
  { fold, isCovered, isPastWindow }: Reading,
): claims.KeyStatus["kind"] {
  if (fold.outcome) return fold.outcome.kind;
  if (findHolder(fold) !== undefined) return isCovered ? "held" : "expired";
  return isPastWindow || !isCovered ? "expired" : "free";
}

function applyRecord(fold: Fold, record: SpecRecord): void {
  const { kind, attempt } = record;
  if (kind === "claim") applyClaim(fold, record);
  else if (kind === "release") applyRelease(fold, attempt);
  else applyOutcome(fold, { kind, attempt });
}

function applyClaim(fold: Fold, { attempt, clock }: SpecRecord): void {
  const { order, released, without } = fold;
  if (clock === 1) {
    fold.tooLate.add(attempt);
    return;
  }
  if (without === FOLD_MECHANISM.releaseIsForGood) released.delete(attempt);
  const place = order.indexOf(attempt);
  if (place < 0) {
    if (without === FOLD_MECHANISM.firstClaimHolds) order.unshift(attempt);
    else order.push(attempt);
    return;
  }
  if (without !== FOLD_MECHANISM.copiesChangeNothing) return;
  order.splice(place, 1);
  order.push(attempt);
}

function applyRelease(fold: Fold, named: number): void {
  const { order, released, without } = fold;
  if (without === FOLD_MECHANISM.releaseNamesOneClaim) {
    const instance = getInstance(named);
    const seen = order.filter((attempt) => getInstance(attempt) === instance);
    for (const attempt of seen) released.add(attempt);
    return;
  }
  if (fold.outcome?.attempt !== named) released.add(named);
}

function applyOutcome(fold: Fold, outcome: Outcome): void {
  if (findHolder(fold) !== outcome.attempt) return;
  if (fold.outcome?.kind === "completed") return;
  fold.outcome = outcome;
}

function findHolder({ order, released }: Fold): number | undefined {
  return order.find((attempt) => !released.has(attempt));
}
