/**
 * Chooses the entries that store the results of a key.
 *
 * @module
 */
import { buildRanking } from "@sardinestep/membership";
import type { CustomerId, MemberFacts } from "@sardinestep/types";

/** Customer and key that results belong to. */
export interface ResultKey {
  readonly customer: CustomerId;
  readonly key: string;
}

/** Candidates and number of holders for {@link pickHolders}. */
export interface PickHoldersOptions {
  readonly keyId: ResultKey;
  readonly members: readonly MemberFacts[];
  /** With two, no result is lost when one failure domain fails. */
  readonly count: number;
}

/**
 * Picks the live entries that store a key's results, by rendezvous hashing.
 *
 * The second one is in another failure domain, so that results survive the loss
 * of a whole domain. If no other domain has a live entry, the next entry is
 * used: that still survives the loss of one VM. Every entry computes the same
 * holders from the same members; when a VM joins or fails, only its keys move.
 *
 * @param options Key, members and count; the calling entry may be a holder.
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
  const onePerZone = pickOnePerZone(ranked, count);
  const others = ranked.filter((member) => !onePerZone.includes(member));
  return [...onePerZone, ...others].slice(0, count);
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
 * Formats customer and key as one string; JSON quoting makes it unique per
 * pair.
 *
 * @param keyId Customer and key.
 */
export function formatKeyId(keyId: ResultKey): string {
  return JSON.stringify([keyId.customer, keyId.key]);
}
