/**
 * Finds the requests that crash the endpoints that run them.
 *
 * An engine runs dozens of requests at once, and each of its crashes loses all of
 * them. A poison request is present in every crash; requests that ran concurrently
 * are present in a few, all of which the poison request explains.
 *
 * @module
 */
import { type Crash, getOpenSuspects } from "./crash_log.ts";
import type { Fingerprint } from "./fingerprint.ts";

/** Number of crashes from which a request counts as their cause. */
export const MIN_CRASHES = 3;
/**
 * Number of crashes from which the cause is picked among requests that were all
 * present in the same ones. With fewer, the next crash may still distinguish them.
 */
const TIE_BREAK_CRASHES = 5;

/** A suspected request and the crashes that it may have caused. */
interface Candidate {
  readonly fingerprint: Fingerprint;
  readonly crashes: ReadonlySet<Crash>;
  /** Mean time from its arrival to the crash. */
  readonly runMs: number;
}

/** Input of {@link findPoisonRequests}. */
export interface CrashEvidence {
  readonly crashes: readonly Crash[];
  /** Requests in quarantine; they explain the crashes that they are present in. */
  readonly known: ReadonlySet<Fingerprint>;
  /** Requests whose quarantine has ended; one more crash quarantines them again. */
  readonly onProbation: ReadonlySet<Fingerprint>;
}

/** A request that causes crashes. */
export interface PoisonRequest {
  readonly fingerprint: Fingerprint;
  /** Number of crashes that it explains. */
  readonly crashes: number;
}

/**
 * Finds poison requests: first the one with the most crashes, then those with enough
 * crashes that no earlier one explains.
 *
 * @example
 * ```ts
 * findPoisonRequests({ crashes, known: new Set(), onProbation: new Set() });
 * // [{ fingerprint: "Vb3Q...", crashes: 3 }]
 * ```
 */
export function findPoisonRequests(evidence: CrashEvidence): PoisonRequest[] {
  const { known, onProbation } = evidence;
  const poison: PoisonRequest[] = [];
  let unexplained = evidence.crashes.filter((crash) =>
    !getOpenSuspects(crash).some((suspect) => known.has(suspect.fingerprint))
  );
  while (true) {
    const candidates = buildCandidates(unexplained)
      .filter((candidate) => hasEnoughCrashes(candidate, onProbation))
      .sort(compareCandidates);
    const [worst] = candidates;
    if (worst === undefined) return poison;
    unexplained = unexplained.filter((crash) => !worst.crashes.has(crash));
    if (isTied(worst, candidates)) continue;
    const { fingerprint, crashes } = worst;
    poison.push({ fingerprint, crashes: crashes.size });
  }
}

function buildCandidates(crashes: readonly Crash[]): Candidate[] {
  const byFingerprint = new Map<
    Fingerprint,
    { crashes: Set<Crash>; totalRunMs: number }
  >();
  for (const crash of crashes) {
    for (const { fingerprint, runMs } of getOpenSuspects(crash)) {
      const totals = byFingerprint.get(fingerprint) ??
        { crashes: new Set(), totalRunMs: 0 };
      totals.crashes.add(crash);
      totals.totalRunMs += runMs;
      byFingerprint.set(fingerprint, totals);
    }
  }
  return [...byFingerprint].map(([fingerprint, totals]) => ({
    fingerprint,
    crashes: totals.crashes,
    runMs: totals.totalRunMs / totals.crashes.size,
  }));
}

function hasEnoughCrashes(
  { fingerprint, crashes }: Candidate,
  onProbation: ReadonlySet<Fingerprint>,
): boolean {
  return crashes.size >= (onProbation.has(fingerprint) ? 1 : MIN_CRASHES);
}

/** Most crashes first; among equals, the shortest run time before the crash. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return b.crashes.size - a.crashes.size || a.runMs - b.runMs ||
    (a.fingerprint < b.fingerprint ? -1 : 1);
}

/** Whether other requests were in the same crashes, of which more are needed. */
function isTied(
  worst: Candidate,
  candidates: readonly Candidate[],
): boolean {
  if (worst.crashes.size >= TIE_BREAK_CRASHES) return false;
  return candidates.some((other) =>
    other !== worst && other.crashes.size === worst.crashes.size &&
    [...worst.crashes].every((crash) => other.crashes.has(crash))
  );
}
