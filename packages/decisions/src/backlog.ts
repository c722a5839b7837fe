/**
 * Work that admitted requests will still bring to one pool.
 *
 * It counts stages that wait or run here and also those whose request is still
 * in an earlier stage: so a pool late in the pipeline that has become the
 * bottleneck is seen at the door, before early stages are wasted on requests
 * that can't be finished.
 *
 * @module
 */
import {
  type CustomerId,
  REQUEST_CLASS,
  type RequestClass,
} from "@sardinestep/types";

/**
 * Width of the steps in which deadlines are told apart: fine beside deadlines
 * of seconds, and few enough to add up for each arrival.
 */
const STEP_MS = 250;
/** What rounding leaves over is nothing. */
const EPSILON_MS = 1e-6;

/** One stage of one request. */
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
  /** The weight with which it was added to the sum of active weights. */
  readonly weight: number;
}

/** Work ahead in one pool. */
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

  /** Adds a stage that will come or has come. */
  add(item: BacklogItem): void {
    const work = this.#classes[item.requestClass];
    const step = Math.floor(item.deadlineAt / STEP_MS);
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

  /** Removes a stage that has finished or will not come. */
  remove(item: BacklogItem): void {
    const work = this.#classes[item.requestClass];
    const step = Math.floor(item.deadlineAt / STEP_MS);
    work.totalMs = Math.max(0, work.totalMs - item.workMs);
    const rest = (work.byDeadline.get(step) ?? 0) - item.workMs;
    if (rest > EPSILON_MS) work.byDeadline.set(step, rest);
    else work.byDeadline.delete(step);
    this.#removeOfCustomer(item);
  }

  /** Work in milliseconds that goes before a request of a class and deadline. */
  getAhead(requestClass: RequestClass, deadlineAt: number): number {
    let ahead = this.getOwnClassAhead(requestClass, deadlineAt);
    if (requestClass === REQUEST_CLASS.single) return ahead;
    ahead += this.#classes.single.totalMs;
    if (requestClass === REQUEST_CLASS.lookup) return ahead;
    return ahead + this.#classes.lookup.totalMs;
  }

  /** The part of {@link getAhead} that is of the same class. */
  getOwnClassAhead(requestClass: RequestClass, deadlineAt: number): number {
    const last = Math.floor(deadlineAt / STEP_MS);
    let ahead = 0;
    for (const [step, workMs] of this.#classes[requestClass].byDeadline) {
      if (step <= last) ahead += workMs;
    }
    return ahead;
  }

  /** Work of one customer in milliseconds. */
  getOfCustomer(customer: CustomerId): number {
    return this.#customers.get(customer)?.totalMs ?? 0;
  }

  /** A customer's share of the pool among those that have work here now. */
  getShare(customer: CustomerId): number {
    const known = this.#customers.get(customer);
    const weight = known?.weight ?? this.#getWeight(customer);
    const others = this.#activeWeight - (known?.weight ?? 0);
    return weight / (weight + Math.max(0, others));
  }

  #removeOfCustomer(item: BacklogItem): void {
    const customer = this.#customers.get(item.customer);
    if (!customer) return;
    customer.totalMs -= item.workMs;
    if (customer.totalMs > EPSILON_MS) return;
    this.#customers.delete(item.customer);
    this.#activeWeight -= customer.weight;
    if (this.#customers.size === 0) this.#activeWeight = 0;
  }
}
