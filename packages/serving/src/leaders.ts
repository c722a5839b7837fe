/**
 * Which VM composes the calls of a pool.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { ServiceId } from "@sardinestep/types";
import type { ServingMember } from "./model.ts";

/**
 * VMs that may lead a pool, best first; the others only follow. Three bear two
 * losses at once before a VM composes calls of its own.
 */
export const LEADER_CANDIDATES = 3;

/**
 * Ranks the VMs that may lead a pool.
 *
 * Two VMs that disagree about who lives pick two leaders for a while: calls are
 * less full, but a piece may be made twice, so nothing breaks and no lease is
 * needed.
 *
 * @param service The pool's service.
 * @param members All members, alive or not.
 */
export function planLeaders(
  service: ServiceId,
  members: readonly ServingMember[],
): ServingMember[] {
  return membership
    .buildRanking(`leader\0${service}`, members, (member) => member.vmId)
    .slice(0, LEADER_CANDIDATES);
}
