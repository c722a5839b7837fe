/**
 * Which entries keep the results of a key.
 *
 * @module
 */
import { buildRanking } from "@sardinestep/membership";
import type { CustomerId, MemberFacts } from "@sardinestep/types";

/** The customer and key that results belong to. */
export interface ResultKey {
  readonly customer: CustomerId;
  readonly key: string;
}

/** Among whom to pick, and how many. */
export interface PickHoldersOptions {
  readonly keyId: ResultKey;
  readonly members: readonly MemberFacts[];
  /** Two: one failure domain may be lost without losing a result. */
  readonly count: number;
}

/**
 * Picks the live entries that keep a key's results, by rendezvous hashing.
 *
 * The second one is in another failure domain, so that a whole domain may go
 * at once. Where no other domain has a live entry, the next entry is taken:
 * that still survives the death of one VM. Any entry computes the same holders
 * from the same members; after a join or death only keys of that VM move.
 *
 * @param options Key, members and count; the own entry may be among the result.
 * @returns Holders, best first; fewer than `count` if fewer are live.
 * @example
 * ```ts
 * pickHolders({ keyId: { customer, key }, members, count: 2 });
 * ```
 */
export function pickHolders(options: PickHoldersOptions): MemberFacts[] {
  const { keyId, members, count } = options;
  const live = members.filter((member) => member.state === "live");
  const ranked = buildRanking(
    formatKeyId(keyId),
    live,
    (member) => member.vmId,
  );
  const spread = pickOnePerZone(ranked, count);
  const rest = ranked.filter((member) => !spread.includes(member));
  return [...spread, ...rest].slice(0, count);
}

function pickOnePerZone(
  ranked: readonly MemberFacts[],
  count: number,
): MemberFacts[] {
  const zones = new Set<string>();
  const picked: MemberFacts[] = [];
  for (const member of ranked) {
    if (picked.length >= count) break;
    if (zones.has(member.zone)) continue;
    zones.add(member.zone);
    picked.push(member);
  }
  return picked;
}

/**
 * Builds one text from customer and key; the pair is kept apart by JSON, so that
 * no two pairs give the same text.
 *
 * @param keyId Customer and key.
 */
export function formatKeyId(keyId: ResultKey): string {
  return JSON.stringify([keyId.customer, keyId.key]);
}
