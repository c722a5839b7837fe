/**
 * Which bodies that are still being read give way when the budget is exhausted.
 *
 * @module
 */

/** A body that has not been read to its end. */
export interface IncompleteBody {
  readonly id: number;
  /** Memory that it takes, in bytes. */
  readonly heldBytes: number;
  /** Time since its last step of progress, in milliseconds. */
  readonly stalledMs: number;
}

/** The body that needs memory, and how much. */
export interface BodyNeed {
  readonly id: number;
  readonly neededBytes: number;
}

/**
 * Plans which bodies give way to another, the largest that stalls longest first.
 *
 * Load: callers stop short of the end of large bodies and keep all others from being
 * read. Nothing of such a request has run, so a refusal is truthful.
 *
 * @param bodies All incomplete bodies, the one that needs memory included.
 * @param need Which body needs memory, and how much in bytes.
 * @returns Ids of the bodies that give way; empty if the one in need is to.
 *
 * @example
 * ```ts
 * const bodies = [
 *   { id: 1, heldBytes: 4_000, stalledMs: 900 },
 *   { id: 2, heldBytes: 1_000, stalledMs: 1 },
 * ];
 * planBodyEvictions(bodies, { id: 2, neededBytes: 500 }); // [1]
 * planBodyEvictions(bodies, { id: 1, neededBytes: 500 }); // []
 * ```
 */
export function planBodyEvictions(
  bodies: Iterable<IncompleteBody>,
  { id: needingId, neededBytes }: BodyNeed,
): number[] {
  const ordered = [...bodies]
    .filter(({ heldBytes }) => heldBytes > 0)
    .sort((a, b) =>
      b.heldBytes * b.stalledMs - a.heldBytes * a.stalledMs || a.id - b.id
    );
  const ids: number[] = [];
  let freedBytes = 0;
  for (const { id, heldBytes } of ordered) {
    if (freedBytes >= neededBytes || id === needingId) break;
    ids.push(id);
    freedBytes += heldBytes;
  }
  return freedBytes >= neededBytes ? ids : [];
}
