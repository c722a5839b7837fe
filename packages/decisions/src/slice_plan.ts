/**
 * Slices of capacity and of customers' weights for each entry.
 *
 * A pure plan for whoever hands out slices. Entries decide alone, each inside
 * its slice; so that customers' shares hold over all entries together, the
 * slices have to follow the demand.
 *
 * @module
 */
import type { CustomerId, CustomerSpec, ServiceId } from "@sardinestep/types";
import type { CustomerDemand } from "./demand.ts";

/** What {@link planSlices} is given. */
export interface SlicePlanOptions {
  readonly customers: readonly CustomerSpec[];
  /** Demand at each entry, as its decider tells it. */
  readonly demands: readonly (readonly CustomerDemand[])[];
  /** Worker milliseconds for each millisecond that a pool bears. */
  readonly capacities: Readonly<Record<ServiceId, number>>;
}

/** Slice of one entry. */
export interface EntrySlice {
  /** Part of each pool's capacity; over all entries it sums to 1. */
  readonly parts: Readonly<Record<ServiceId, number>>;
  /** Customers with this entry's part of weight and concurrency. */
  readonly customers: readonly CustomerSpec[];
}

/**
 * Part of the capacity that is split evenly whatever the demand: an entry that
 * just got its first request must be able to serve it before the next plan.
 */
const EVEN_PART = 0.2;

/**
 * Plans the slices of all entries.
 *
 * Made for a customer whose requests all come in by one entry: with even slices
 * it gets that entry's part of the capacity, however large its share is. The
 * capacity goes to entries as the fair shares of the demand that they see.
 *
 * @param options Demand, weights and capacities.
 * @returns One slice for each entry, in the order of the demands.
 * @example
 * ```ts
 * const [first] = planSlices({ customers, demands, capacities });
 * ```
 */
export function planSlices(options: SlicePlanOptions): EntrySlice[] {
  const { customers, demands, capacities } = options;
  const entries = demands.length;
  const totals = demands.map((demand) => sumByCustomer(demand));
  return demands.map((demand, entry) => ({
    parts: Object.fromEntries(
      Object.keys(capacities).map((service) => [
        service,
        getPart(service, demand, options),
      ]),
    ),
    customers: customers.map((customer) => {
      const all = totals.reduce(
        (sum, each) => sum + getLoad(each, customer),
        0,
      );
      const own = getLoad(totals[entry], customer);
      const part = EVEN_PART / entries +
        (1 - EVEN_PART) * (all > 0 ? own / all : 1 / entries);
      return {
        customerId: customer.customerId,
        weight: customer.weight * part,
        maxConcurrency: Math.ceil(customer.maxConcurrency * part),
      };
    }),
  }));
}

function getLoad(
  loads: ReadonlyMap<CustomerId, number> | undefined,
  customer: CustomerSpec,
): number {
  return loads?.get(customer.customerId) ?? 0;
}

function sumByCustomer(
  demand: readonly CustomerDemand[],
): Map<CustomerId, number> {
  const sums = new Map<CustomerId, number>();
  for (const { customer, load } of demand) {
    sums.set(customer, (sums.get(customer) ?? 0) + load);
  }
  return sums;
}

/** An entry's part of a pool: its part of every customer's fair share. */
function getPart(
  service: ServiceId,
  demand: readonly CustomerDemand[],
  options: SlicePlanOptions,
): number {
  const entries = options.demands.length;
  const ofPool = options.demands.flat().filter((each) =>
    each.service === service
  );
  const totals = sumByCustomer(ofPool);
  const shares = planFairShares(totals, {
    capacity: options.capacities[service] ?? 0,
    customers: options.customers,
  });
  let own = 0;
  let all = 0;
  for (const share of shares.values()) all += share;
  for (const { service: each, customer, load } of demand) {
    if (each !== service) continue;
    own += (shares.get(customer) ?? 0) * load / (totals.get(customer) ?? load);
  }
  const part = all > 0 ? own / all : 1 / entries;
  return EVEN_PART / entries + (1 - EVEN_PART) * part;
}

/** What {@link planFairShares} is given. */
export interface FairShareOptions {
  readonly capacity: number;
  readonly customers: readonly CustomerSpec[];
}

/**
 * Weighted max-min fair shares: who asks for less than its share gets all of
 * it, and what it leaves is lent to the others by weight.
 *
 * @param demand Work that each customer asks for.
 * @param options Capacity in the same unit, and weights.
 */
export function planFairShares(
  demand: ReadonlyMap<CustomerId, number>,
  options: FairShareOptions,
): Map<CustomerId, number> {
  const weights = new Map(
    options.customers.map((each) => [each.customerId, each.weight]),
  );
  const getNeed = (id: CustomerId) =>
    (demand.get(id) ?? 0) / (weights.get(id) ?? 1);
  const byNeed = [...demand.keys()].sort((a, b) => getNeed(a) - getNeed(b));
  let weightLeft = byNeed.reduce((sum, id) => sum + (weights.get(id) ?? 1), 0);
  let left = options.capacity;
  const shares = new Map<CustomerId, number>();
  for (const id of byNeed) {
    const weight = weights.get(id) ?? 1;
    const share = Math.min(demand.get(id) ?? 0, left * weight / weightLeft);
    shares.set(id, share);
    left -= share;
    weightLeft -= weight;
  }
  return shares;
}
