/**
 * Work that customers request at one entry.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "@sardinestep/types";

/** Decay time constant: longer than a gossip round, shorter than a burst. */
const DEMAND_DECAY_MS = 2_000;
/** Demand below this work is dropped. */
const MIN_WORK_MS = 0.5;

/** Recent demand of a customer in one pool. */
export interface CustomerDemand {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  /** Worker milliseconds per millisecond, including refused requests. */
  readonly load: number;
}

interface DecayingWork {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  workMs: number;
  at: number;
}

/** Demand by pool and customer, decaying exponentially. */
export class Demand {
  readonly #workByService = new Map<ServiceId, Map<CustomerId, DecayingWork>>();

  /** Records requested work, whether or not it is admitted. */
  record(
    workMs: number,
    options: { service: ServiceId; customer: CustomerId; now: number },
  ): void {
    const { service, customer, now } = options;
    const byCustomer = this.#workByService.get(service) ??
      new Map<CustomerId, DecayingWork>();
    this.#workByService.set(service, byCustomer);
    const existing = byCustomer.get(customer);
    if (existing) {
      existing.workMs = getDecayedMs(existing, now) + workMs;
      existing.at = now;
    } else byCustomer.set(customer, { service, customer, workMs, at: now });
  }

  /** Returns the current demand and drops what has decayed. */
  getAll(now: number): CustomerDemand[] {
    const all: CustomerDemand[] = [];
    for (const byCustomer of this.#workByService.values()) {
      for (const [id, entry] of byCustomer) {
        const workMs = getDecayedMs(entry, now);
        const { service, customer } = entry;
        if (workMs < MIN_WORK_MS) byCustomer.delete(id);
        else all.push({ service, customer, load: workMs / DEMAND_DECAY_MS });
      }
    }
    return all;
  }
}

function getDecayedMs(entry: DecayingWork, now: number): number {
  return entry.workMs * Math.exp((entry.at - now) / DEMAND_DECAY_MS);
}
