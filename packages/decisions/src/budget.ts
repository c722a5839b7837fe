/**
 * Budgets for extra calls, that is, retries and hedges.
 *
 * @module
 */

/** Options of a {@link Budget}, in calls. */
export interface BudgetOptions {
  /** Extra calls allowed per ordinary call. */
  readonly perCall: number;
  /** Maximum number of extra calls that can accumulate. */
  readonly max: number;
}

/**
 * Limits extra calls to a share of ordinary calls.
 *
 * When a stage fails completely or a whole pool becomes slow, every call would
 * be sent two or three times, and the extra load would keep the pool overloaded
 * after the cause is gone. The budget keeps extra calls a small share of the
 * load.
 */
export class Budget {
  readonly #options: BudgetOptions;
  #availableCalls: number;

  constructor(options: BudgetOptions) {
    this.#options = options;
    this.#availableCalls = options.max;
  }

  /** Records an ordinary call. */
  recordCall(): void {
    const { perCall, max } = this.#options;
    this.#availableCalls = Math.min(max, this.#availableCalls + perCall);
  }

  /** Takes an extra call from the budget; returns false if it is exhausted. */
  tryTake(): boolean {
    if (this.#availableCalls < 1) return false;
    this.#availableCalls -= 1;
    return true;
  }
}
