/**
 * Budgets of extra calls.
 *
 * @module
 */

/** How a {@link Budget} fills; in calls. */
export interface BudgetOptions {
  /** Extra calls that each ordinary call pays for. */
  readonly part: number;
  /** Extra calls that can be saved up. */
  readonly max: number;
}

/**
 * Extra calls as a part of ordinary ones.
 *
 * Made for a stage that fails outright or a pool that turns slow as a whole:
 * then every call would be sent two or three times, and the extra load keeps
 * the pool down after the cause is gone. With a budget extra calls stay a small
 * part of the load whatever fails.
 */
export class Budget {
  readonly #options: BudgetOptions;
  #calls: number;

  constructor(options: BudgetOptions) {
    this.#options = options;
    this.#calls = options.max;
  }

  /** Counts an ordinary call. */
  recordCall(): void {
    const { part, max } = this.#options;
    this.#calls = Math.min(max, this.#calls + part);
  }

  /** Whether an extra call may be made; it is counted if so. */
  mayTake(): boolean {
    if (this.#calls < 1) return false;
    this.#calls -= 1;
    return true;
  }
}
