/**
 * How the concurrency of a warm endpoint is shared over entries.
 *
 * @module
 */
import type { EndpointFacts, MemberFacts, VmId } from "@sardinestep/types";
import { buildRanking } from "./rendezvous.ts";

/** Whose slice, and among whom it is shared. */
export interface WarmSliceOptions {
  readonly vmId: VmId;
  /** All known members; only live ones get a slice. */
  readonly members: readonly MemberFacts[];
}

/**
 * Gives one entry's slice of a warm endpoint's concurrency.
 *
 * Made for endpoints that bear fewer calls at once than there are entries as
 * much as for large ones: every live entry gets the whole part of an equal share,
 * and what is left over goes, one call each, to the entries that rendezvous
 * hashing ranks first for this endpoint. Over entries that agree about the
 * members the slices add up to `warmConcurrency` exactly. While they disagree,
 * an entry that sees `m` of `n` live members takes at most `ceil(warm / m)`, so the
 * sum stays below `warm * n / m + n`: an overshoot that a warm endpoint queues.
 *
 * @param facts The endpoint.
 * @param options The entry and the members.
 * @returns Calls at once; 0 when the endpoint is not warm or the entry not live.
 * @example
 * ```ts
 * getWarmSlice(facts, { vmId: "vm-1", members });
 * ```
 */
export function getWarmSlice(
  facts: EndpointFacts,
  options: WarmSliceOptions,
): number {
  if (facts.state !== "warm") return 0;
  const live = options.members.filter((member) => member.state === "live");
  if (!live.some((member) => member.vmId === options.vmId)) return 0;
  const share = Math.floor(facts.warmConcurrency / live.length);
  const left = facts.warmConcurrency - share * live.length;
  return share + (isAmongFirst(facts, live, { ...options, left }) ? 1 : 0);
}

function isAmongFirst(
  facts: EndpointFacts,
  live: readonly MemberFacts[],
  options: { readonly vmId: VmId; readonly left: number },
): boolean {
  if (options.left === 0) return false;
  return buildRanking(facts.endpointId, live, (member) => member.vmId)
    .slice(0, options.left)
    .some((member) => member.vmId === options.vmId);
}
