/**
 * How VMs share what all of them together may send to one endpoint.
 *
 * @module
 */
import * as membership from "@sardinestep/membership";
import type { EndpointId } from "@sardinestep/types";

/** What a VM may send to an endpoint in a window. */
export interface SendPart {
  readonly part: number;
  readonly windowMs: number;
}

/** What is shared, and among whom. */
export interface SharedSends {
  readonly endpointId: EndpointId;
  readonly vmId: string;
  readonly members: readonly string[];
  /** Whole requests of a window, over all VMs. */
  readonly total: number;
}

/**
 * Gives this VM's part of a bound on all VMs, without any exchange.
 *
 * Where the bound gives less than one request to each VM, only as many VMs send
 * as it has requests; which ones is ranked by hash, so that all VMs agree.
 *
 * @returns Whole requests of a window.
 * @example
 * ```ts
 * planVmPart({ endpointId: "e1", vmId: "vm-1", members: ["vm-1", "vm-2"], total: 7 }); // 3
 * ```
 */
export function planVmPart(
  { endpointId, vmId, members, total }: SharedSends,
): number {
  const all = members.includes(vmId) ? members : [...members, vmId];
  const each = Math.floor(total / all.length);
  if (each >= 1) return each;
  const ranked = membership.buildRanking(endpointId, all, (one) => one);
  return ranked.indexOf(vmId) < total ? 1 : 0;
}

/** Counts what this VM sent to endpoints lately. */
export class SendRate {
  readonly #sent = new Map<EndpointId, number[]>();
  readonly #keepMs: number;

  /** @param keepMs Longest window that is asked for, in milliseconds. */
  constructor(keepMs: number) {
    this.#keepMs = keepMs;
  }

  /** Notes a send. */
  record(endpointId: EndpointId, now: number): void {
    const recent = this.#getRecent(endpointId, now, this.#keepMs);
    this.#sent.set(endpointId, [...recent, now]);
  }

  /** Whether one more send stays within a part. */
  mayRecord(endpointId: EndpointId, now: number, part: SendPart): boolean {
    return this.getWaitMs(endpointId, now, part) === 0;
  }

  /** Time until one more send stays within a part; infinite for an empty part. */
  getWaitMs(
    endpointId: EndpointId,
    now: number,
    { part, windowMs }: SendPart,
  ): number {
    const recent = this.#getRecent(endpointId, now, windowMs);
    if (recent.length < part) return 0;
    const oldest = recent[recent.length - part];
    return oldest === undefined ? Infinity : oldest + windowMs - now;
  }

  /** Forgets endpoints that are gone. */
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
