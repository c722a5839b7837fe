/**
 * Picks the only entry that may send to a cold endpoint.
 *
 * ## Invariant
 *
 * The concurrent calls of all entries to a cold endpoint never exceed its
 * `coldConcurrency`, even while entries disagree about which VMs are live.
 *
 * ## Proof
 *
 * Only one entry, the warmer, may send: the live member that rendezvous
 * hashing of the endpoint's id ranks first. It sends only
 * 1. while its control's view is fresh: a majority of the listed VMs has answered
 *    calls sent within V = `viewFreshMs`, and the list was read recently;
 * 2. after it has been the warmer in every view for Q = `takeoverDelayMs`, without
 *    a stale view in between.
 *
 * Suppose that A and B both send at time t, and the hash ranks A before B. Then
 * A has not been live in B's view for Q. An entry uses a control view at most V
 * old, and that view rests on answers at most V old. So B depends on answers of
 * a majority in [t - 2V, t], and A, which was also the warmer at t - 2V, on
 * answers of a majority in [t - 4V, t - 2V]. Two majorities of one list share a
 * VM C (C may be A or B). C had direct contact with A at most 4V before it
 * answered B, and `silentAfterMs` is at least 4V, so C's answer reported A as
 * live, and B applied it before t: A was live in B's view within Q, which
 * contradicts 2. If B's view has A as leaving, A has learned that before the end
 * of Q, from its own list or from gossip about its current instance.
 *
 * Calls of a former warmer may still run when the next one starts, so Q includes
 * the longest call. Q restarts after a process start, a pause and a stale view.
 *
 * ## Assumptions
 *
 * - List lag: a VM whose list was read within `listFreshMs` has a list at most
 *   `listLagMs` older than that of any other such VM, and every span of Q
 *   contains a span of 4V in which majorities of their lists share a member. This
 *   holds for one change at a time, but not for a list that repeatedly changes by
 *   half of its VMs throughout Q.
 * - Monotonic clocks run at the same speed to within the margin in Q.
 * - A process frozen between reading its limit and writing to the socket sends
 *   that call late. Callers do both in the same turn of the event loop, so the
 *   window is microseconds; only a fencing check in the endpoint closes it.
 * - An endpoint that restarts unannounced gets the calls of a warm one until the
 *   first entry detects a broken connection, another instance or a report. The
 *   warmer then waits `settleMs`, in which the other entries learn of it.
 *
 * @module
 */
import type { EndpointId, MemberFacts, VmId } from "@sardinestep/types";
import { pickByHash } from "./rendezvous.ts";

/** Durations that the takeover delay must cover. */
export interface TakeoverDelayOptions {
  readonly listLagMs: number;
  readonly silentAfterMs: number;
  readonly viewFreshMs: number;
  /** Longest duration of a call to a cold endpoint. */
  readonly longestCallMs: number;
}

/**
 * Computes the shortest takeover delay for which the proof above holds: the list's
 * lag, the age of the views of control and entry, and the calls of the former
 * warmer, plus `silentAfterMs` as margin for differing clock speeds.
 *
 * @param options The durations to cover, in milliseconds.
 * @example
 * ```ts
 * buildTakeoverDelayMs({ listLagMs: 5_000, silentAfterMs: 3_000, viewFreshMs: 1_500, longestCallMs: 10_000 });
 * ```
 */
export function buildTakeoverDelayMs(options: TakeoverDelayOptions): number {
  return options.listLagMs + options.silentAfterMs +
    4 * options.viewFreshMs + options.longestCallMs;
}

/**
 * Picks the only VM whose entry may send to a cold endpoint.
 *
 * @param endpointId The endpoint.
 * @param members All known members; only live ones are candidates.
 * @returns Undefined when no member is live.
 * @example
 * ```ts
 * pickWarmer("endpoint-1", members);
 * ```
 */
export function pickWarmer(
  endpointId: EndpointId,
  members: readonly MemberFacts[],
): VmId | undefined {
  const live = members.filter((member) => member.state === "live");
  return pickByHash(endpointId, live, (member) => member.vmId)?.vmId;
}
