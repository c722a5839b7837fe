/**
 * Asks other VMs for parts of their shares.
 *
 * @module
 */
import type { Address, EndpointId } from "@sardinestep/types";
import { LoanLedger } from "./loan_ledger.ts";
import { LOAN_MS } from "./loan_plan.ts";

/** Sends to one endpoint that a VM asks another for. */
export interface LoanAsk {
  readonly endpointId: EndpointId;
  readonly count: number;
}

/** Options of {@link LoanBroker}. */
export interface LoanBrokerOptions {
  /**
   * Asks a VM for parts of its shares.
   *
   * @returns What it lends, in the order of the asks; undefined without an answer.
   */
  readonly callLender: (
    lender: Address,
    asks: readonly LoanAsk[],
  ) => Promise<readonly number[] | undefined>;
  /** Gives the other VMs that have a share of an endpoint's limit. */
  readonly getLenders: (endpointId: EndpointId) => readonly Address[];
  /** Gives numbers from 0 up to 1. */
  readonly random?: () => number;
}

/** Shortest time between two asks for one endpoint, in milliseconds. */
const ASK_INTERVAL_MS = 40;
/** VMs that are asked at a time; each is asked for its part. */
const LENDERS_PER_ASK = 2;
/** Time for which a VM that lent less than it was asked for is passed over, in ms. */
const EXHAUSTED_MS = 500;

/**
 * Gets loans for endpoints whose share is nearly used.
 *
 * @example
 * ```ts
 * broker.addAsk("e1", 8);
 * ```
 */
export class LoanBroker {
  /** Loans that were granted. */
  readonly ledger = new LoanLedger();
  readonly #options: LoanBrokerOptions;
  readonly #wanted = new Map<EndpointId, number>();
  readonly #askedAt = new Map<EndpointId, number>();
  /** Monotonic times until which lenders are passed over, by endpoint. */
  readonly #exhausted = new Map<EndpointId, Map<Address, number>>();

  /** @param options The other VMs. */
  constructor(options: LoanBrokerOptions) {
    this.#options = options;
  }

  /** Asks for sends, together with all other endpoints of this turn of the loop. */
  addAsk(endpointId: EndpointId, count: number): void {
    const now = performance.now();
    const askedAt = this.#askedAt.get(endpointId) ?? -Infinity;
    if (now - askedAt < ASK_INTERVAL_MS) return;
    this.#askedAt.set(endpointId, now);
    if (this.#wanted.size === 0) setImmediate(() => this.#askAll());
    this.#wanted.set(endpointId, count);
  }

  /** Drops what is kept on endpoints that are no longer registered. */
  keep(ids: ReadonlySet<EndpointId>): void {
    this.ledger.keep(ids);
    for (const kept of [this.#askedAt, this.#exhausted]) {
      for (const id of kept.keys()) if (!ids.has(id)) kept.delete(id);
    }
  }

  #askAll(): void {
    const now = performance.now();
    const asksByLender = new Map<Address, LoanAsk[]>();
    for (const [endpointId, wanted] of this.#wanted) {
      const lenders = this.#pickLenders(endpointId, now);
      const count = Math.ceil(wanted / lenders.length);
      for (const lender of lenders) {
        const asks = asksByLender.get(lender) ?? [];
        asksByLender.set(lender, [...asks, { endpointId, count }]);
      }
    }
    this.#wanted.clear();
    for (const [lender, asks] of asksByLender) void this.#ask(lender, asks);
  }

  #pickLenders(endpointId: EndpointId, now: number): Address[] {
    const { getLenders, random = Math.random } = this.#options;
    const exhausted = this.#exhausted.get(endpointId);
    return getLenders(endpointId)
      .filter((lender) => (exhausted?.get(lender) ?? -Infinity) <= now)
      .map((lender) => ({ lender, order: random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, LENDERS_PER_ASK)
      .map(({ lender }) => lender);
  }

  async #ask(lender: Address, asks: readonly LoanAsk[]): Promise<void> {
    // The lender counts a loan later than this, so that it ends in time.
    const endsAt = performance.now() + LOAN_MS;
    const granted = await this.#options.callLender(lender, asks);
    const now = performance.now();
    asks.forEach(({ endpointId, count: asked }, index) => {
      const count = granted?.[index] ?? 0;
      this.ledger.add(endpointId, { count: Math.min(count, asked), endsAt });
      if (count < asked) this.#passOver(endpointId, lender, now);
    });
  }

  #passOver(endpointId: EndpointId, lender: Address, now: number): void {
    const known = this.#exhausted.get(endpointId) ?? new Map<Address, number>();
    const current = [...known].filter(([, until]) => until > now);
    const until = now + EXHAUSTED_MS;
    this.#exhausted.set(endpointId, new Map([...current, [lender, until]]));
  }
}
