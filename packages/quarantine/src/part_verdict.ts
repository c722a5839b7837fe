/**
 * Finds the prompt parts that crash the endpoints that write an answer on them.
 *
 * The requests of such a part are all different. Each crash loses sound requests too,
 * which share their other parts with the cause.
 *
 * @module
 */
import { type Crash, getOpenSuspects, type Suspect } from "./crash_log.ts";
import type { PartKey } from "./part_key.ts";

/** Input of {@link findPoisonParts}. */
export interface PartEvidence {
  readonly crashes: readonly Crash[];
  /** Parts in quarantine. */
  readonly known: ReadonlySet<PartKey>;
  /** Parts whose quarantine has ended; one more crash quarantines them again. */
  readonly onProbation: ReadonlySet<PartKey>;
  /**
   * Whether endpoints of a crash's service answer requests. If none does, a part that
   * all requests share is no more suspect than the service.
   */
  readonly isAnswering: (crash: Crash) => boolean;
}

/** A part that causes crashes. */
export interface PoisonPart {
  readonly part: PartKey;
  /** Number of crashes that it explains. */
  readonly crashes: number;
}

/** Moments of crashes from which a part counts as their cause. */
const MIN_MOMENTS = 3;
/** Different requests with the part; equal ones are judged as a whole. */
const MIN_REQUESTS = 2;
/** Crashes from which the cause is picked among parts that were in the same ones. */
const TIE_BREAK_CRASHES = 5;
/** Crashes so close together have one cause, such as the loss of a zone, in ms. */
const MOMENT_MS = 100;
/** Share of a part's crashes from which a more specific part explains them. */
const SPECIFIC_SHARE = 0.6;

interface Candidate {
  readonly part: PartKey;
  readonly crashes: ReadonlySet<Crash>;
  /** Crashes without a part in quarantine. */
  readonly unexplained: ReadonlySet<Crash>;
  readonly requests: ReadonlySet<string>;
  /** Parts that follow it in its requests. */
  readonly followers: ReadonlySet<PartKey>;
  /** Number of moments of its unexplained crashes. */
  readonly moments: number;
}

/**
 * Finds parts that cause crashes.
 *
 * @example
 * ```ts
 * findPoisonParts({ crashes, known, onProbation, isAnswering: () => true });
 * // [{ part: "part.Vb3Q...", crashes: 3 }]
 * ```
 */
export function findPoisonParts(evidence: PartEvidence): PoisonPart[] {
  const known = new Set(evidence.known);
  const poison: PoisonPart[] = [];
  while (true) {
    const candidates = buildCandidates(evidence.crashes, known);
    const suspects = candidates.filter((candidate) =>
      isConclusive(candidate, evidence, candidates, known)
    );
    const worst = pickWorst(suspects, candidates);
    if (worst === undefined) return poison;
    known.add(worst.part);
    poison.push({ part: worst.part, crashes: worst.crashes.size });
  }
}

/** Whether a suspect of a crash has a part in quarantine. */
export function isExplainedByPart(
  crash: Crash,
  known: ReadonlySet<PartKey>,
): boolean {
  return getOpenSuspects(crash).some((suspect) =>
    getOpenParts(crash, suspect).some((part) => known.has(part))
  );
}

/** Parts that are still suspect in some crashes, by the number of their moments. */
export function countSuspectMoments(
  crashes: readonly Crash[],
): ReadonlyMap<PartKey, number> {
  return new Map(
    buildCandidates(crashes, new Set())
      .map(({ part, moments }) => [part, moments]),
  );
}

function buildCandidates(
  crashes: readonly Crash[],
  known: ReadonlySet<PartKey>,
): Candidate[] {
  const carriers = new Map<PartKey, { crash: Crash; suspect: Suspect }[]>();
  for (const crash of crashes) {
    for (const suspect of getOpenSuspects(crash)) {
      for (const part of getOpenParts(crash, suspect)) {
        const all = carriers.get(part) ?? [];
        all.push({ crash, suspect });
        carriers.set(part, all);
      }
    }
  }
  return [...carriers].filter(([part]) => !known.has(part))
    .map(([part, all]) => {
      const own = new Set(all.map(({ crash }) => crash));
      const unexplained = new Set(
        [...own].filter((crash) => !isExplainedByPart(crash, known)),
      );
      return {
        part,
        crashes: own,
        unexplained,
        requests: new Set(all.map(({ suspect }) => suspect.fingerprint)),
        followers: new Set(
          all.flatMap(({ suspect: { parts = [] } }) =>
            parts.slice(parts.indexOf(part) + 1)
          ),
        ),
        moments: countMoments(unexplained),
      };
    });
}

function getOpenParts(
  { clearedParts = [] }: Crash,
  { parts = [] }: Suspect,
): readonly PartKey[] {
  return parts.filter((part) => !clearedParts.includes(part));
}

function countMoments(crashes: ReadonlySet<Crash>): number {
  const times = [...crashes].map(({ at }) => at).sort((a, b) => a - b);
  let last = -Infinity;
  let count = 0;
  for (const at of times) {
    if (at - last < MOMENT_MS) continue;
    last = at;
    count += 1;
  }
  return count;
}

function isConclusive(
  candidate: Candidate,
  evidence: PartEvidence,
  all: readonly Candidate[],
  known: ReadonlySet<PartKey>,
): boolean {
  const { part, moments, requests, followers, crashes, unexplained } =
    candidate;
  if (moments === 0) return false;
  if (evidence.onProbation.has(part)) return true;
  if (requests.size < MIN_REQUESTS) return false;
  // A part with several followers is in requests of many kinds.
  const isGeneral = followers.size > 1;
  if (isGeneral && ![...crashes].some(evidence.isAnswering)) return false;
  if (isExtensionOfKnown(candidate, evidence, known)) return true;
  const mayWait = unexplained.size < TIE_BREAK_CRASHES;
  return moments >= MIN_MOMENTS && !(mayWait && isTied(candidate, all));
}

/**
 * Whether the part was in all crashes of a quarantined one that follows it, and in
 * more: it is the cause, and the other one was only in the same requests.
 */
function isExtensionOfKnown(
  { crashes, followers }: Candidate,
  evidence: PartEvidence,
  known: ReadonlySet<PartKey>,
): boolean {
  return [...followers].some((follower) => {
    if (!known.has(follower)) return false;
    const explained = evidence.crashes.filter((crash) =>
      getOpenSuspects(crash).some((suspect) =>
        getOpenParts(crash, suspect).includes(follower)
      )
    );
    return explained.length >= MIN_MOMENTS &&
      explained.every((crash) => crashes.has(crash));
  });
}

function isTied({ part, unexplained }: Candidate, all: readonly Candidate[]) {
  return all.some((other) =>
    other.part !== part && other.unexplained.size === unexplained.size &&
    [...unexplained].every((crash) => other.unexplained.has(crash))
  );
}

/** Picks the part with the most moments, unless a more specific one explains it. */
function pickWorst(
  suspects: readonly Candidate[],
  all: readonly Candidate[],
): Candidate | undefined {
  const [worst] = [...suspects].sort((a, b) =>
    b.moments - a.moments || a.followers.size - b.followers.size ||
    (a.part < b.part ? -1 : 1)
  );
  if (worst === undefined) return undefined;
  const specific = all
    .filter(({ part, moments }) =>
      worst.followers.has(part) && moments >= SPECIFIC_SHARE * worst.moments
    )
    .sort((a, b) =>
      b.moments - a.moments || a.followers.size - b.followers.size
    );
  return specific.find((other) => suspects.includes(other)) ?? worst;
}
