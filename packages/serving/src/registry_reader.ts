/**
 * Which VMs read the platform's registry, and which hear of it from a neighbour.
 *
 * The load that this answers: every read is paid for, and many VMs that each read
 * all topics pay many times for facts that their neighbours have.
 * Relaying a feed between peers, with the source as the last resort, is how
 * P2PSP spreads a stream from a server that can't serve everybody.
 *
 * @module
 */
import type { FactPositions } from "./messages.ts";

/** How often the registry is read and how old facts may grow, in milliseconds. */
export interface RegistryPace {
  /** Time between two reads of a topic. */
  readonly readMs: number;
  /** Age of a VM's facts from which it no longer relies on its reader. */
  readonly staleMs: number;
  /**
   * Wait of each further VM of a zone, so that one takes over and the others hear
   * of it, instead of all at once.
   */
  readonly stepMs: number;
}

/** Shares of the time in which every VM must follow the registry. */
const READ_SHARE = 0.4;
/** A read, the exchange that brings it to a neighbour, and some delay of both. */
const STALE_SHARE = 0.625;
const STEP_SHARE = 0.075;
/** Bounds that are taken as they are, in milliseconds; others count as these. */
const MIN_FOLLOW_MS = 500;
const MAX_FOLLOW_MS = 6_000;
/** Ranks that differ in their wait; the last ones go together. */
const TAKEOVER_RANKS = 3;

/**
 * Plans how often the registry is read.
 *
 * Guards against a leaving endpoint that is used too long, at the least number of
 * reads: a neighbour's facts are read anew after at most 0.85 of the bound, also
 * where the reader is gone and two of its heirs with it.
 *
 * @param followMs Shortest time in which every VM must follow a change.
 * @example
 * ```ts
 * planRegistryPace(2_000).readMs; // 800
 * ```
 */
export function planRegistryPace(followMs: number): RegistryPace {
  const bounded = Math.min(MAX_FOLLOW_MS, Math.max(MIN_FOLLOW_MS, followMs));
  return {
    readMs: bounded * READ_SHARE,
    staleMs: bounded * STALE_SHARE,
    stepMs: bounded * STEP_SHARE,
  };
}

/**
 * Whether a VM reads the registry itself.
 *
 * Guards against a reader that is dead, frozen or cut off from the registry: its
 * neighbours' facts grow old, which each of them notices by itself.
 *
 * @param rank VMs of the zone that are alive, have fresh facts and go before.
 * @param ageMs Time since the own facts were the registry's newest.
 * @param pace How old facts may grow.
 * @example
 * ```ts
 * mayReadRegistry({ rank: 0, ageMs: 0 }, pace); // true: the first of its zone always reads
 * ```
 */
export function mayReadRegistry(
  { rank, ageMs }: { readonly rank: number; readonly ageMs: number },
  { staleMs, stepMs }: RegistryPace,
): boolean {
  if (rank === 0) return true;
  const waits = Math.min(rank, TAKEOVER_RANKS) - 1;
  return ageMs > staleMs + waits * stepMs;
}

/** Whether some facts of one VM are newer than another one's. */
export function isAhead(one: FactPositions, other: FactPositions): boolean {
  return one.operatorPosition > other.operatorPosition ||
    one.endpointPosition > other.endpointPosition ||
    one.memberPosition > other.memberPosition ||
    one.quarantinePosition > other.quarantinePosition;
}
