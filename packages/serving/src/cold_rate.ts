/**
 * How many requests one VM may send to a cold endpoint.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { EndpointId } from "@sardinestep/types";

/** The platform's bound: `perSecond x overrun + slack` a second, over all VMs. */
export interface ColdBound {
  readonly overrun: number;
  readonly slack: number;
}

/**
 * A window a little longer than the second that the bound speaks of, since
 * requests that leave within 1,050 ms may arrive within 1,000.
 */
const WINDOW_MS = 1_100;
/** Share of the bound that is used: a VM that nobody knows of yet sends too. */
const USED_SHARE = 0.7;

/**
 * Gives this VM's part of a cold endpoint's bound.
 *
 * Where the bound gives less than one request to each VM, only as many VMs send
 * as it has requests; which ones is ranked by hash, so that all VMs agree.
 *
 * @param options The endpoint, its bound and the members.
 * @returns Whole requests a second.
 */
export function planColdPart(options: {
  readonly endpointId: EndpointId;
  readonly vmId: string;
  readonly members: readonly string[];
  readonly perSecond: number;
  readonly bound: ColdBound;
}): number {
  const { perSecond, bound } = options;
  const total = Math.floor(
    (perSecond * bound.overrun + bound.slack) * USED_SHARE,
  );
  const members = options.members.includes(options.vmId)
    ? options.members
    : [...options.members, options.vmId];
  const each = Math.floor(total / members.length);
  if (each >= 1) return each;
  const ranked = membership.buildRanking(
    options.endpointId,
    members,
    (vmId) => vmId,
  );
  return ranked.indexOf(options.vmId) < total ? 1 : 0;
}

/**
 * Counts what this VM sent to cold endpoints.
 *
 * Guards against a cold endpoint that crashes under its full share: it shows as
 * an endpoint that comes back and falls again at once.
 */
export class ColdRate {
  readonly #sent = new Map<EndpointId, number[]>();

  /** Notes a send. */
  record(endpointId: EndpointId, now: number): void {
    this.#getRecent(endpointId, now).push(now);
  }

  /** Whether one more send stays within a part. */
  mayRecord(endpointId: EndpointId, now: number, part: number): boolean {
    return this.#getRecent(endpointId, now).length < part;
  }

  #getRecent(endpointId: EndpointId, now: number): number[] {
    const times = (this.#sent.get(endpointId) ?? [])
      .filter((time) => time > now - WINDOW_MS);
    this.#sent.set(endpointId, times);
    return times;
  }
}
