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

/** One VM with the evidence for and against it. */
export interface MemberRow {
  place: MemberPlace;
  entryInstance: InstanceId;
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
 * Takes over the entry's instance. A new one is the newer proof that
 * undoes negative news; one that was seen before proves nothing.
 *
 * @returns False when the instance is a former one.
 */
export function applyInstance(row: MemberRow, instance: InstanceId): boolean {
  if (instance === "" || instance === row.entryInstance) return true;
  if (row.formerInstances.includes(instance)) return false;
  if (row.entryInstance !== "") {
    row.formerInstances.push(row.entryInstance);
    if (row.formerInstances.length > FORMER_INSTANCES_KEPT) {
      row.formerInstances.shift();
    }
    row.isLeaving = false;
  }
  row.entryInstance = instance;
  row.isEntryDown = false;
  return true;
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
