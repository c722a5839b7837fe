/**
 * Division among VMs of a limit on the requests to one endpoint.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { EndpointId } from "@sardinestep/types";

/** Requests that a VM may send to an endpoint in a window. */
export interface SendShare {
  readonly requests: number;
  readonly windowMs: number;
}

/** The limit to divide and the VMs that share it. */
export interface SharedLimit {
  readonly endpointId: EndpointId;
  readonly vmId: string;
  readonly members: readonly string[];
  /** Whole requests in a window, over all VMs. */
  readonly total: number;
}

/**
 * Returns this VM's share of a limit over all VMs, without coordination.
 *
 * If the limit is less than one request for each VM, only as many VMs send as there
 * are requests; they are ranked by hash, so that all VMs agree.
 *
 * @returns Whole requests in a window.
 * @example
 * ```ts
 * planVmShare({ endpointId: "e1", vmId: "vm-1", members: ["vm-1", "vm-2"], total: 7 }); // 3
 * ```
 */
export function planVmShare(limit: SharedLimit): number {
  const { vmId, total } = limit;
  const perVm = Math.floor(total / getVms(limit).length);
  if (perVm >= 1) return perVm;
  return pickSharers(limit).includes(vmId) ? 1 : 0;
}

/**
 * Picks the VMs whose share of a limit is at least one request.
 *
 * @example
 * ```ts
 * pickSharers({ endpointId: "e1", vmId: "vm-1", members: ["vm-1", "vm-2"], total: 7 });
 * // ["vm-1", "vm-2"]
 * ```
 */
export function pickSharers(limit: SharedLimit): readonly string[] {
  const vms = getVms(limit);
  const { endpointId, total } = limit;
  if (total >= vms.length) return vms;
  return membership.buildRanking(endpointId, vms, (id) => id).slice(0, total);
}

function getVms({ vmId, members }: SharedLimit): readonly string[] {
  return members.includes(vmId) ? members : [...members, vmId];
}

/** Counts this VM's recent requests to endpoints. */
export class SendRate {
  readonly #sent = new Map<EndpointId, number[]>();
  readonly #keepMs: number;
  readonly #startedAt: number;

  /**
   * @param keepMs Longest window that is queried, in milliseconds.
   * @param startedAt Monotonic time of the process's start, if the process before may
   * have used the share of a window that began earlier.
   */
  constructor(keepMs: number, startedAt = -Infinity) {
    this.#keepMs = keepMs;
    this.#startedAt = startedAt;
  }

  /** Records a request. */
  record(endpointId: EndpointId, now: number): void {
    const recent = this.#getRecent(endpointId, now, this.#keepMs);
    this.#sent.set(endpointId, [...recent, now]);
  }

  /** Counts the requests of a window. */
  countSent(endpointId: EndpointId, now: number, windowMs: number): number {
    return this.#getRecent(endpointId, now, windowMs).length;
  }

  /** Whether another request stays within a share. */
  maySend(endpointId: EndpointId, now: number, share: SendShare): boolean {
    return this.getWaitMs(endpointId, now, share) === 0;
  }

  /** Time until another request stays within a share; infinite if it is empty. */
  getWaitMs(
    endpointId: EndpointId,
    now: number,
    { requests, windowMs }: SendShare,
  ): number {
    const unknownMs = this.#startedAt + windowMs - now;
    if (unknownMs > 0) return unknownMs;
    const recent = this.#getRecent(endpointId, now, windowMs);
    if (recent.length < requests) return 0;
    const oldest = recent[recent.length - requests];
    return oldest === undefined ? Infinity : oldest + windowMs - now;
  }

  /** Removes endpoints that are no longer registered. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#sent.keys()) {
      if (!ids.has(id)) this.#sent.delete(id);
    }
  }

  #getRecent(endpointId: EndpointId, now: number, windowMs: number): number[] {
    return (this.#sent.get(endpointId) ?? [])
      .filter((time) => time > now - windowMs);
  }
}
