/**
 * What the evidence about a VM amounts to.
 *
 * @module
 */
import type { MemberFacts, VmId } from "@sardinestep/types";
import {
  applyHearsayInstance,
  applyInstance,
  type MemberRow,
  NEVER_HEARD,
} from "./member_row.ts";

/** When a VM counts as silent, and who judges. */
export interface SilenceLimits {
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly silentAfterMs: number;
  readonly ownVmId: VmId;
}

/** Gives a VM's state by all evidence, that of other VMs included. */
export function getState(
  row: MemberRow,
  limits: SilenceLimits,
): MemberFacts["state"] {
  const state = getDirectState(row, limits);
  if (state !== "silent") return state;
  return isRelayed(row, limits) ? "live" : "silent";
}

/** Gives a VM's state by what the own VM hears itself. */
export function getDirectState(
  row: MemberRow,
  limits: SilenceLimits,
): MemberFacts["state"] {
  if (row.isLeaving) return "leaving";
  return isHeard(row, limits) ? "live" : "silent";
}

/**
 * Tells whether a VM's entry is heard directly.
 *
 * The entry itself is the best proof. Its control's word counts while it does
 * not say that its entry is down: that entry may have changed to another
 * control, where it is heard.
 */
export function isHeard(row: MemberRow, limits: SilenceLimits): boolean {
  if (isRecent(row.entryHeardAt, limits)) return true;
  if (row.isEntryDown) return false;
  if (row.place.vmId === limits.ownVmId) return true;
  return isRecent(row.heardAt, limits);
}

/** Tells whether another VM hears it; what a VM says of itself is no such proof. */
export function isRelayed(row: MemberRow, limits: SilenceLimits): boolean {
  for (const [from, at] of row.relayedBy) {
    if (from !== row.place.vmId && isRecent(at, limits)) return true;
  }
  return false;
}

/** Who says something of a VM, and when. */
export interface RelayOptions {
  /** Undefined when it is not known who says so. */
  readonly from: VmId | undefined;
  readonly limits: SilenceLimits;
}

/** Takes over what another control says of a VM that is not the own one. */
export function applyRelayed(
  row: MemberRow,
  member: MemberFacts,
  options: RelayOptions,
): void {
  const { from, limits } = options;
  if (!applyRelayedInstance(row, member, options)) return;
  // Who does not know the run may mean an earlier one.
  const isSameRun = member.entryInstance === row.entryInstance;
  if (member.state === "leaving" && isSameRun) row.isLeaving = true;
  if (from === undefined) return;
  // A control says of its own VM that it is silent when its entry is down.
  if (from === member.vmId) row.isEntryDown = member.state === "silent";
  if (member.state === "live") row.relayedBy.set(from, limits.now);
  else row.relayedBy.delete(from);
}

/**
 * A VM's word on itself decides. Hearsay counts while nothing better is known, and
 * replaces a known run only if who says so hears the other one.
 */
function applyRelayedInstance(
  row: MemberRow,
  member: MemberFacts,
  options: RelayOptions,
): boolean {
  const isFirstHand = options.from === member.vmId;
  if (isFirstHand) return applyInstance(row, member.entryInstance);
  const isKnown = row.entryInstance !== "";
  const isBetterKnown = isHeard(row, options.limits) ||
    (isKnown && member.state !== "live");
  if (isBetterKnown) return member.entryInstance === row.entryInstance;
  return applyHearsayInstance(row, member.entryInstance);
}

/** Drops the word of VMs that have said nothing lately, or are gone themselves. */
export function dropOldRelays(row: MemberRow, limits: SilenceLimits): void {
  for (const [from, at] of row.relayedBy) {
    if (!isRecent(at, limits)) row.relayedBy.delete(from);
  }
}

function isRecent(at: number, limits: SilenceLimits): boolean {
  return at !== NEVER_HEARD && limits.now - at <= limits.silentAfterMs;
}
