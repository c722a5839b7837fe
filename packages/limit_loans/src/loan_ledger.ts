/**
 * Loans that a VM has and has not used yet.
 *
 * @module
 */
import type { EndpointId } from "@sardinestep/types";

interface Loan {
  count: number;
  /** Monotonic time at which it ends. */
  readonly endsAt: number;
}

/**
 * Keeps loans until they are used or end.
 *
 * @example
 * ```ts
 * ledger.add("e1", { count: 3, endsAt: now + LOAN_MS });
 * ledger.removeSend("e1", now); // true
 * ```
 */
export class LoanLedger {
  readonly #loans = new Map<EndpointId, Loan[]>();

  /** Adds a loan. */
  add(endpointId: EndpointId, loan: Readonly<Loan>): void {
    if (loan.count <= 0) return;
    const loans = [...this.#loans.get(endpointId) ?? [], { ...loan }];
    this.#loans.set(endpointId, loans);
  }

  /** Counts the sends that are left. */
  count(endpointId: EndpointId, now: number): number {
    return this.#getCurrent(endpointId, now)
      .reduce((sum, { count }) => sum + count, 0);
  }

  /** Uses one send of the loan that ends first; gives whether there was any. */
  removeSend(endpointId: EndpointId, now: number): boolean {
    const [first] = this.#getCurrent(endpointId, now);
    if (first === undefined) return false;
    first.count -= 1;
    return true;
  }

  /** Drops the loans of endpoints that are no longer registered. */
  keep(ids: ReadonlySet<EndpointId>): void {
    for (const id of this.#loans.keys()) {
      if (!ids.has(id)) this.#loans.delete(id);
    }
  }

  #getCurrent(endpointId: EndpointId, now: number): Loan[] {
    const loans = this.#loans.get(endpointId);
    if (loans === undefined) return [];
    const current = loans
      .filter(({ count, endsAt }) => count > 0 && endsAt > now)
      .sort((a, b) => a.endsAt - b.endsAt);
    if (current.length > 0) this.#loans.set(endpointId, current);
    else this.#loans.delete(endpointId);
    return current;
  }
}
