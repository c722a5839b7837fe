/**
 * Work that a pool did for each customer recently.
 *
 * Answers the load of a few large customers beside many small ones: shares are
 * compared by measured work, not by requests.
 *
 * @module
 */

/** Work done for one customer. */
export interface CustomerWork {
  readonly customer: string;
  /** Endpoint time, decayed, in milliseconds. */
  readonly workMs: number;
}

/**
 * Time after which recorded work counts half, in milliseconds: longer than a queue
 * lasts that can still be served on time, shorter than a burst.
 */
const HALF_LIFE_MS = 2_000;
/** Most customers of a site, which bounds the memory of a leader. */
const MAX_CUSTOMERS = 32_000;
/** Decayed work below this has no effect on any decision, in milliseconds. */
const MIN_WORK_MS = 0.1;
/** Doublings after which weights are rebased, well below the range of a double. */
const MAX_DOUBLINGS = 40;

/**
 * Counts work by customer with exponential decay.
 *
 * New work is scaled up instead of scaling all old entries down, so that recording
 * and reading take constant time.
 */
export class CustomerUsage {
  readonly #scaledWork = new Map<string, number>();
  readonly #maxCustomers: number;
  #baseAt = 0;

  /** @param maxCustomers Customers that are kept; the least used are removed. */
  constructor(maxCustomers: number = MAX_CUSTOMERS) {
    this.#maxCustomers = maxCustomers;
  }

  /** Number of customers with recorded work. */
  get size(): number {
    return this.#scaledWork.size;
  }

  /**
   * Adds work of a call that starts.
   *
   * @param customer The customer; undefined for work of requests without one, which
   * counts as that of a single customer.
   * @param workMs Endpoint time in milliseconds.
   * @param now Monotonic time in milliseconds.
   */
  record(customer: string | undefined, workMs: number, now: number): void {
    if (!(workMs > 0)) return;
    this.#rebase(now);
    const key = customer ?? "";
    const scaled = (this.#scaledWork.get(key) ?? 0) +
      workMs * this.#getScale(now);
    this.#scaledWork.set(key, scaled);
    if (this.#scaledWork.size > this.#maxCustomers) this.#removeSmallest(now);
  }

  /** Returns a customer's recent work, in milliseconds. */
  getWorkMs(customer: string | undefined, now: number): number {
    const scaled = this.#scaledWork.get(customer ?? "");
    return scaled === undefined ? 0 : scaled / this.#getScale(now);
  }

  /**
   * Returns the customers with the most recent work, the largest first.
   *
   * @param count Most entries.
   * @param now Monotonic time in milliseconds.
   */
  getLargest(count: number, now: number): CustomerWork[] {
    const scale = this.#getScale(now);
    // One pass: leaders report often, and may know thousands of customers.
    const largest: [string, number][] = [];
    for (const entry of this.#scaledWork) {
      const [, least] = largest[count - 1] ?? ["", -Infinity];
      if (entry[1] <= least) continue;
      const index = largest.findIndex(([, scaled]) => scaled < entry[1]);
      largest.splice(index < 0 ? largest.length : index, 0, entry);
      if (largest.length > count) largest.pop();
    }
    return largest
      .map(([customer, scaled]) => ({
        customer,
        workMs: Math.round(scaled / scale),
      }))
      .filter(({ workMs }) => workMs > 0);
  }

  /**
   * Adopts what an earlier leader reported, if nothing was recorded yet.
   *
   * @param reported Work as of the report.
   * @param ageMs Age of the report in milliseconds.
   * @param now Monotonic time in milliseconds.
   */
  adopt(
    reported: readonly CustomerWork[],
    ageMs: number,
    now: number,
  ): void {
    if (this.size > 0) return;
    const decay = 2 ** (-Math.max(0, ageMs) / HALF_LIFE_MS);
    for (const { customer, workMs } of reported) {
      this.record(customer, workMs * decay, now);
    }
  }

  #getScale(now: number): number {
    return 2 ** ((now - this.#baseAt) / HALF_LIFE_MS);
  }

  /** Moves the base of the weights and removes customers without recent work. */
  #rebase(now: number): void {
    if (now - this.#baseAt < HALF_LIFE_MS * MAX_DOUBLINGS) return;
    const scale = this.#getScale(now);
    for (const [customer, scaled] of this.#scaledWork) {
      const workMs = scaled / scale;
      if (workMs < MIN_WORK_MS) this.#scaledWork.delete(customer);
      else this.#scaledWork.set(customer, workMs);
    }
    this.#baseAt = now;
  }

  /** Removes an eighth at once, so that the sort is rare. */
  #removeSmallest(now: number): void {
    const kept = this.getLargest(Math.floor(this.#maxCustomers * 7 / 8), now);
    const customers = new Set(kept.map(({ customer }) => customer));
    for (const customer of this.#scaledWork.keys()) {
      if (!customers.has(customer)) this.#scaledWork.delete(customer);
    }
  }
}
