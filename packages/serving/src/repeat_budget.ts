/**
 * How many sends beyond the first of each request one VM may make.
 *
 * @module
 */
import type { ServiceId } from "@sardinestep/types";

/** The operator's bound, over all VMs. */
export interface RepeatBudgetOptions {
  /** Repeats for each request of the window, such as 0.2. */
  readonly ratio: number;
  /** Repeats beyond that in a window, over all VMs. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Share of the VM's part that it uses: the platform counts requests where they
 * are sent and repeats where they arrive, so a window seen here can differ by
 * some requests from the one that is counted.
 */
const USED_SHARE = 0.8;

/**
 * Guards against a repeat storm: endpoints that fail get the failed requests
 * again and sink further. It shows as arrivals far above the callers' requests.
 * The guard holds without any exchange, since each VM keeps to its own requests
 * and to its part of the extra, with members counted high.
 *
 * @example
 * ```ts
 * budget.recordRequest("bookings", now);
 * if (budget.mayRepeat("bookings", now, members)) budget.recordRepeat("bookings", now);
 * ```
 */
export class RepeatBudget {
  #options: RepeatBudgetOptions;
  readonly #services = new Map<
    ServiceId,
    { requests: number[]; repeats: number[] }
  >();

  /** @param options The operator's bound. */
  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
  }

  /** Takes another bound over; what was counted stays. */
  setBound(options: RepeatBudgetOptions): void {
    this.#options = options;
  }

  /** Notes a caller's request for a service. */
  recordRequest(service: ServiceId, now: number): void {
    this.#getWindow(service, now).requests.push(now);
  }

  /** Notes a send beyond the first. */
  recordRepeat(service: ServiceId, now: number): void {
    this.#getWindow(service, now).repeats.push(now);
  }

  /** Whether one more repeat stays within this VM's part. */
  mayRepeat(service: ServiceId, now: number, members: number): boolean {
    const window = this.#getWindow(service, now);
    const part = this.#options.extra / Math.max(1, members);
    const own = this.#options.ratio * window.requests.length;
    return window.repeats.length + 1 <= (part + own) * USED_SHARE;
  }

  #getWindow(service: ServiceId, now: number) {
    const window = this.#services.get(service) ?? { requests: [], repeats: [] };
    this.#services.set(service, window);
    dropOlder(window.requests, now - this.#options.windowMs);
    dropOlder(window.repeats, now - this.#options.windowMs);
    return window;
  }
}

function dropOlder(times: number[], oldest: number): void {
  const keep = times.findIndex((time) => time > oldest);
  times.splice(0, keep === -1 ? times.length : keep);
}
