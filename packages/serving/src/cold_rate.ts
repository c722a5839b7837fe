/**
 * How many requests one VM may send to a cold endpoint.
 *
 * @module
 */
import { planVmPart, type SharedSends } from "./vm_part.ts";

/** The platform's bound: `perSecond x overrun + slack` a second, over all VMs. */
export interface ColdBound {
  readonly overrun: number;
  readonly slack: number;
}

/**
 * A window a little longer than the second that the bound speaks of, since
 * requests that leave within 1,050 ms may arrive within 1,000.
 */
export const COLD_WINDOW_MS = 1_100;
/** Share of the bound that is used: a VM that nobody knows of yet sends too. */
const USED_SHARE = 0.7;

/**
 * Gives this VM's part of a cold endpoint's bound.
 *
 * @param options The endpoint, its bound and the members.
 * @returns Whole requests of a {@link COLD_WINDOW_MS}.
 */
export function planColdPart(
  options: Omit<SharedSends, "total"> & {
    readonly perSecond: number;
    readonly bound: ColdBound;
  },
): number {
  const { perSecond, bound } = options;
  const total = Math.floor(
    (perSecond * bound.overrun + bound.slack) * USED_SHARE,
  );
  return planVmPart({ ...options, total });
}
