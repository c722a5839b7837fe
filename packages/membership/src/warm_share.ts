/**
 * Divides the concurrency of a warm endpoint among entries.
 *
 * @module
 */
import type { EndpointFacts, MemberFacts, VmId } from "@sardinestep/types";
import { buildRanking } from "./rendezvous.ts";

/** The entry whose share is computed, and all members. */
export interface WarmShareOptions {
  readonly vmId: VmId;
  /** All known members; only live ones get a share. */
  readonly members: readonly MemberFacts[];
}

/**
 * Returns one entry's share of a warm endpoint's concurrency.
 *
 * Also works for endpoints that allow fewer concurrent calls than there are
 * entries: every live entry gets an equal share rounded down, and the remainder
 * goes, one call each, to the entries that rendezvous hashing ranks first for
 * this endpoint. Among entries with the same view of the members, the shares sum
 * to exactly `warmConcurrency`. While views differ, an entry that sees `m` of `n`
 * live members takes at most `ceil(w / m)` of `w` = `warmConcurrency`, so the sum
 * stays below `w * n / m + n`; a warm endpoint queues the excess.
 *
 * @param facts The endpoint.
 * @param options The entry and the members.
 * @returns Concurrent calls; 0 when the endpoint is not warm or the entry not live.
 * @example
 * ```ts
 * getWarmShare(facts, { vmId: "vm-1", members });
 * ```
 */
export function getWarmShare(
  facts: EndpointFacts,
  options: WarmShareOptions,
): number {
  if (facts.state !== "warm") return 0;
  const live = options.members.filter((member) => member.state === "live");
  if (!live.some((member) => member.vmId === options.vmId)) return 0;
  const share = Math.floor(facts.warmConcurrency / live.length);
  const remainder = facts.warmConcurrency - share * live.length;
  return share +
    (isRankedWithin(facts, live, { ...options, remainder }) ? 1 : 0);
}

function isRankedWithin(
  facts: EndpointFacts,
  live: readonly MemberFacts[],
  options: { readonly vmId: VmId; readonly remainder: number },
): boolean {
  if (options.remainder === 0) return false;
  return buildRanking(facts.endpointId, live, (member) => member.vmId)
    .slice(0, options.remainder)
    .some((member) => member.vmId === options.vmId);
}
