/**
 * Election of the VM that batches the calls of a pool, or of a shard of it.
 *
 * In a burst the endpoints of one zone have more groups than they can make while
 * another zone's are idle, and calls of a shard are less full than those of a whole
 * pool. But a VM that leads a whole pool answers four exchanges a second from each
 * other VM and batches every group. So a pool has one leader while the VMs with
 * most cores can bear that, and one in each zone on larger sites.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { ServiceId, ZoneId } from "@sardinestep/types";
import type { ServingMember } from "./model.ts";

/** A shard of a pool: the endpoints of one zone, or {@link WHOLE_POOL}. */
export type ShardId = string;
/** The shard of a pool with a single leader. */
export const WHOLE_POOL: ShardId = "*";

/**
 * Number of VMs that may lead a shard. With five, four can fail at once before a VM
 * batches its own calls.
 */
export const LEADER_CANDIDATES = 5;
/** Members that a leader of whole pools can serve with each of its cores. */
const LED_MEMBERS_PER_CORE = 64;
/**
 * Time that another zone must save over the zone of the request's engine, in
 * milliseconds. About 5 MB of results cross zones then, and waits reported by other
 * zones are half a second old.
 */
const MIN_ZONE_SAVING_MS = 150;

/**
 * Ranks the VMs that may lead a shard of a pool.
 *
 * VMs that disagree about who is alive pick two leaders for a while: calls are less
 * full then. Nothing breaks, since a piece may be made twice, so no lease is
 * needed. VMs with more cores rank higher, since a leader works for all others.
 *
 * @param service The pool's service.
 * @param members All members, alive or not.
 * @param shard A zone, or {@link WHOLE_POOL}.
 * @example
 * ```ts
 * const [leader] = planLeaders("retriever", members, "zone-a");
 * ```
 */
export function planLeaders(
  service: ServiceId,
  members: readonly ServingMember[],
  shard: ShardId = WHOLE_POOL,
): ServingMember[] {
  const shardMembers = members.filter((member) =>
    shard === WHOLE_POOL || member.zone === shard
  );
  return rankMembers(`leader\0${service}\0${shard}`, shardMembers)
    .slice(0, LEADER_CANDIDATES);
}

/** Whether two records describe the same state of a VM. */
export function isSameMember(a: ServingMember, b: ServingMember): boolean {
  return a.vmId === b.vmId && a.zone === b.zone && a.rpc === b.rpc &&
    a.relay === b.relay && a.cores === b.cores;
}

/** Ranks the VMs that may read the registry for their zone. */
export function planReaders(
  zone: ZoneId,
  members: readonly ServingMember[],
): ServingMember[] {
  const zoneMembers = members.filter((member) => member.zone === zone);
  return rankMembers(`reader\0${zone}`, zoneMembers);
}

/**
 * Whether each zone has its own leaders: the site has more members than its largest
 * VM can lead.
 */
export function isSharded(members: readonly ServingMember[]): boolean {
  const mostCores = Math.max(0, ...members.map((member) => member.cores));
  return members.length > mostCores * LED_MEMBERS_PER_CORE;
}

/** Expected cost of making a request's pieces in a zone. */
export interface ZoneEstimate {
  /** Time of all stages there, including waits, in milliseconds. */
  readonly expectedMs: number;
  /** Number of needed pools with endpoints there. */
  readonly usablePools: number;
}

/** Options of {@link pickShardZone}. */
export interface PickShardZoneOptions {
  readonly zones: ReadonlyMap<ZoneId, ZoneEstimate>;
  /** Number of pools that the request needs. */
  readonly pools: number;
  /** Zone of the engine that will probably read the results. */
  readonly readerZone?: ZoneId;
  readonly ownZone: ZoneId;
}

/**
 * Picks the zone that makes a request's pieces.
 *
 * Prevents a zone that lost endpoints or gets a burst from queueing while others
 * are idle. The symptom is waits that differ between zones by more than a call.
 *
 * @param options Expected times by zone, and where the results are read.
 * @returns The zone; undefined if no zone has all of the pools.
 */
export function pickShardZone(
  options: PickShardZoneOptions,
): ZoneId | undefined {
  const { zones, pools, ownZone } = options;
  const preferred = options.readerZone ?? ownZone;
  const eligible = [...zones].filter(([, estimate]) =>
    estimate.usablePools === pools
  );
  const costs = eligible.map(([zone, { expectedMs }]) => ({
    zone,
    cost: expectedMs + (zone === preferred ? 0 : MIN_ZONE_SAVING_MS) +
      (zone === ownZone ? 0 : 1),
  }));
  return costs.sort((a, b) => a.cost - b.cost)[0]?.zone;
}

function rankMembers(
  subject: string,
  members: readonly ServingMember[],
): ServingMember[] {
  return membership
    .buildRanking(subject, members, (member) => member.vmId)
    .sort((a, b) => b.cores - a.cores);
}
