/**
 * The record that a member table keeps for one VM.
 *
 * @module
 */
import type {
  Address,
  InstanceId,
  MemberFacts,
  SiteId,
  VmId,
  ZoneId,
} from "@sardinestep/types";

/** Value of {@link MemberFacts.heardAt} before the first message of a VM. */
export const NEVER_HEARD = -1;

/** Former instances kept per VM, so that delayed gossip can't restore one. */
const FORMER_INSTANCES_KEPT = 8;

/** A VM's id, failure domain, site and RPC addresses. */
export interface MemberLocation {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly entryRpc: Address;
  readonly controlRpc: Address;
}

/** A VM with its state in the platform's VM list. */
export interface ListedMember extends MemberLocation {
  readonly state: "live" | "leaving";
}

/** The identity that a peer process sends on a connection. */
export interface PeerIdentity {
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly instance: InstanceId;
  readonly rpc: Address;
}

/** One VM and the evidence about its health. */
export interface MemberRow {
  location: MemberLocation;
  entryInstance: InstanceId;
  /** Whether the VM itself has reported its entry instance. */
  isInstanceConfirmed: boolean;
  formerInstances: InstanceId[];
  /** State in the VM list; undefined while the VM is not listed. */
  listedAs: "live" | "leaving" | undefined;
  /** Cleared only by a new entry instance. */
  isLeaving: boolean;
  /** Whether the VM's own control reports its entry as down. */
  isEntryDown: boolean;
  /** Monotonic time of the last message from any process of the VM. */
  heardAt: number;
  /** Monotonic time of the last message from the VM's entry. */
  entryHeardAt: number;
  /** Send time of the newest call from this VM that the VM has answered. */
  answeredCallSentAt: number;
  /** When each other VM last reported direct contact with this VM. */
  lastSeenBy: Map<VmId, number>;
  /** Last evidence of any kind; decides when the row expires. */
  lastEvidenceAt: number;
}

/** Creates a row without evidence. */
export function createRow(location: MemberLocation, now: number): MemberRow {
  return {
    location,
    entryInstance: "",
    isInstanceConfirmed: false,
    formerInstances: [],
    listedAs: undefined,
    isLeaving: false,
    isEntryDown: false,
    heardAt: NEVER_HEARD,
    entryHeardAt: NEVER_HEARD,
    answeredCallSentAt: -Infinity,
    lastSeenBy: new Map(),
    lastEvidenceAt: now,
  };
}

/**
 * Applies the entry instance that the VM itself reports. A new instance
 * supersedes negative evidence about its predecessor; a former one is ignored.
 *
 * @returns False when the instance is a former one.
 */
export function applyInstance(row: MemberRow, instance: InstanceId): boolean {
  if (instance === "") return true;
  if (row.formerInstances.includes(instance)) return false;
  if (instance !== row.entryInstance) {
    if (row.isInstanceConfirmed) addFormerInstance(row, row.entryInstance);
    setInstance(row, instance);
  }
  row.isInstanceConfirmed = true;
  return true;
}

/**
 * Applies the entry instance that another VM reports.
 *
 * Reports of different VMs have no order, and one may still name the previous
 * instance. So the replaced instance does not become a former one; otherwise the
 * VM's own report of it could be rejected later.
 *
 * @returns False when the instance is a former one.
 */
export function applyIndirectInstance(
  row: MemberRow,
  instance: InstanceId,
): boolean {
  if (instance === "" || instance === row.entryInstance) return true;
  if (row.formerInstances.includes(instance)) return false;
  setInstance(row, instance);
  row.isInstanceConfirmed = false;
  return true;
}

function setInstance(row: MemberRow, instance: InstanceId): void {
  // If the VM was listed as leaving before its first contact and is listed as live
  // now, the leaving instance was an earlier one.
  const isNewInstance = row.entryInstance !== "" || row.listedAs === "live";
  if (isNewInstance) row.isLeaving = false;
  row.entryInstance = instance;
  row.isEntryDown = false;
}

function addFormerInstance(row: MemberRow, instance: InstanceId): void {
  row.formerInstances.push(instance);
  if (row.formerInstances.length > FORMER_INSTANCES_KEPT) {
    row.formerInstances.shift();
  }
}

/**
 * Fills in missing addresses. A connecting process sends only its own address,
 * so a VM that connects before it is listed lacks the other one.
 */
export function mergeMissingAddresses(
  row: MemberRow,
  location: MemberLocation,
): void {
  const entryRpc = row.location.entryRpc || location.entryRpc;
  const controlRpc = row.location.controlRpc || location.controlRpc;
  // Called for each member of each gossip message, which mostly brings nothing new.
  const isUnchanged = entryRpc === row.location.entryRpc &&
    controlRpc === row.location.controlRpc;
  if (!isUnchanged) row.location = { ...row.location, entryRpc, controlRpc };
}

/** Builds the facts that are sent to other processes. */
export function buildFacts(
  row: MemberRow,
  state: MemberFacts["state"],
): MemberFacts {
  const { location, entryInstance, heardAt } = row;
  // Copied one by one: spreading is slow, and this runs for each member of each
  // gossip message.
  return {
    vmId: location.vmId,
    zone: location.zone,
    site: location.site,
    entryRpc: location.entryRpc,
    controlRpc: location.controlRpc,
    entryInstance,
    state,
    heardAt,
  };
}

/** Extracts the location; unknown addresses are empty. */
export function buildLocation(
  source: PeerIdentity | MemberLocation,
): MemberLocation {
  const { vmId, zone, site } = source;
  if ("entryRpc" in source) {
    const { entryRpc, controlRpc } = source;
    return { vmId, zone, site, entryRpc, controlRpc };
  }
  return mergeAddress(
    { vmId, zone, site, entryRpc: "", controlRpc: "" },
    source,
  );
}

/** Overwrites an address with the one that the process itself reports. */
export function mergeAddress(
  location: MemberLocation,
  peer: PeerIdentity,
): MemberLocation {
  const name = peer.process === "entry" ? "entryRpc" : "controlRpc";
  return location[name] === peer.rpc
    ? location
    : { ...location, [name]: peer.rpc };
}
