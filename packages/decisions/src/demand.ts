/**
 * Work that customers ask for at one entry.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "@sardinestep/types";

/** How long demand is remembered: long beside a gossip round, short beside a burst. */
const MEMORY_MS = 2_000;
/** Less is no demand any more. */
const MIN_WORK_MS = 0.5;

/** Work that a customer asked for lately in one pool. */
export interface CustomerDemand {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  /** Worker milliseconds for each millisecond, refused requests included. */
  readonly load: number;
}

interface Faded {
  readonly service: ServiceId;
  readonly customer: CustomerId;
  workMs: number;
  at: number;
}

/** Demand by pool and customer, fading with time. */
export class Demand {
  readonly #work = new Map<ServiceId, Map<CustomerId, Faded>>();

  /** Counts work that was asked for, admitted or not. */
  record(
    workMs: number,
    options: { service: ServiceId; customer: CustomerId; now: number },
  ): void {
    const { service, customer, now } = options;
    const ofService = this.#work.get(service) ?? new Map<CustomerId, Faded>();
    this.#work.set(service, ofService);
    const known = ofService.get(customer);
    if (known) {
      known.workMs = getFaded(known, now) + workMs;
      known.at = now;
    } else ofService.set(customer, { service, customer, workMs, at: now });
  }

  /** Lists present demand and forgets what has faded. */
  getAll(now: number): CustomerDemand[] {
    const all: CustomerDemand[] = [];
    for (const ofService of this.#work.values()) {
      for (const [id, each] of ofService) {
        const workMs = getFaded(each, now);
        const { service, customer } = each;
        if (workMs < MIN_WORK_MS) ofService.delete(id);
        else all.push({ service, customer, load: workMs / MEMORY_MS });
      }
    }
    return all;
  }
}

function getFaded(each: Faded, now: number): number {
  return each.workMs * Math.exp((each.at - now) / MEMORY_MS);
}
