/**
 * Which VMs read the platform's registry, and which hear of it from a neighbour.
 *
 * The load that this answers: every read is paid for, and 67 VMs that each read
 * three topics make 124 calls a second for facts that their neighbours have.
 * Relaying a feed between peers, with the source as the last resort, is how
 * P2PSP spreads a stream from a server that can't serve everybody.
 *
 * @module
 */
import type { FactPositions } from "./messages.ts";

/**
 * Age of a VM's facts from which it no longer relies on its reader, in
 * milliseconds: a reader reads every 0.8 s, and an exchange brings it 0.25 s
 * later. A leaving endpoint serves for two seconds after its notice.
 */
export const FACTS_STALE_MS = 1_250;
/**
 * Wait of each further VM of a zone, in milliseconds, so that one takes over and
 * the others hear of it, instead of all at once.
 */
const TAKEOVER_STEP_MS = 150;
/** Ranks that differ in their wait; the last ones go together. */
const TAKEOVER_RANKS = 3;

/**
 * Whether a VM reads the registry itself.
 *
 * Guards against a reader that is dead, frozen or cut off from the registry: its
 * neighbours' facts grow old, which each of them notices by itself.
 *
 * @param rank VMs of the zone that are alive, have fresh facts and go before.
 * @param ageMs Time since the own facts were the registry's newest.
 * @example
 * ```ts
 * mayReadRegistry(0, 0); // true: the first of its zone always reads
 * ```
 */
export function mayReadRegistry(rank: number, ageMs: number): boolean {
  if (rank === 0) return true;
  const waits = Math.min(rank, TAKEOVER_RANKS) - 1;
  return ageMs > FACTS_STALE_MS + waits * TAKEOVER_STEP_MS;
}

/** Whether some facts of one VM are newer than another one's. */
export function isAhead(one: FactPositions, other: FactPositions): boolean {
  return one.operatorPosition > other.operatorPosition ||
    one.endpointPosition > other.endpointPosition ||
    one.memberPosition > other.memberPosition;
}
