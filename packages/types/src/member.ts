/**
 * VMs of the system as seen by other VMs.
 *
 * @module
 */
import type { Address, InstanceId, SiteId, VmId, ZoneId } from "./identity.ts";

/** A VM of the system with the addresses of its two daemons. */
export interface MemberFacts {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  /** RPC address of this VM's entry process. */
  readonly entryRpc: Address;
  /** RPC address of this VM's control process. */
  readonly controlRpc: Address;
  /** The current run of the entry; empty until it is known. */
  readonly entryInstance: InstanceId;
  readonly state: "live" | "leaving" | "silent";
  /** When the VM was last known to be alive, by the reader's monotonic clock. */
  readonly heardAt: number;
}
