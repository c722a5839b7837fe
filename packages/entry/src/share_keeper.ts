/**
 * Computes this entry's share of customer limits and endpoint capacity by demand.
 *
 * @module
 */
import * as decisions from "@sardinestep/decisions";
import type { CustomerSpec, EndpointFacts } from "@sardinestep/types";

/** Inputs of a plan of shares. */
export interface ShareInputs {
  readonly customers: readonly CustomerSpec[];
  readonly endpoints: Iterable<EndpointFacts>;
  /** Number of live entries, including this one. */
  readonly liveEntries: number;
}

/** Holds the latest plan of this entry's shares. */
export class ShareKeeper {
  #plan: decisions.EntrySlice | undefined;

  /** Discards the plan, after the customers have changed. */
  reset(): void {
    this.#plan = undefined;
  }

  /**
   * Recomputes this entry's shares.
   *
   * @param own Demand at this entry.
   * @param others Demand at other entries; entries that reported none count as idle.
   * @param inputs Customers, endpoints and number of live entries.
   */
  update(
    own: readonly decisions.CustomerDemand[],
    others: readonly (readonly decisions.CustomerDemand[])[],
    inputs: ShareInputs,
  ): void {
    const idleEntries = Math.max(0, inputs.liveEntries - 1 - others.length);
    const demands = [
      own,
      ...others,
      ...Array.from({ length: idleEntries }, () => []),
    ];
    const { customers } = inputs;
    const capacities = sumCapacities(inputs.endpoints);
    [this.#plan] = decisions.planSlices({ customers, demands, capacities });
  }

  /** Customers limited to this entry's share; equal shares before the first plan. */
  getCustomers(inputs: ShareInputs): readonly CustomerSpec[] {
    if (this.#plan) return this.#plan.customers;
    const entries = Math.max(1, inputs.liveEntries);
    return inputs.customers.map((customer) => ({
      ...customer,
      maxConcurrency: Math.ceil(customer.maxConcurrency / entries),
    }));
  }

  /**
   * Returns how many concurrent calls this entry may make to a warm endpoint. It is
   * one at least, even if the share is less: any entry may receive requests, and a
   * warm endpoint queues a few calls.
   */
  getWarmShare(facts: EndpointFacts, liveEntries: number): number {
    const equalShare = 1 / Math.max(1, liveEntries);
    const share = this.#plan?.capacityShares[facts.service] ?? equalShare;
    return Math.max(1, Math.ceil(facts.warmConcurrency * share));
  }
}

/** Sums, per service, the concurrent calls that its endpoints allow when warm. */
function sumCapacities(
  endpoints: Iterable<EndpointFacts>,
): Record<string, number> {
  const capacities: Record<string, number> = {};
  for (const { service, warmConcurrency } of endpoints) {
    capacities[service] = (capacities[service] ?? 0) + warmConcurrency;
  }
  return capacities;
}
