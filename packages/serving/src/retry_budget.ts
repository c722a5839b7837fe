/**
 * Retry budget of a VM.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";

/** The operator's limit on retries, over all VMs. */
export interface RetryBudgetOptions {
  /** Retries for each request of the window, such as 0.2. */
  readonly ratio: number;
  /** Additional retries in a window, over all VMs. */
  readonly extra: number;
  readonly windowMs: number;
}

/** What a VM may still retry, in retries. */
export interface RetryCredit {
  /** What its recent requests pay for. */
  readonly earned: number;
  /** What is left of its share of the additional retries. */
  readonly extra: number;
  /** VMs that share the additional retries. */
  readonly senders: number;
}

/** Options of {@link RetryBudget}. */
export interface RetryBudgetContext {
  /** Monotonic time at which the process started, in milliseconds. */
  readonly startedAt?: number;
  /** Gives numbers from 0 up to 1. */
  readonly random?: () => number;
}

/** Whether a retry is allowed. */
export interface RetryDecision {
  readonly isAllowed: boolean;
  /** Credit on which this was decided. */
  readonly credit: RetryCredit;
}

/** Share of the limit that is credited. */
const CREDITED_SHARE = 0.65;
/**
 * Time for which a credit may be used, as a share of the window. The retries of a
 * window are paid by credits of the window and of this time before it.
 */
const CREDIT_LIFETIME = 0.4;

/** The credit of a request. */
interface Deposit {
  readonly at: number;
  /** Part of it that isn't used, from 0 to 1. */
  left: number;
}

/** Credits for one service. */
interface Account {
  readonly deposits: Deposit[];
  extra: number;
  /** Monotonic time up to which `extra` has grown. */
  extraAt: number;
}

/**
 * Limits retries to prevent retry storms: failing endpoints get the failed requests
 * again and degrade further. The symptom is far more requests at endpoints than
 * callers sent.
 *
 * A token bucket without coordination: each request credits a part of a retry, and
 * time credits the VM's share of the additional ones. A credit is used once and ends
 * soon, so that the retries of all VMs stay within the limit also when callers move
 * to other VMs, or VMs restart: a process starts without credits.
 *
 * Where many VMs share a small limit, each has less than one retry. A credit below one
 * is used with that probability, so that all VMs together use what they have.
 *
 * @example
 * ```ts
 * budget.recordRequest("bookings", now);
 * const { isAllowed } = budget.takeRetry("bookings", now, senders);
 * ```
 */
export class RetryBudget {
  #options: RetryBudgetOptions;
  readonly #startedAt: number;
  readonly #random: () => number;
  readonly #accounts = new Map<ServiceId, Account>();

  /** @param options The operator's limit. @param context Time and chance. */
  constructor(options: RetryBudgetOptions, context: RetryBudgetContext = {}) {
    this.#options = options;
    this.#startedAt = context.startedAt ?? performance.now();
    this.#random = context.random ?? Math.random;
  }

  /** Replaces the limit, also for requests that were recorded before. */
  setOptions(options: RetryBudgetOptions): void {
    this.#options = options;
  }

  /** Records a caller's request for a service. */
  recordRequest(service: ServiceId, now: number): void {
    this.#getAccount(service).deposits.push({ at: now, left: 1 });
  }

  /** Decides on a retry, and uses the credit for it. */
  takeRetry(service: ServiceId, now: number, senders: number): RetryDecision {
    const credit = this.getCredit(service, now, senders);
    const isAllowed = this.#random() < credit.earned + credit.extra;
    // A credit below one is also used up by a refusal.
    useCredit(this.#getAccount(service), this.#creditPerRequest);
    return { isAllowed, credit };
  }

  /** Whether a retry may be allowed. */
  mayRetry(service: ServiceId, now: number, senders: number): boolean {
    const { earned, extra } = this.getCredit(service, now, senders);
    return earned + extra > 0;
  }

  /** Returns the credits that may be used now. */
  getCredit(service: ServiceId, now: number, senders: number): RetryCredit {
    const { deposits, extra } = this.#updateAccount(service, now, senders);
    const left = deposits.reduce((sum, deposit) => sum + deposit.left, 0);
    return { earned: left * this.#creditPerRequest, extra, senders };
  }

  get #creditPerRequest(): number {
    return CREDITED_SHARE * this.#options.ratio;
  }

  #getAccount(service: ServiceId): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const account = { deposits: [], extra: 0, extraAt: this.#startedAt };
    this.#accounts.set(service, account);
    return account;
  }

  /** Adds what time credits, and drops credits that have ended. */
  #updateAccount(service: ServiceId, now: number, senders: number): Account {
    const { extra, windowMs } = this.#options;
    const account = this.#getAccount(service);
    const lifetimeMs = CREDIT_LIFETIME * windowMs;
    dropEnded(account.deposits, now - lifetimeMs);
    const perMs = CREDITED_SHARE * extra / Math.max(1, senders) / windowMs;
    const grown = account.extra + perMs * (now - account.extraAt);
    account.extra = Math.min(grown, perMs * lifetimeMs);
    account.extraAt = now;
    return account;
  }
}

/** Uses up to one retry, first of the credits that end first. */
function useCredit(account: Account, creditPerRequest: number): void {
  let due = 1;
  for (const deposit of account.deposits) {
    const credit = deposit.left * creditPerRequest;
    const used = Math.min(due, credit);
    if (used > 0) deposit.left *= 1 - used / credit;
    due -= used;
  }
  account.extra = Math.max(0, account.extra - due);
}

function dropEnded(deposits: Deposit[], oldest: number): void {
  const keep = deposits.findIndex(({ at, left }) => at > oldest && left > 0);
  deposits.splice(0, keep === -1 ? deposits.length : keep);
}
