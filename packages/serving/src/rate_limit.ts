/**
 * How many requests one VM may send to an endpoint that names a rate limit.
 *
 * The load that this answers: many VMs send to an endpoint in need, and what it
 * says that it takes is for all of them. So each keeps to a part of its own.
 *
 * @module
 */
import { planVmPart, type SendPart, type SharedSends } from "./vm_part.ts";

/**
 * Window for which a VM has whole requests, in milliseconds. In a second, a small
 * limit would give most VMs none.
 */
const WINDOW_MS = 4_000;
/** Requests that leave within a longer time may arrive within the window. */
const LINK_SHARE = 1.1;
/**
 * Least rate at which an endpoint is asked again, for it tells the end of its
 * limit only with an answer.
 */
const MIN_PER_SECOND = 0.1;
/** Share of a limit that a leader uses, since two may call for a while. */
const LEADER_SHARE = 0.75;
const MS_PER_SECOND = 1_000;
/** Longest window of any limit, in milliseconds. */
export const MAX_LIMIT_WINDOW_MS = LINK_SHARE * MS_PER_SECOND / MIN_PER_SECOND;

/**
 * Gives this VM's part of an endpoint's rate limit.
 *
 * @param options The endpoint, its limit and the members.
 * @example
 * ```ts
 * planLimitPart({ endpointId: "e1", vmId: "vm-1", members: ["vm-1"], perSecond: 2 });
 * // { part: 8, windowMs: 4_400 }
 * ```
 */
export function planLimitPart(
  options: Omit<SharedSends, "total"> & { readonly perSecond: number },
): SendPart {
  const { total, windowMs } = planWindow(options.perSecond);
  return { part: planVmPart({ ...options, total }), windowMs };
}

/** Gives the part of the VM that makes all calls of pieces to an endpoint. */
export function planLeaderPart(perSecond: number): SendPart {
  const { total, windowMs } = planWindow(perSecond * LEADER_SHARE);
  return { part: total, windowMs };
}

function planWindow(
  perSecond: number,
): { readonly total: number; readonly windowMs: number } {
  const rate = Math.max(MIN_PER_SECOND, perSecond);
  const total = Math.max(1, Math.floor(rate * WINDOW_MS / MS_PER_SECOND));
  const windowMs = Math.max(WINDOW_MS, MS_PER_SECOND / rate) * LINK_SHARE;
  return { total, windowMs };
}
