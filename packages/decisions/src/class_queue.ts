/**
 * Queue of one request class in one pool: ordered by latest start within the
 * customers' weighted fair shares.
 *
 * @module
 */
import type { CustomerId } from "@sardinestep/types";
import { Heap } from "heap-js";
import type { TrackedRequest } from "./tracked.ts";

/**
 * Work by which a customer may exceed its share before shares take precedence
 * over deadlines, as a multiple of the mean work per call. A smaller value lets
 * deadlines count less, a larger one lets a burst run longer at the expense of
 * other customers.
 */
const MAX_LEAD_CALLS = 4;
/** Weight of a new call in the moving average of the work per call. */
const SMOOTHING_FACTOR = 0.05;

/** A waiting request. */
export interface QueueItem {
  readonly request: TrackedRequest;
  readonly token: number;
  /** Latest time at which its stage can start and still meet the deadline. */
  readonly latestStart: number;
  readonly workMs: number;
}

interface CustomerQueue {
  readonly customer: CustomerId;
  weight: number;
  readonly items: Heap<QueueItem>;
  waiting: number;
  /** Work served so far, divided by weight. */
  served: number;
  /** Whether it has an entry in the heap by served work. */
  isInHeap: boolean;
  /** Key of its current entry in the heap by latest start; infinite if none. */
  latestStartKey: number;
}

interface HeapEntry {
  readonly queue: CustomerQueue;
  readonly key: number;
}

const compareItems = (a: QueueItem, b: QueueItem) =>
  a.latestStart - b.latestStart;
const compareKeys = (a: HeapEntry, b: HeapEntry) => a.key - b.key;

/** Returns whether an item still waits; stale items are dropped when popped. */
function isWaiting(item: QueueItem): boolean {
  return item.request.isQueued && item.request.queueToken === item.token;
}

/**
 * Weighted fair queue of one request class.
 *
 * Without fair shares, a burst of a large customer with early deadlines would
 * delay all other customers. Only customers with waiting requests are compared,
 * so unused shares go to the others. They cannot be saved up either: a customer
 * that returns starts at the current virtual time.
 */
export class ClassQueue {
  readonly #queues = new Map<CustomerId, CustomerQueue>();
  readonly #byLatestStart = new Heap<HeapEntry>(compareKeys);
  readonly #byServed = new Heap<HeapEntry>(compareKeys);
  /** Virtual time: the served work at which returning customers start. */
  #vtime = 0;
  #meanWorkMs = 0;
  #length = 0;

  /** Number of waiting requests. */
  get length(): number {
    return this.#length;
  }

  /** Returns the number of waiting requests of a customer. */
  getCustomerLength(customer: CustomerId): number {
    return this.#queues.get(customer)?.waiting ?? 0;
  }

  /** Adds a request; `weight` is the weight of its customer. */
  push(item: QueueItem, weight: number): void {
    const queue = this.#getCustomerQueue(item.request.facts.customer);
    queue.weight = weight;
    if (queue.waiting === 0) queue.served = Math.max(queue.served, this.#vtime);
    queue.items.push(item);
    queue.waiting += 1;
    this.#length += 1;
    if (item.latestStart < queue.latestStartKey) {
      this.#pushStart(queue, item.latestStart);
    }
    if (!queue.isInHeap) {
      queue.isInHeap = true;
      this.#byServed.push({ queue, key: queue.served });
    }
  }

  /** Updates the counts for a request whose queue item was made stale. */
  recordRemoval(customer: CustomerId): void {
    const queue = this.#queues.get(customer);
    if (!queue) return;
    queue.waiting -= 1;
    this.#length -= 1;
  }

  /** Removes and returns the next request; {@link recordServed} charges it. */
  pop(): QueueItem | undefined {
    const first = this.#findEarliestStart();
    if (!first) return undefined;
    const leastServed = this.#findLeastServed() ?? first;
    const lead = first.served - leastServed.served;
    const isFair = lead <= MAX_LEAD_CALLS * this.#meanWorkMs;
    return this.#popFrom(isFair ? first : leastServed);
  }

  /** Charges a request that is served to its customer's share. */
  recordServed(item: QueueItem): void {
    const difference = item.workMs - this.#meanWorkMs;
    this.#meanWorkMs += this.#meanWorkMs === 0
      ? difference
      : SMOOTHING_FACTOR * difference;
    const queue = this.#queues.get(item.request.facts.customer);
    if (queue) queue.served += item.workMs / queue.weight;
  }

  #popFrom(queue: CustomerQueue): QueueItem | undefined {
    dropStale(queue);
    const item = queue.items.pop();
    if (!item) return undefined;
    queue.waiting -= 1;
    this.#length -= 1;
    this.#vtime = Math.max(
      this.#vtime,
      this.#findLeastServed()?.served ?? 0,
    );
    return item;
  }

  #getCustomerQueue(customer: CustomerId): CustomerQueue {
    const existing = this.#queues.get(customer);
    if (existing) return existing;
    const queue: CustomerQueue = {
      customer,
      weight: 1,
      items: new Heap(compareItems),
      waiting: 0,
      served: 0,
      isInHeap: false,
      latestStartKey: Infinity,
    };
    this.#queues.set(customer, queue);
    return queue;
  }

  #pushStart(queue: CustomerQueue, key: number): void {
    queue.latestStartKey = key;
    this.#byLatestStart.push({ queue, key });
  }

  /**
   * Every waiting queue has an entry in the heap at or before its first item.
   * An entry that was replaced by an earlier one is dropped: pushing it again
   * would let the heap grow with every request.
   */
  #findEarliestStart(): CustomerQueue | undefined {
    for (;;) {
      const top = this.#byLatestStart.peek();
      if (!top) return undefined;
      const { queue, key } = top;
      const isCurrent = key === queue.latestStartKey;
      const start = isCurrent ? getFirstLatestStart(queue) : Infinity;
      if (isCurrent && start === key) return queue;
      this.#byLatestStart.pop();
      if (!isCurrent) continue;
      queue.latestStartKey = Infinity;
      if (start !== Infinity) this.#pushStart(queue, start);
    }
  }

  /** Every waiting queue has one heap entry, at or before its served work. */
  #findLeastServed(): CustomerQueue | undefined {
    for (;;) {
      const top = this.#byServed.peek();
      if (!top) return undefined;
      const { queue, key } = top;
      if (queue.waiting > 0 && queue.served === key) return queue;
      this.#byServed.pop();
      queue.isInHeap = queue.waiting > 0;
      if (queue.isInHeap) this.#byServed.push({ queue, key: queue.served });
      else if (queue.served <= this.#vtime) this.#queues.delete(queue.customer);
    }
  }
}

/** Returns the latest start of the first item, infinite if there is none. */
function getFirstLatestStart(queue: CustomerQueue): number {
  dropStale(queue);
  return queue.items.peek()?.latestStart ?? Infinity;
}

function dropStale(queue: CustomerQueue): void {
  for (;;) {
    const item = queue.items.peek();
    if (!item || isWaiting(item)) return;
    queue.items.pop();
  }
}
