/**
 * Which one entry may send to a cold endpoint, and why it is only one.
 *
 * ## What must hold
 *
 * The calls that a cold endpoint has from all entries together never exceed its
 * `coldConcurrency`, also while entries disagree about who is alive.
 *
 * ## Why it holds
 *
 * Only one entry, the warmer, may send: the live member that rendezvous
 * hashing of the endpoint's id ranks first. A member acts on that only
 * 1. while its control's view is fresh: a majority of the listed VMs has answered
 *    calls sent within V = `viewFreshMs`, and the list was read lately;
 * 2. after it has been the warmer in every view for Q = `quarantineMs`, with
 *    no stale moment in between.
 *
 * Suppose that A and B both send at time t, and the hash ranks A before B. Then
 * B's view has not had A as live for Q. An entry acts on what its control held
 * at most V ago, and control on answers at most V old. So B rests on answers that a
 * majority gave in [t - 2V, t], and A, which was the warmer at t - 2V too, on
 * answers that a majority gave in [t - 4V, t - 2V]. Two majorities of one list
 * share a VM C (C may be A or B). C heard A directly at most 4V before it
 * answered B, and `silentAfterMs` is at least 4V, so C's answer said that A
 * is live, and B took it over before t: A was live in B's view within Q, which
 * contradicts 2. If A counts as leaving there, A has learnt it from its own list
 * or from what others say of this run of A, before Q was over.
 *
 * Calls of a former warmer may still run when the next one begins; Q includes
 * the longest call. After a pause, after the start and after a gap in
 * freshness, Q begins anew.
 *
 * ## What is assumed
 *
 * - List lag: a VM whose list was read within `listFreshMs` has a list that is at
 *   most `listLagMs` older than that of any other such VM, and in every span of
 *   Q there are 4V in which their lists have majorities that share a member. One
 *   change at a time always does; a list that changes by half of its VMs
 *   again and again for all of Q does not.
 * - Monotonic clocks run at the same speed to within the margin in Q.
 * - A process that is frozen between asking for the slice and writing to the
 *   socket sends that call late. Callers ask in the same turn of the loop in which
 *   they write, so the window is microseconds; only a fencing check in the
 *   endpoint closes it.
 * - An endpoint that restarts unannounced gets calls as a warm one until the first
 *   entry sees a broken connection, another instance or a report. From
 *   then on the warmer waits `settleMs`, in which the others learn it too.
 *
 * @module
 */
import type { EndpointId, MemberFacts, VmId } from "@sardinestep/types";
import { pickByHash } from "./rendezvous.ts";

/** What the quarantine must cover. */
export interface QuarantineOptions {
  readonly listLagMs: number;
  readonly silentAfterMs: number;
  readonly viewFreshMs: number;
  /** The longest that a call to a cold endpoint may run. */
  readonly longestCallMs: number;
}

/**
 * Computes the shortest quarantine for which the argument above holds: the list's
 * lag, the views of control and entry, and the calls of the former warmer, with
 * a silence more as margin for clocks that run at different speeds.
 *
 * @param options The times that it must cover, in milliseconds.
 * @example
 * ```ts
 * buildQuarantineMs({ listLagMs: 5_000, silentAfterMs: 3_000, viewFreshMs: 1_500, longestCallMs: 10_000 });
 * ```
 */
export function buildQuarantineMs(options: QuarantineOptions): number {
  return options.listLagMs + options.silentAfterMs +
    4 * options.viewFreshMs + options.longestCallMs;
}

/**
 * Picks the one VM whose entry may send to a cold endpoint.
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
