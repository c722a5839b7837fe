/**
 * Shares of the rate limits that endpoints announce.
 *
 * A limit applies to all VMs together, so each VM keeps to a share of it.
 *
 * @module
 */
import {
  pickSharers,
  planVmShare,
  type SendShare,
  type SharedLimit,
} from "./vm_share.ts";

/**
 * Window of a share, in milliseconds. Shares are whole requests: of a small limit,
 * most VMs would have none in a window of a second.
 */
const WINDOW_MS = 4_000;
/** Window factor: requests sent in a longer time may arrive within the window. */
const WINDOW_FACTOR = 1.1;
/**
 * Lowest rate of requests to a limited endpoint, which announces the end of its
 * limit only in an answer.
 */
const MIN_PER_SECOND = 0.1;
/** Share of a limit that a leader uses: a pool may have two leaders for a while. */
const LEADER_SHARE = 0.75;
const MS_PER_SECOND = 1_000;
/** Longest window of a limit, in milliseconds. */
export const MAX_LIMIT_WINDOW_MS = WINDOW_FACTOR * MS_PER_SECOND /
  MIN_PER_SECOND;

/** An endpoint's rate limit and the VMs that share it. */
export interface SharedRateLimit extends Omit<SharedLimit, "total"> {
  readonly perSecond: number;
}

/**
 * Returns this VM's share of an endpoint's rate limit.
 *
 * @param options The endpoint, its limit and the members.
 * @example
 * ```ts
 * planLimitShare({ endpointId: "e1", vmId: "vm-1", members: ["vm-1"], perSecond: 2 });
 * // { requests: 8, windowMs: 4_400 }
 * ```
 */
export function planLimitShare(options: SharedRateLimit): SendShare {
  const { total, windowMs } = planWindow(options.perSecond);
  return { requests: planVmShare({ ...options, total }), windowMs };
}

/** Picks the VMs that may send to an endpoint within its rate limit. */
export function pickLimitSharers(options: SharedRateLimit): readonly string[] {
  const { total } = planWindow(options.perSecond);
  return pickSharers({ ...options, total });
}

/** Returns the share of a leader, which makes all calls to an endpoint. */
export function planLeaderShare(perSecond: number): SendShare {
  const { total, windowMs } = planWindow(perSecond * LEADER_SHARE);
  return { requests: total, windowMs };
}

function planWindow(
  perSecond: number,
): { readonly total: number; readonly windowMs: number } {
  const rate = Math.max(MIN_PER_SECOND, perSecond);
  const total = Math.max(1, Math.floor(rate * WINDOW_MS / MS_PER_SECOND));
  const windowMs = Math.max(WINDOW_MS, MS_PER_SECOND / rate) * WINDOW_FACTOR;
  return { total, windowMs };
}
