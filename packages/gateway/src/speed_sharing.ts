/**
 * With which VMs this VM exchanges the speeds that endpoints reported.
 *
 * @module
 */
import * as endpointSpeed from "@sardinestep/endpoint_speed";
import * as serving from "@sardinestep/serving";
import type { Address } from "@sardinestep/types";
import type { EndpointSpeeds } from "./endpoint_speeds.ts";
import type { LeaderTable } from "./leader_table.ts";

/**
 * Largest site that shares speeds. The collecting VM sends some 6 KB/s to each
 * member that it serves.
 */
const MAX_SHARING_MEMBERS = 96;

/** Figures and the peers they are sent to. */
export interface SpeedSharing {
  readonly peers: ReadonlySet<Address>;
  readonly hostSpeeds: readonly endpointSpeed.SharedSpeed[];
}

/** State that {@link planSpeedSharing} reads. */
export interface SpeedSharingOptions {
  readonly member: serving.ServingMember;
  /** Number of members of the site. */
  readonly members: number;
  readonly services: readonly Pick<serving.ServiceSpec, "name" | "pool">[];
  readonly leaders: Pick<LeaderTable, "getRanking" | "getShard" | "zones">;
  readonly isAlive: (vmId: string) => boolean;
  readonly speeds: Pick<EndpointSpeeds, "hasReports" | "getShared">;
}

/**
 * Plans the sharing of speeds where a VM sees each endpoint too rarely itself. The
 * first live candidate for the leadership of the first pool collects the figures:
 * all VMs exchange views with it anyway. Where pools are led by zone, the collecting
 * VMs of the zones also exchange theirs.
 *
 * @returns Undefined where nothing is shared.
 */
export function planSpeedSharing(
  options: SpeedSharingOptions,
): SpeedSharing | undefined {
  const { member, members, leaders, speeds } = options;
  if (!speeds.hasReports || members > MAX_SHARING_MEMBERS) return undefined;
  const names = options.services
    .filter(({ pool }) => pool !== undefined)
    .map(({ name }) => name)
    .sort();
  const [pool] = names;
  if (pool === undefined) return undefined;
  const findCollector = (shard: serving.ShardId) =>
    leaders.getRanking(pool, shard)
      .slice(0, serving.LEADER_CANDIDATES)
      .find(({ vmId }) => options.isAlive(vmId));
  const ownShard = leaders.getShard(member.zone);
  const own = findCollector(ownShard);
  if (own === undefined) return undefined;
  const isCollector = own.vmId === member.vmId;
  const { SHARE_SOURCE } = endpointSpeed;
  if (!isCollector) {
    return {
      peers: new Set([own.rpc]),
      hostSpeeds: speeds.getShared(SHARE_SOURCE.own),
    };
  }
  if (ownShard === serving.WHOLE_POOL) return undefined;
  const collectors = [...leaders.zones].flatMap((zone) =>
    findCollector(zone) ?? []
  );
  return {
    peers: new Set(collectors.map(({ rpc }) => rpc)),
    hostSpeeds: speeds.getShared(SHARE_SOURCE.all),
  };
}
