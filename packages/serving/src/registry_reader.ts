/**
 * Selection of the VMs that read the platform's registry and relay it to the
 * others.
 *
 * Every read is billed, so it would be expensive if each VM read all topics that
 * others of its zone have read already. Relaying a feed between peers, with the
 * source as the last resort, follows P2PSP, which distributes a stream from a
 * server that can't serve every client.
 *
 * @module
 */
import type { ReadPositions } from "./messages.ts";

/** Intervals of registry reads, in milliseconds. */
export interface RegistryIntervals {
  /** Interval between two reads of a topic. */
  readonly readMs: number;
  /** Age of a VM's state from which it no longer relies on its reader. */
  readonly staleMs: number;
  /**
   * Additional delay of each further VM of a zone, so that one takes over and
   * relays to the others, instead of all at once.
   */
  readonly stepMs: number;
}

/** Intervals as shares of the time in which every VM must learn of a change. */
const READ_SHARE = 0.4;
/** Covers a read, the exchange that relays it, and some delay of both. */
const STALE_SHARE = 0.625;
const TAKEOVER_STEP_SHARE = 0.075;
/** Range to which that time is clamped, in milliseconds. */
const MIN_PROPAGATION_MS = 500;
const MAX_PROPAGATION_MS = 6_000;
/** Number of ranks with different delays; all further VMs use the last one. */
const TAKEOVER_RANKS = 3;

/**
 * Plans the intervals of registry reads.
 *
 * Prevents a draining endpoint from being used too long, with the fewest reads: a
 * VM's state is renewed after at most 0.85 of `propagationMs`, even if the reader
 * and two of its successors are lost.
 *
 * @param propagationMs Time in which every VM must learn of a change.
 * @example
 * ```ts
 * planRegistryIntervals(2_000).readMs; // 800
 * ```
 */
export function planRegistryIntervals(
  propagationMs: number,
): RegistryIntervals {
  const clampedMs = Math.min(
    MAX_PROPAGATION_MS,
    Math.max(MIN_PROPAGATION_MS, propagationMs),
  );
  return {
    readMs: clampedMs * READ_SHARE,
    staleMs: clampedMs * STALE_SHARE,
    stepMs: clampedMs * TAKEOVER_STEP_SHARE,
  };
}

/**
 * Whether a VM reads the registry itself.
 *
 * Handles a reader that is dead, frozen or cut off from the registry: each other
 * VM of the zone notices by itself that its state becomes old.
 *
 * @param rank Number of higher-ranked VMs of the zone that are alive and up to
 * date.
 * @param ageMs Time since the own state was the registry's latest.
 * @param intervals Read intervals.
 * @example
 * ```ts
 * mayReadRegistry({ rank: 0, ageMs: 0 }, intervals); // true: the first of its zone always reads
 * ```
 */
export function mayReadRegistry(
  { rank, ageMs }: { readonly rank: number; readonly ageMs: number },
  { staleMs, stepMs }: RegistryIntervals,
): boolean {
  if (rank === 0) return true;
  const delayedSteps = Math.min(rank, TAKEOVER_RANKS) - 1;
  return ageMs > staleMs + delayedSteps * stepMs;
}

/** Whether any position of one VM is newer than another one's. */
export function isNewer(a: ReadPositions, b: ReadPositions): boolean {
  return a.operatorPosition > b.operatorPosition ||
    a.endpointPosition > b.endpointPosition ||
    a.memberPosition > b.memberPosition ||
    a.quarantinePosition > b.quarantinePosition;
}
