/**
 * The platform's lagging list of live and leaving VMs.
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

/** A VM of the system as listed. */
export interface ListedVm {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly entryRpc: Address;
  readonly controlRpc: Address;
  readonly state: "live" | "leaving";
}

/** A worker of an endpoint VM as listed. */
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

/** The list as of {@link VmList.asOf}; the truth may be newer. */
export interface VmList {
  readonly asOf: number;
  readonly vms: readonly ListedVm[];
  readonly endpoints: readonly ListedEndpoint[];
}

/** Reads the list. */
export interface VmListPort {
  read(timeoutMs: number): Promise<Result<VmList, PortError>>;
  close(): Promise<void>;
}
