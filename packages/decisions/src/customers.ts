/**
 * Weights, limits and running requests of customers.
 *
 * @module
 */
import type { CustomerId, CustomerSpec } from "@sardinestep/types";

/** Weights, limits and running requests of all customers at this entry. */
export class Customers {
  #specs = new Map<CustomerId, CustomerSpec>();
  readonly #runningRequests = new Map<CustomerId, number>();
  #meanWeight = 1;

  /** Replaces the weights and limits of all customers. */
  update(specs: readonly CustomerSpec[]): void {
    this.#specs = new Map(specs.map((spec) => [spec.customerId, spec]));
    const sum = specs.reduce((total, spec) => total + spec.weight, 0);
    this.#meanWeight = specs.length === 0 ? 1 : sum / specs.length;
  }

  /** Returns the weight relative to the mean; its scale does not matter. */
  getWeight(customer: CustomerId): number {
    const weight = this.#specs.get(customer)?.weight;
    return weight === undefined ? 1 : weight / this.#meanWeight;
  }

  /**
   * Returns whether the customer may have one more request at this entry.
   *
   * The limit, set by operators per customer, keeps misbehaving clients of a
   * customer from filling the queues.
   */
  mayAddRequest(customer: CustomerId): boolean {
    const limit = this.#specs.get(customer)?.maxConcurrency ?? Infinity;
    return (this.#runningRequests.get(customer) ?? 0) < limit;
  }

  /** Counts a request that starts (`1`) or ends (`-1`). */
  countRequest(customer: CustomerId, change: 1 | -1): void {
    const running = (this.#runningRequests.get(customer) ?? 0) + change;
    if (running > 0) this.#runningRequests.set(customer, running);
    else this.#runningRequests.delete(customer);
  }
}
