/**
 * Work that was admitted for pools and has not been queued there.
 *
 * @module
 */

/**
 * Sums admitted work by pool, in milliseconds of endpoint time.
 *
 * The load that a pool's leader reports lacks this work, so that without it every
 * request of a burst finds the pools of later stages idle.
 */
export class AheadWork {
  readonly #workMs = new Map<string, number>();

  /** Work ahead at a pool, in milliseconds of endpoint time. */
  getMs(pool: string): number {
    return this.#workMs.get(pool) ?? 0;
  }

  /**
   * Adds the work of a request at a pool.
   *
   * @returns Removes it again; later calls have no effect.
   */
  add(pool: string, workMs: number): () => void {
    this.#workMs.set(pool, this.getMs(pool) + workMs);
    let isRemoved = false;
    return () => {
      if (isRemoved) return;
      isRemoved = true;
      const leftMs = this.getMs(pool) - workMs;
      // Sums of fractions don't return to exactly 0.
      if (leftMs > 1e-6) this.#workMs.set(pool, leftMs);
      else this.#workMs.delete(pool);
    };
  }
}
