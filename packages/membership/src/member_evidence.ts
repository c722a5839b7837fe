/**
 * Derives a VM's state from the evidence about it.
 *
 * @module
 */
import type { MemberFacts, VmId } from "@sardinestep/types";
import {
  applyIndirectInstance,
  applyInstance,
  type MemberRow,
  NEVER_HEARD,
} from "./member_row.ts";

/** When a VM counts as silent, and which VM evaluates it. */
export interface LivenessContext {
  /** Monotonic milliseconds. */
  readonly now: number;
  readonly silentAfterMs: number;
  readonly localVmId: VmId;
}

/** Returns a VM's state by all evidence, including reports of other VMs. */
export function getState(
  row: MemberRow,
  context: LivenessContext,
): MemberFacts["state"] {
  const state = getDirectState(row, context);
  if (state !== "silent") return state;
  return isSeenByOthers(row, context) ? "live" : "silent";
}

/** Returns a VM's state by this VM's direct contact only. */
export function getDirectState(
  row: MemberRow,
  context: LivenessContext,
): MemberFacts["state"] {
  if (row.isLeaving) return "leaving";
  return hasDirectContact(row, context) ? "live" : "silent";
}

/**
 * Tells whether this VM has recent contact with a VM's entry.
 *
 * A message of the entry itself is the strongest evidence. Contact with the VM's
 * control also counts unless that control reports its entry as down; that entry
 * may have connected to another control, which then reports it.
 */
export function hasDirectContact(
  row: MemberRow,
  context: LivenessContext,
): boolean {
  if (isRecent(row.entryHeardAt, context)) return true;
  if (row.isEntryDown) return false;
  if (row.location.vmId === context.localVmId) return true;
  return isRecent(row.heardAt, context);
}

/** Tells whether another VM has recent contact; its own reports do not count. */
export function isSeenByOthers(
  row: MemberRow,
  context: LivenessContext,
): boolean {
  for (const [from, at] of row.lastSeenBy) {
    if (from !== row.location.vmId && isRecent(at, context)) return true;
  }
  return false;
}

/** The sender of gossip, and when it is evaluated. */
export interface GossipOptions {
  /** The reporting VM; undefined when unknown. */
  readonly from: VmId | undefined;
  readonly context: LivenessContext;
}

/** Applies what another control reports about a VM other than this one. */
export function applyGossipedMember(
  row: MemberRow,
  member: MemberFacts,
  options: GossipOptions,
): void {
  const { from, context } = options;
  if (!applyGossipedInstance(row, member, options)) return;
  // A sender that does not know the instance may mean an earlier one.
  const isSameInstance = member.entryInstance === row.entryInstance;
  if (member.state === "leaving" && isSameInstance) row.isLeaving = true;
  if (from === undefined) return;
  // A control reports its own VM as silent when its entry is down.
  if (from === member.vmId) row.isEntryDown = member.state === "silent";
  if (member.state === "live") row.lastSeenBy.set(from, context.now);
  else row.lastSeenBy.delete(from);
}

/**
 * A VM's report on itself takes precedence. Another VM's report applies while no
 * better source exists, and replaces a known instance only if that VM reports
 * the member as live.
 */
function applyGossipedInstance(
  row: MemberRow,
  member: MemberFacts,
  options: GossipOptions,
): boolean {
  const isAboutSelf = options.from === member.vmId;
  if (isAboutSelf) return applyInstance(row, member.entryInstance);
  const isInstanceKnown = row.entryInstance !== "";
  const hasBetterSource = hasDirectContact(row, options.context) ||
    (isInstanceKnown && member.state !== "live");
  if (hasBetterSource) return member.entryInstance === row.entryInstance;
  return applyIndirectInstance(row, member.entryInstance);
}

/** Drops reports of VMs that have not renewed them within the silence limit. */
export function dropExpiredSightings(
  row: MemberRow,
  context: LivenessContext,
): void {
  for (const [from, at] of row.lastSeenBy) {
    if (!isRecent(at, context)) row.lastSeenBy.delete(from);
  }
}

function isRecent(at: number, context: LivenessContext): boolean {
  return at !== NEVER_HEARD && context.now - at <= context.silentAfterMs;
}
