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

/** What a VM has counted in the window, and its share of the budget. */
export interface RetryUsage {
  readonly requests: number;
  readonly retries: number;
  /** VMs that share the additional retries. */
  readonly senders: number;
  /** Retries that this VM may send in the window. */
  readonly allowed: number;
}

/**
 * Share of the VM's budget that it uses: the platform counts requests where they
 * are sent and retries where they arrive, so its window can differ from this one by
 * some requests.
 */
const USED_SHARE = 0.8;

/**
 * Limits retries to prevent retry storms: failing endpoints get the failed requests
 * again and degrade further. The symptom is far more requests at endpoints than
 * callers sent. No coordination is needed, since each VM counts its own requests
 * and divides the additional retries by the number of VMs that may send, alive or not.
 *
 * @example
 * ```ts
 * budget.recordRequest("bookings", now);
 * if (budget.mayRetry("bookings", now, senders)) budget.recordRetry("bookings", now);
 * ```
 */
export class RetryBudget {
  #options: RetryBudgetOptions;
  readonly #services = new Map<
    ServiceId,
    { requests: number[]; retries: number[] }
  >();

  /** @param options The operator's limit. */
  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  /** Replaces the limit; past requests stay counted. */
  setOptions(options: RetryBudgetOptions): void {
    this.#options = options;
  }

  /** Records a caller's request for a service. */
  recordRequest(service: ServiceId, now: number): void {
    this.#getWindow(service, now).requests.push(now);
  }

  /** Records a retry. */
  recordRetry(service: ServiceId, now: number): void {
    this.#getWindow(service, now).retries.push(now);
  }

  /** Whether another retry stays within this VM's budget. */
  mayRetry(service: ServiceId, now: number, senders: number): boolean {
    const { retries, allowed } = this.getUsage(service, now, senders);
    return retries + 1 <= allowed;
  }

  /** Returns what is counted in the window that ends now. */
  getUsage(service: ServiceId, now: number, senders: number): RetryUsage {
    const { requests, retries } = this.#getWindow(service, now);
    const extra = this.#options.extra / Math.max(1, senders);
    const base = this.#options.ratio * requests.length;
    return {
      requests: requests.length,
      retries: retries.length,
      senders,
      allowed: (extra + base) * USED_SHARE,
    };
  }

  #getWindow(service: ServiceId, now: number) {
    const window = this.#services.get(service) ?? { requests: [], retries: [] };
    this.#services.set(service, window);
    dropOlder(window.requests, now - this.#options.windowMs);
    dropOlder(window.retries, now - this.#options.windowMs);
    return window;
  }
}

function dropOlder(times: number[], oldest: number): void {
  const keep = times.findIndex((time) => time > oldest);
  times.splice(0, keep === -1 ? times.length : keep);
}
