/**
 * Rate limiting of requests to endpoints that are still warming up.
 *
 * @module
 */
import { planVmShare, type SharedLimit } from "./vm_share.ts";

/** The platform's limit over all VMs: `perSecond x overrun + slack` a second. */
export interface ColdLimit {
  readonly overrun: number;
  readonly slack: number;
}

/**
 * Window in which requests are counted, in milliseconds. It exceeds the second of
 * the limit, since requests sent within 1,050 ms may arrive within 1,000.
 */
export const COLD_WINDOW_MS = 1_100;
/** Share of the limit that is used; VMs that aren't listed yet send requests too. */
const USED_SHARE = 0.7;

/**
 * Returns this VM's share of a cold endpoint's limit.
 *
 * @param options The endpoint, its limit and the members.
 * @returns Whole requests in a window of {@link COLD_WINDOW_MS}.
 */
export function planColdShare(
  options: Omit<SharedLimit, "total"> & {
    readonly perSecond: number;
    readonly bound: ColdLimit;
  },
): number {
  const { perSecond, bound } = options;
  const total = Math.floor(
    (perSecond * bound.overrun + bound.slack) * USED_SHARE,
  );
  return planVmShare({ ...options, total });
}
