/**
 * Plans each entry's slice of the capacity and of the customers' weights.
 *
 * Entries decide independently, each within its slice. The slices follow the
 * demand so that customers' fair shares hold across all entries.
 *
 * @module
 */
import type { CustomerId, CustomerSpec, ServiceId } from "@sardinestep/types";
import type { CustomerDemand } from "./demand.ts";

/** Input of {@link planSlices}. */
export interface SlicePlanOptions {
  readonly customers: readonly CustomerSpec[];
  /** Demand at each entry, as reported by its decider. */
  readonly demands: readonly (readonly CustomerDemand[])[];
  /** Capacity of each pool in worker milliseconds per millisecond. */
  readonly capacities: Readonly<Record<ServiceId, number>>;
}

/** One entry's slice of the capacity and of the customers' limits. */
export interface EntrySlice {
  /** Share of each pool's capacity; the shares of all entries sum to 1. */
  readonly capacityShares: Readonly<Record<ServiceId, number>>;
  /** Customers with this entry's share of their weight and concurrency. */
  readonly customers: readonly CustomerSpec[];
}

/**
 * Share of the capacity that is split evenly regardless of demand, so that an
 * entry can serve its first request before the next plan.
 */
const EVEN_SHARE = 0.1;

/**
 * Plans the slices of all entries.
 *
 * Each entry gets the capacity that its customers' fair shares amount to. With
 * even slices, a customer whose requests all arrive at one entry would get only
 * that entry's part of the capacity, however large its fair share is.
 *
 * @param options Demand, weights and capacities.
 * @returns One slice per entry, in the order of `options.demands`.
 * @example
 * ```ts
 * const [first] = planSlices({ customers, demands, capacities });
 * ```
 */
export function planSlices(options: SlicePlanOptions): EntrySlice[] {
  const { customers, demands, capacities } = options;
  const entryCount = demands.length;
  const totals = demands.map((demand) => sumByCustomer(demand));
  return demands.map((demand, entry) => ({
    capacityShares: Object.fromEntries(
      Object.keys(capacities).map((service) => [
        service,
        getCapacityShare(service, demand, options),
      ]),
    ),
    customers: customers.map((customer) => {
      const totalLoad = totals.reduce(
        (sum, loads) => sum + getLoad(loads, customer),
        0,
      );
      const ownLoad = getLoad(totals[entry], customer);
      const entryShare = EVEN_SHARE / entryCount +
        (1 - EVEN_SHARE) *
          (totalLoad > 0 ? ownLoad / totalLoad : 1 / entryCount);
      return {
        customerId: customer.customerId,
        weight: customer.weight * entryShare,
        maxConcurrency: Math.ceil(customer.maxConcurrency * entryShare),
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

/** Returns an entry's share of a pool, based on its customers' fair shares. */
function getCapacityShare(
  service: ServiceId,
  demand: readonly CustomerDemand[],
  options: SlicePlanOptions,
): number {
  const entryCount = options.demands.length;
  const poolDemand = options.demands.flat().filter((item) =>
    item.service === service
  );
  const totals = sumByCustomer(poolDemand);
  const shares = planFairShares(totals, {
    capacity: options.capacities[service] ?? 0,
    customers: options.customers,
  });
  let ownWork = 0;
  let totalWork = 0;
  for (const share of shares.values()) totalWork += share;
  for (const { service: demandService, customer, load } of demand) {
    if (demandService !== service) continue;
    ownWork += (shares.get(customer) ?? 0) * load /
      (totals.get(customer) ?? load);
  }
  const entryShare = totalWork > 0 ? ownWork / totalWork : 1 / entryCount;
  return EVEN_SHARE / entryCount + (1 - EVEN_SHARE) * entryShare;
}

/** Input of {@link planFairShares}. */
export interface FairShareOptions {
  readonly capacity: number;
  readonly customers: readonly CustomerSpec[];
}

/**
 * Computes weighted max-min fair shares: a customer that demands less than its
 * share gets its whole demand, and the rest is divided by weight.
 *
 * @param demand Requested work of each customer.
 * @param options Capacity in the unit of the demand, and weights.
 */
export function planFairShares(
  demand: ReadonlyMap<CustomerId, number>,
  options: FairShareOptions,
): Map<CustomerId, number> {
  const weights = new Map(
    options.customers.map((customer) => [customer.customerId, customer.weight]),
  );
  const getDemandPerWeight = (id: CustomerId) =>
    (demand.get(id) ?? 0) / (weights.get(id) ?? 1);
  const byDemandPerWeight = [...demand.keys()].sort((a, b) =>
    getDemandPerWeight(a) - getDemandPerWeight(b)
  );
  let remainingWeight = byDemandPerWeight.reduce(
    (sum, id) => sum + (weights.get(id) ?? 1),
    0,
  );
  let remaining = options.capacity;
  const shares = new Map<CustomerId, number>();
  for (const id of byDemandPerWeight) {
    const weight = weights.get(id) ?? 1;
    const share = Math.min(
      demand.get(id) ?? 0,
      remaining * weight / remainingWeight,
    );
    shares.set(id, share);
    remaining -= share;
    remainingWeight -= weight;
  }
  return shares;
}
