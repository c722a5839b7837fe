/**
 * Rendezvous hashing: every VM computes the same order from the same members,
 * and a member that comes or goes moves only what it wins or held.
 *
 * @module
 */
import murmurhash from "murmurhash";

/**
 * Ranks items for a subject by hash, best first.
 *
 * @param subject What the items compete for, such as an endpoint's id.
 * @param items The competitors, in any order.
 * @param getId Gives an item's id; equal hashes are ordered by it.
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
    .sort(compareScores)
    .map(({ item }) => item);
}

/**
 * Picks the best item for a subject without sorting.
 *
 * @param subject What the items compete for.
 * @param items The competitors, in any order.
 * @param getId Gives an item's id.
 * @returns The item that {@link buildRanking} puts first, if there is any.
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
    if (best === undefined || compareScores(scored, best) < 0) best = scored;
  }
  return best?.item;
}

/** Which subset to pick, and of what size. */
export interface PickSubsetOptions<T> {
  /** Items of each subset; a bound on connections and on state. */
  readonly size: number;
  readonly getId: (item: T) => string;
}

/**
 * Picks the deterministic subset of items that one owner uses, for sizes at
 * which no owner may hold connections to all items.
 *
 * The bound that it keeps: an owner uses exactly `min(size, items)` items, and an
 * item that comes or goes changes at most one item of each subset. What it
 * keeps only on average: an item is in `owners * size / items` subsets, spread
 * as by random choice (a binomial distribution), so capacity must be shared out
 * by the number of owners that do use an item, not by all owners.
 *
 * @param owner Whose subset it is, such as an entry's VM id.
 * @param items All items, such as the endpoints of a service.
 * @param options Size and ids.
 * @returns The subset, best first.
 * @example
 * ```ts
 * pickSubset(vmId, endpoints, { size: 20, getId: (it) => it.endpointId });
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

/** The zero byte stands in no id, so that no two pairs give the same text. */
function getScore(subject: string, id: string): number {
  return murmurhash.v3(`${subject}\0${id}`);
}

function compareScores<T>(left: Scored<T>, right: Scored<T>): number {
  if (left.score !== right.score) return right.score - left.score;
  if (left.id === right.id) return 0;
  return left.id < right.id ? -1 : 1;
}
