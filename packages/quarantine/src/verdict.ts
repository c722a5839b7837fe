/**
 * Which requests crash the endpoints that run them.
 *
 * The load that this answers: an engine runs dozens of requests at once, and all
 * of them are lost with each of its crashes. The poison request is in every crash;
 * what ran beside it is in a few, each of which the poison explains.
 *
 * @module
 */
import { type Crash, getOpenSuspects } from "./crash_log.ts";
import type { Fingerprint } from "./fingerprint.ts";

/** Crashes of a request from which it counts as their cause. */
export const MIN_CRASHES = 3;
/**
 * Crashes from which the cause is picked among requests that were in all of them
 * together; before that, the next crash may tell them apart.
 */
const MAX_UNDECIDED = 5;

/** A request and the crashes that speak against it. */
interface Candidate {
  readonly fingerprint: Fingerprint;
  readonly crashes: ReadonlySet<Crash>;
  readonly runMs: number;
}

/** What {@link findPoison} looks at. */
export interface Evidence {
  readonly crashes: readonly Crash[];
  /** Requests that are known to crash endpoints; they explain their crashes. */
  readonly known: ReadonlySet<Fingerprint>;
  /** Requests that were known before: one more crash proves it again. */
  readonly onProbation: ReadonlySet<Fingerprint>;
}

/** A request that is the cause of crashes. */
export interface Poison {
  readonly fingerprint: Fingerprint;
  readonly crashes: number;
}

/**
 * Finds poison requests: the one in most crashes first, then whatever the crashes
 * that it does not explain speak against.
 *
 * @example
 * ```ts
 * findPoison({ crashes, known: new Set(), onProbation: new Set() });
 * // [{ fingerprint: "Vb3Q...", crashes: 3 }]
 * ```
 */
export function findPoison(evidence: Evidence): Poison[] {
  const { known, onProbation } = evidence;
  const poison: Poison[] = [];
  let unexplained = evidence.crashes.filter((crash) =>
    !getOpenSuspects(crash).some((one) => known.has(one.fingerprint))
  );
  while (true) {
    const candidates = buildCandidates(unexplained)
      .filter((one) => isEnough(one, onProbation))
      .sort(compareCandidates);
    const [worst] = candidates;
    if (worst === undefined) return poison;
    unexplained = unexplained.filter((crash) => !worst.crashes.has(crash));
    if (isUndecided(worst, candidates)) continue;
    const { fingerprint, crashes } = worst;
    poison.push({ fingerprint, crashes: crashes.size });
  }
}

function buildCandidates(crashes: readonly Crash[]): Candidate[] {
  const found = new Map<
    Fingerprint,
    { crashes: Set<Crash>; totalRunMs: number }
  >();
  for (const crash of crashes) {
    for (const { fingerprint, runMs } of getOpenSuspects(crash)) {
      const one = found.get(fingerprint) ??
        { crashes: new Set(), totalRunMs: 0 };
      one.crashes.add(crash);
      one.totalRunMs += runMs;
      found.set(fingerprint, one);
    }
  }
  return [...found].map(([fingerprint, one]) => ({
    fingerprint,
    crashes: one.crashes,
    runMs: one.totalRunMs / one.crashes.size,
  }));
}

function isEnough(
  { fingerprint, crashes }: Candidate,
  onProbation: ReadonlySet<Fingerprint>,
): boolean {
  return crashes.size >= (onProbation.has(fingerprint) ? 1 : MIN_CRASHES);
}

/** Most crashes first; a request that had just begun goes before an older one. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return b.crashes.size - a.crashes.size || a.runMs - b.runMs ||
    (a.fingerprint < b.fingerprint ? -1 : 1);
}

/** Whether another request was in exactly the same few crashes. */
function isUndecided(
  worst: Candidate,
  candidates: readonly Candidate[],
): boolean {
  if (worst.crashes.size >= MAX_UNDECIDED) return false;
  return candidates.some((one) =>
    one !== worst && one.crashes.size === worst.crashes.size &&
    [...worst.crashes].every((crash) => one.crashes.has(crash))
  );
}
