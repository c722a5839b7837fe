/**
 * Requests that wait for one pool, of all classes.
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
 * Part of a pool's work that a less urgent class gets while it waits, also when
 * more urgent work never ends. Lookups are quick and read by people at the
 * gate; drafts may wait but a draft that never comes holds a truck as well.
 */
export const GUARANTEED_SHARE: Readonly<Record<RequestClass, number>> = {
  single: 0,
  lookup: 0.2,
  draft: 0.1,
};

const LESS_URGENT: Readonly<Record<RequestClass, readonly RequestClass[]>> = {
  single: [REQUEST_CLASS.lookup, REQUEST_CLASS.draft],
  lookup: [REQUEST_CLASS.draft],
  draft: [],
};
const BY_URGENCY = [
  REQUEST_CLASS.single,
  REQUEST_CLASS.lookup,
  REQUEST_CLASS.draft,
] as const;

/**
 * Waiting requests of a pool: single before lookup before draft.
 *
 * Made for a pool that is full. A ticket that is not issued stops a truck, a
 * late draft does not; so classes go strictly in order, but for the guaranteed
 * share that keeps the later ones from starving.
 */
export class StageQueue {
  readonly #classes: Readonly<Record<RequestClass, ClassQueue>> = {
    single: new ClassQueue(),
    lookup: new ClassQueue(),
    draft: new ClassQueue(),
  };
  /** Work that a waiting class may claim before more urgent ones. */
  readonly #creditMs: Record<RequestClass, number> = {
    single: 0,
    lookup: 0,
    draft: 0,
  };

  /** Requests that wait. */
  get length(): number {
    const { single, lookup, draft } = this.#classes;
    return single.length + lookup.length + draft.length;
  }

  /** Requests of one class that wait. */
  getLength(requestClass: RequestClass): number {
    return this.#classes[requestClass].length;
  }

  /** Requests of one customer that wait. */
  getLengthOf(customer: CustomerId): number {
    return BY_URGENCY.reduce(
      (sum, each) => sum + this.#classes[each].getLengthOf(customer),
      0,
    );
  }

  /** Adds a request of a customer of the given weight. */
  push(item: QueueItem, weight: number): void {
    this.#classes[item.request.facts.requestClass].push(item, weight);
  }

  /** Takes a request out of the queue without serving it. */
  remove(request: TrackedRequest): void {
    request.isQueued = false;
    const { requestClass, customer } = request.facts;
    this.#classes[requestClass].countRemoved(customer);
  }

  /** Takes the request that goes next; it is charged when it is served. */
  pop(): QueueItem | undefined {
    const requestClass = this.#pickClass();
    if (!requestClass) return undefined;
    const item = this.#classes[requestClass].pop();
    if (!item) return undefined;
    item.request.isQueued = false;
    return item;
  }

  /** Counts a request that is served to its customer and class. */
  charge(item: QueueItem): void {
    const { requestClass } = item.request.facts;
    this.#classes[requestClass].charge(item);
    this.#countServed(requestClass, item.workMs);
  }

  #pickClass(): RequestClass | undefined {
    const waiting = BY_URGENCY.filter((each) => this.#classes[each].length > 0);
    const claimant = waiting.find((each) => this.#creditMs[each] > 0);
    return claimant ?? waiting[0];
  }

  #countServed(requestClass: RequestClass, workMs: number): void {
    for (const other of LESS_URGENT[requestClass]) {
      const share = GUARANTEED_SHARE[other];
      const isWaiting = this.#classes[other].length > 0;
      const earned = isWaiting ? workMs * share / (1 - share) : 0;
      this.#creditMs[other] += earned;
    }
    const isPressed = BY_URGENCY.some((each) =>
      LESS_URGENT[each].includes(requestClass) && this.#classes[each].length > 0
    );
    if (isPressed) this.#creditMs[requestClass] -= workMs;
    if (this.#classes[requestClass].length === 0) {
      this.#creditMs[requestClass] = 0;
    }
  }
}
