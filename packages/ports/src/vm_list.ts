/**
 * Port to the platform's list of live and leaving VMs, which may lag.
 *
 * @module
 */
import type {
  Address,
  EndpointId,
  EndpointRole,
  ServiceId,
  SiteId,
  VmId,
  ZoneId,
} from "@sardinestep/types";
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** A listed VM of the system. */
export interface ListedVm {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly entryRpc: Address;
  readonly controlRpc: Address;
  readonly state: "live" | "leaving";
}

/** A listed worker of an endpoint VM. */
export interface ListedEndpoint {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
  readonly state: "live" | "leaving";
}

/** The list as of {@link VmList.asOf}; the actual state may be newer. */
export interface VmList {
  readonly asOf: number;
  readonly vms: readonly ListedVm[];
  readonly endpoints: readonly ListedEndpoint[];
}

/** Reads the VM list. */
export interface VmListPort {
  read(timeoutMs: number): Promise<Result<VmList, PortError>>;
  close(): Promise<void>;
}
