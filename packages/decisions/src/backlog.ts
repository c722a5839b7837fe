/**
 * Outstanding work of admitted requests in one pool.
 *
 * It includes stages that wait or run in the pool and those whose request is
 * still in an earlier stage. Admission thus detects a bottleneck late in the
 * pipeline before early stages are wasted on requests that cannot finish.
 *
 * @module
 */
import {
  type CustomerId,
  REQUEST_CLASS,
  type RequestClass,
} from "@sardinestep/types";

/**
 * Width of the buckets by which deadlines are grouped: fine compared with
 * deadlines of seconds, and few enough buckets to add up at each arrival.
 */
const DEADLINE_STEP_MS = 250;
/** Smaller remainders are rounding errors and count as zero. */
const EPSILON_MS = 1e-6;

/** The work of one stage of one request. */
export interface BacklogItem {
  readonly requestClass: RequestClass;
  readonly customer: CustomerId;
  readonly deadlineAt: number;
  readonly workMs: number;
}

interface ClassWork {
  totalMs: number;
  readonly byDeadline: Map<number, number>;
}

interface CustomerWork {
  totalMs: number;
  /** Weight that was added to the sum of active weights. */
  readonly weight: number;
}

/** Outstanding work in one pool by class, deadline and customer. */
export class Backlog {
  readonly #classes: Record<RequestClass, ClassWork> = {
    single: { totalMs: 0, byDeadline: new Map() },
    lookup: { totalMs: 0, byDeadline: new Map() },
    draft: { totalMs: 0, byDeadline: new Map() },
  };
  readonly #customers = new Map<CustomerId, CustomerWork>();
  readonly #getWeight: (customer: CustomerId) => number;
  #activeWeight = 0;

  constructor(getWeight: (customer: CustomerId) => number) {
    this.#getWeight = getWeight;
  }

  /** Adds a stage of an admitted request. */
  add(item: BacklogItem): void {
    const work = this.#classes[item.requestClass];
    const step = Math.floor(item.deadlineAt / DEADLINE_STEP_MS);
    work.totalMs += item.workMs;
    work.byDeadline.set(step, (work.byDeadline.get(step) ?? 0) + item.workMs);
    const customer = this.#customers.get(item.customer);
    if (customer) {
      customer.totalMs += item.workMs;
      return;
    }
    const weight = this.#getWeight(item.customer);
    this.#customers.set(item.customer, { totalMs: item.workMs, weight });
    this.#activeWeight += weight;
  }

  /** Removes a stage that has finished or will not run. */
  remove(item: BacklogItem): void {
    const work = this.#classes[item.requestClass];
    const step = Math.floor(item.deadlineAt / DEADLINE_STEP_MS);
    work.totalMs = Math.max(0, work.totalMs - item.workMs);
    const remainingMs = (work.byDeadline.get(step) ?? 0) - item.workMs;
    if (remainingMs > EPSILON_MS) work.byDeadline.set(step, remainingMs);
    else work.byDeadline.delete(step);
    this.#removeCustomerWork(item);
  }

  /** Returns the work in milliseconds served before a class and deadline. */
  getWorkAheadMs(requestClass: RequestClass, deadlineAt: number): number {
    let aheadMs = this.getClassWorkAheadMs(requestClass, deadlineAt);
    if (requestClass === REQUEST_CLASS.single) return aheadMs;
    aheadMs += this.#classes.single.totalMs;
    if (requestClass === REQUEST_CLASS.lookup) return aheadMs;
    return aheadMs + this.#classes.lookup.totalMs;
  }

  /** Returns the part of {@link getWorkAheadMs} that is of the same class. */
  getClassWorkAheadMs(requestClass: RequestClass, deadlineAt: number): number {
    const lastStep = Math.floor(deadlineAt / DEADLINE_STEP_MS);
    let aheadMs = 0;
    for (const [step, workMs] of this.#classes[requestClass].byDeadline) {
      if (step <= lastStep) aheadMs += workMs;
    }
    return aheadMs;
  }

  /** Returns the work of one customer in milliseconds. */
  getCustomerWorkMs(customer: CustomerId): number {
    return this.#customers.get(customer)?.totalMs ?? 0;
  }

  /** Returns a customer's share of the pool among customers with work in it. */
  getCustomerShare(customer: CustomerId): number {
    const existing = this.#customers.get(customer);
    const weight = existing?.weight ?? this.#getWeight(customer);
    const others = this.#activeWeight - (existing?.weight ?? 0);
    return weight / (weight + Math.max(0, others));
  }

  #removeCustomerWork(item: BacklogItem): void {
    const customer = this.#customers.get(item.customer);
    if (!customer) return;
    customer.totalMs -= item.workMs;
    if (customer.totalMs > EPSILON_MS) return;
    this.#customers.delete(item.customer);
    this.#activeWeight -= customer.weight;
    if (this.#customers.size === 0) this.#activeWeight = 0;
  }
}
