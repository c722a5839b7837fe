/**
 * Customers' weights, limits and requests under way.
 *
 * @module
 */
import type { CustomerId, CustomerSpec } from "@sardinestep/types";

/** What is known of customers at this entry. */
export class Customers {
  #specs = new Map<CustomerId, CustomerSpec>();
  readonly #running = new Map<CustomerId, number>();
  #meanWeight = 1;

  /** Replaces weights and limits. */
  update(specs: readonly CustomerSpec[]): void {
    this.#specs = new Map(specs.map((spec) => [spec.customerId, spec]));
    const sum = specs.reduce((total, spec) => total + spec.weight, 0);
    this.#meanWeight = specs.length === 0 ? 1 : sum / specs.length;
  }

  /** Weight relative to the mean weight, so that its scale does not matter. */
  getWeight(customer: CustomerId): number {
    const weight = this.#specs.get(customer)?.weight;
    return weight === undefined ? 1 : weight / this.#meanWeight;
  }

  /**
   * Whether the customer may have one request more at this entry.
   *
   * Made for a customer whose own clients run wild; without it they would fill
   * the queues. The limit is the customer's own, set by operators.
   */
  mayAdd(customer: CustomerId): boolean {
    const limit = this.#specs.get(customer)?.maxConcurrency ?? Infinity;
    return (this.#running.get(customer) ?? 0) < limit;
  }

  /** Counts a request that begins or ends. */
  count(customer: CustomerId, change: 1 | -1): void {
    const running = (this.#running.get(customer) ?? 0) + change;
    if (running > 0) this.#running.set(customer, running);
    else this.#running.delete(customer);
  }
}
