/**
 * Queue of a pool over all request classes.
 *
 * @module
 */
import {
  type CustomerId,
  REQUEST_CLASS,
  type RequestClass,
} from "@sardinestep/types";
import { ClassQueue, type QueueItem } from "./class_queue.ts";
import type { TrackedRequest } from "./tracked.ts";

/**
 * Share of a pool's work that a waiting less urgent class gets even under
 * continuous more urgent load. Lookups are quick and read by people at the gate;
 * drafts may wait, but a draft that never arrives also stops a truck.
 */
export const GUARANTEED_SHARE: Readonly<Record<RequestClass, number>> = {
  single: 0,
  lookup: 0.2,
  draft: 0.1,
};

const LESS_URGENT_CLASSES: Readonly<
  Record<RequestClass, readonly RequestClass[]>
> = {
  single: [REQUEST_CLASS.lookup, REQUEST_CLASS.draft],
  lookup: [REQUEST_CLASS.draft],
  draft: [],
};
const CLASSES_BY_URGENCY = [
  REQUEST_CLASS.single,
  REQUEST_CLASS.lookup,
  REQUEST_CLASS.draft,
] as const;

/**
 * Priority queue of a pool: single before lookup before draft.
 *
 * In a full pool, a ticket that is not issued stops a truck while a late draft
 * does not. Classes are therefore served in strict order, except for the
 * guaranteed share that protects less urgent classes from starvation.
 */
export class StageQueue {
  readonly #classes: Readonly<Record<RequestClass, ClassQueue>> = {
    single: new ClassQueue(),
    lookup: new ClassQueue(),
    draft: new ClassQueue(),
  };
  /** Work that a waiting class may run ahead of more urgent classes. */
  readonly #creditMs: Record<RequestClass, number> = {
    single: 0,
    lookup: 0,
    draft: 0,
  };

  /** Number of waiting requests. */
  get length(): number {
    const { single, lookup, draft } = this.#classes;
    return single.length + lookup.length + draft.length;
  }

  /** Returns the number of waiting requests of a class. */
  getLength(requestClass: RequestClass): number {
    return this.#classes[requestClass].length;
  }

  /** Returns the number of waiting requests of a customer. */
  getCustomerLength(customer: CustomerId): number {
    return CLASSES_BY_URGENCY.reduce(
      (sum, queuedClass) =>
        sum + this.#classes[queuedClass].getCustomerLength(customer),
      0,
    );
  }

  /** Adds a request; `weight` is the weight of its customer. */
  push(item: QueueItem, weight: number): void {
    this.#classes[item.request.facts.requestClass].push(item, weight);
  }

  /** Removes a request that will not be served from the queue. */
  remove(request: TrackedRequest): void {
    request.isQueued = false;
    const { requestClass, customer } = request.facts;
    this.#classes[requestClass].recordRemoval(customer);
  }

  /** Removes and returns the next request; {@link recordServed} charges it. */
  pop(): QueueItem | undefined {
    const requestClass = this.#pickClass();
    if (!requestClass) return undefined;
    const item = this.#classes[requestClass].pop();
    if (!item) return undefined;
    item.request.isQueued = false;
    return item;
  }

  /** Charges a request that is served to its customer and its class. */
  recordServed(item: QueueItem): void {
    const { requestClass } = item.request.facts;
    this.#classes[requestClass].recordServed(item);
    this.#updateCredits(requestClass, item.workMs);
  }

  #pickClass(): RequestClass | undefined {
    const waitingClasses = CLASSES_BY_URGENCY.filter((queuedClass) =>
      this.#classes[queuedClass].length > 0
    );
    const entitledClass = waitingClasses.find((queuedClass) =>
      this.#creditMs[queuedClass] > 0
    );
    return entitledClass ?? waitingClasses[0];
  }

  #updateCredits(requestClass: RequestClass, workMs: number): void {
    for (const lessUrgent of LESS_URGENT_CLASSES[requestClass]) {
      const share = GUARANTEED_SHARE[lessUrgent];
      const isWaiting = this.#classes[lessUrgent].length > 0;
      const earnedMs = isWaiting ? workMs * share / (1 - share) : 0;
      this.#creditMs[lessUrgent] += earnedMs;
    }
    const isMoreUrgentWaiting = CLASSES_BY_URGENCY.some((queuedClass) =>
      LESS_URGENT_CLASSES[queuedClass].includes(requestClass) &&
      this.#classes[queuedClass].length > 0
    );
    if (isMoreUrgentWaiting) this.#creditMs[requestClass] -= workMs;
    if (this.#classes[requestClass].length === 0) {
      this.#creditMs[requestClass] = 0;
    }
  }
}
