/**
 * Rendezvous hashing: every VM computes the same ranking from the same members,
 * and adding or removing a member moves only the subjects assigned to it.
 *
 * @module
 */
import murmurhash from "murmurhash";

/**
 * Ranks items for a subject by hash, highest score first.
 *
 * @param subject The key to assign, such as an endpoint's id.
 * @param items The candidates, in any order.
 * @param getId Returns an item's id, which also breaks ties between equal hashes.
 * @returns A new list.
 * @example
 * ```ts
 * buildRanking("endpoint-1", members, (member) => member.vmId)[0];
 * ```
 */
export function buildRanking<T>(
  subject: string,
  items: readonly T[],
  getId: (item: T) => string,
): T[] {
  return items
    .map((item) => ({ item, id: getId(item) }))
    .map(({ item, id }) => ({ item, id, score: getScore(subject, id) }))
    .sort(compareScored)
    .map(({ item }) => item);
}

/**
 * Picks the highest-ranked item for a subject without sorting.
 *
 * @param subject The key to assign.
 * @param items The candidates, in any order.
 * @param getId Returns an item's id.
 * @returns The first item of {@link buildRanking}; undefined without items.
 * @example
 * ```ts
 * pickByHash("endpoint-1", members, (member) => member.vmId);
 * ```
 */
export function pickByHash<T>(
  subject: string,
  items: readonly T[],
  getId: (item: T) => string,
): T | undefined {
  let best: Scored<T> | undefined;
  for (const item of items) {
    const id = getId(item);
    const scored = { item, id, score: getScore(subject, id) };
    if (best === undefined || compareScored(scored, best) < 0) best = scored;
  }
  return best?.item;
}

/** Size of a subset and ids of its items. */
export interface PickSubsetOptions<T> {
  /** Largest number of items; bounds connections and state per owner. */
  readonly size: number;
  readonly getId: (item: T) => string;
}

/**
 * Picks a deterministic subset of items for one owner, for systems too large for
 * every owner to hold connections to all items.
 *
 * Guaranteed: a subset has exactly `min(size, items)` items, and adding or
 * removing an item changes at most one item of each subset. True only on
 * average: an item is in `owners * size / items` subsets, distributed as by
 * random choice (binomially). So an item's capacity must be divided by the number
 * of owners that use it, not by the number of all owners.
 *
 * @param owner The owner of the subset, such as an entry's VM id.
 * @param items All items, such as the endpoints of a service.
 * @param options Size and ids.
 * @returns The subset, highest-ranked first.
 * @example
 * ```ts
 * pickSubset(vmId, endpoints, { size: 20, getId: (endpoint) => endpoint.endpointId });
 * ```
 */
export function pickSubset<T>(
  owner: string,
  items: readonly T[],
  options: PickSubsetOptions<T>,
): T[] {
  return buildRanking(owner, items, options.getId).slice(0, options.size);
}

interface Scored<T> {
  readonly item: T;
  readonly id: string;
  readonly score: number;
}

/** No id contains the zero byte, so different pairs never form the same text. */
function getScore(subject: string, id: string): number {
  return murmurhash.v3(`${subject}\0${id}`);
}

function compareScored<T>(left: Scored<T>, right: Scored<T>): number {
  if (left.score !== right.score) return right.score - left.score;
  if (left.id === right.id) return 0;
  return left.id < right.id ? -1 : 1;
}
