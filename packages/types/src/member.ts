/**
 * VMs of the system as other VMs see them.
 *
 * @module
 */
import type { Address, InstanceId, SiteId, VmId, ZoneId } from "./identity.ts";

/** A VM of the system with the addresses of its two daemons. */
export interface MemberFacts {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  /** Where the entry of this VM answers the system's other processes. */
  readonly entryRpc: Address;
  /** Where the control of this VM answers the system's other processes. */
  readonly controlRpc: Address;
  /** The entry's run; empty until it was heard from. */
  readonly entryInstance: InstanceId;
  readonly state: "live" | "leaving" | "silent";
  /** When it was last heard from, by the reader's monotonic clock. */
  readonly heardAt: number;
}
