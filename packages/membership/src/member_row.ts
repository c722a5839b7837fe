/**
 * What a member table notes of one VM.
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

/** Value of {@link MemberFacts.heardAt} before a VM was heard from. */
export const NEVER_HEARD = -1;

/** Earlier instances remembered per VM, so that old gossip can't revive one. */
const FORMER_INSTANCES_KEPT = 8;

/** A VM's name and place. */
export interface MemberPlace {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly entryRpc: Address;
  readonly controlRpc: Address;
}

/** A VM as the platform's list names it. */
export interface ListedMember extends MemberPlace {
  readonly state: "live" | "leaving";
}

/** Who was heard from: the identity that a process sends on a connection. */
export interface HeardIdentity {
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
  readonly instance: InstanceId;
  readonly rpc: Address;
}

/** One VM with the evidence for and against it. */
export interface MemberRow {
  place: MemberPlace;
  entryInstance: InstanceId;
  /** Whether the VM itself has named its instance. */
  isInstanceProved: boolean;
  formerInstances: InstanceId[];
  /** What the VM list says; undefined while it does not name the VM. */
  listed: "live" | "leaving" | undefined;
  /** Set by negative news; cleared by a new entry instance only. */
  isLeaving: boolean;
  /** The VM's control says itself that its entry is down. */
  isEntryDown: boolean;
  /** Any message of the VM, by the monotonic clock. */
  heardAt: number;
  /** Any message of the VM's entry, by the monotonic clock. */
  entryHeardAt: number;
  /** When the newest own call was sent that the VM has answered. */
  confirmedAt: number;
  /** Which VM said when that it hears this VM. */
  relayedBy: Map<VmId, number>;
  /** When any evidence arrived, for forgetting. */
  touchedAt: number;
}

/** Makes a row without evidence. */
export function createRow(place: MemberPlace, now: number): MemberRow {
  return {
    place,
    entryInstance: "",
    isInstanceProved: false,
    formerInstances: [],
    listed: undefined,
    isLeaving: false,
    isEntryDown: false,
    heardAt: NEVER_HEARD,
    entryHeardAt: NEVER_HEARD,
    confirmedAt: -Infinity,
    relayedBy: new Map(),
    touchedAt: now,
  };
}

/**
 * Takes over the entry's instance as the VM itself names it. A new one is the
 * newer proof that undoes negative news; one that was followed by another proves
 * nothing.
 *
 * @returns False when the instance is a former one.
 */
export function applyInstance(row: MemberRow, instance: InstanceId): boolean {
  if (instance === "") return true;
  if (row.formerInstances.includes(instance)) return false;
  if (instance !== row.entryInstance) {
    if (row.isInstanceProved) addFormer(row, row.entryInstance);
    setInstance(row, instance);
  }
  row.isInstanceProved = true;
  return true;
}

/**
 * Takes over the entry's instance as another VM names it.
 *
 * Hearsay has no order: of two VMs one may name the instance before. So it makes
 * no instance a former one, or the VM itself would be refused when it says
 * which one runs.
 *
 * @returns False when the instance is a former one.
 */
export function applyHearsayInstance(
  row: MemberRow,
  instance: InstanceId,
): boolean {
  if (instance === "" || instance === row.entryInstance) return true;
  if (row.formerInstances.includes(instance)) return false;
  setInstance(row, instance);
  row.isInstanceProved = false;
  return true;
}

function setInstance(row: MemberRow, instance: InstanceId): void {
  // Listed as leaving before it was ever heard, and as live since then: what
  // leaves was an earlier run.
  const isAnotherRun = row.entryInstance !== "" || row.listed === "live";
  if (isAnotherRun) row.isLeaving = false;
  row.entryInstance = instance;
  row.isEntryDown = false;
}

function addFormer(row: MemberRow, instance: InstanceId): void {
  row.formerInstances.push(instance);
  if (row.formerInstances.length > FORMER_INSTANCES_KEPT) {
    row.formerInstances.shift();
  }
}

/**
 * Fills in addresses that are not known yet. A process that connects tells only
 * its own address, so a VM heard from before it was listed lacks the other.
 */
export function fillPlace(row: MemberRow, place: MemberPlace): void {
  row.place = {
    ...row.place,
    entryRpc: row.place.entryRpc || place.entryRpc,
    controlRpc: row.place.controlRpc || place.controlRpc,
  };
}

/** Turns a row into facts. */
export function buildFacts(
  row: MemberRow,
  state: MemberFacts["state"],
): MemberFacts {
  return {
    ...row.place,
    entryInstance: row.entryInstance,
    state,
    heardAt: row.heardAt,
  };
}

/** Gives the place alone, with what is not known left empty. */
export function buildPlace(source: HeardIdentity | MemberPlace): MemberPlace {
  const { vmId, zone, site } = source;
  if ("entryRpc" in source) {
    const { entryRpc, controlRpc } = source;
    return { vmId, zone, site, entryRpc, controlRpc };
  }
  return mergePlace({ vmId, zone, site, entryRpc: "", controlRpc: "" }, source);
}

/** The process itself knows best where it listens. */
export function mergePlace(
  place: MemberPlace,
  heard: HeardIdentity,
): MemberPlace {
  return heard.process === "entry"
    ? { ...place, entryRpc: heard.rpc }
    : { ...place, controlRpc: heard.rpc };
}
