/**
 * Requests of one class that wait for one pool: earliest latest-start first,
 * inside customers' weighted fair shares.
 *
 * @module
 */
import type { CustomerId } from "@sardinestep/types";
import { Heap } from "heap-js";
import type { TrackedRequest } from "./tracked.ts";

/**
 * A customer may be ahead of its share by the work of so many calls before
 * shares go before deadlines. A smaller number lets deadlines count for less, a
 * larger one lets a burst run longer at the cost of others.
 */
const MAX_LEAD_CALLS = 4;
/** Weight of a new call in the mean work of a call. */
const SMOOTHING = 0.05;

/** A request that waits. */
export interface QueueItem {
  readonly request: TrackedRequest;
  readonly token: number;
  /** The last moment at which its stage can start and still be in time. */
  readonly latestStart: number;
  readonly workMs: number;
}

interface Lane {
  readonly customer: CustomerId;
  weight: number;
  readonly items: Heap<QueueItem>;
  waiting: number;
  /** Work served so far, divided by weight. */
  served: number;
  isListed: boolean;
  /** Key under which it stands in the order of starts. */
  listedStart: number;
}

interface LaneKey {
  readonly lane: Lane;
  readonly key: number;
}

const compareItems = (a: QueueItem, b: QueueItem) =>
  a.latestStart - b.latestStart;
const compareKeys = (a: LaneKey, b: LaneKey) => a.key - b.key;

/** Whether an item still waits; the others are dropped when they come up. */
function isWaiting(item: QueueItem): boolean {
  return item.request.isQueued && item.request.queueToken === item.token;
}

/**
 * Waiting requests of one class.
 *
 * Made for bursts of a large customer: without shares its requests with early
 * deadlines would hold all others back. Unused shares are lent out, since only
 * customers that wait are looked at, and nobody saves up for later: a customer
 * that comes back starts at the present level.
 */
export class ClassQueue {
  readonly #lanes = new Map<CustomerId, Lane>();
  readonly #byStart = new Heap<LaneKey>(compareKeys);
  readonly #byServed = new Heap<LaneKey>(compareKeys);
  #level = 0;
  #meanWorkMs = 0;
  #length = 0;

  /** Requests that wait. */
  get length(): number {
    return this.#length;
  }

  /** Requests of one customer that wait. */
  getLengthOf(customer: CustomerId): number {
    return this.#lanes.get(customer)?.waiting ?? 0;
  }

  /** Adds a request of a customer of the given weight. */
  push(item: QueueItem, weight: number): void {
    const lane = this.#getLane(item.request.facts.customer);
    lane.weight = weight;
    if (lane.waiting === 0) lane.served = Math.max(lane.served, this.#level);
    lane.items.push(item);
    lane.waiting += 1;
    this.#length += 1;
    if (item.latestStart < lane.listedStart) {
      this.#listStart(lane, item.latestStart);
    }
    if (!lane.isListed) {
      lane.isListed = true;
      this.#byServed.push({ lane, key: lane.served });
    }
  }

  /** Counts a request out that was taken from the queue by its token. */
  countRemoved(customer: CustomerId): void {
    const lane = this.#lanes.get(customer);
    if (!lane) return;
    lane.waiting -= 1;
    this.#length -= 1;
  }

  /** Takes the request that goes next. */
  pop(): QueueItem | undefined {
    const first = this.#findEarliest();
    if (!first) return undefined;
    const poorest = this.#findLeastServed() ?? first;
    const lead = first.served - poorest.served;
    const isFair = lead <= MAX_LEAD_CALLS * this.#meanWorkMs;
    return this.#takeFrom(isFair ? first : poorest);
  }

  #takeFrom(lane: Lane): QueueItem | undefined {
    dropStale(lane);
    const item = lane.items.pop();
    if (!item) return undefined;
    lane.waiting -= 1;
    this.#length -= 1;
    this.#level = Math.max(this.#level, this.#findLeastServed()?.served ?? 0);
    lane.served += item.workMs / lane.weight;
    const gap = item.workMs - this.#meanWorkMs;
    this.#meanWorkMs += this.#meanWorkMs === 0 ? gap : SMOOTHING * gap;
    if (lane.waiting === 0 && lane.served <= this.#level && !lane.isListed) {
      this.#lanes.delete(lane.customer);
    }
    return item;
  }

  #getLane(customer: CustomerId): Lane {
    const known = this.#lanes.get(customer);
    if (known) return known;
    const lane: Lane = {
      customer,
      weight: 1,
      items: new Heap(compareItems),
      waiting: 0,
      served: 0,
      isListed: false,
      listedStart: Infinity,
    };
    this.#lanes.set(customer, lane);
    return lane;
  }

  #listStart(lane: Lane, key: number): void {
    lane.listedStart = key;
    this.#byStart.push({ lane, key });
  }

  /**
   * Every waiting lane is listed at or before its first item. A listing that
   * an earlier one has replaced is dropped: listing it again would let the
   * heap grow with every request.
   */
  #findEarliest(): Lane | undefined {
    for (;;) {
      const top = this.#byStart.peek();
      if (!top) return undefined;
      const { lane, key } = top;
      const isCurrent = key === lane.listedStart;
      const start = isCurrent ? getFirstStart(lane) : Infinity;
      if (isCurrent && start === key) return lane;
      this.#byStart.pop();
      if (!isCurrent) continue;
      lane.listedStart = Infinity;
      if (start !== Infinity) this.#listStart(lane, start);
    }
  }

  /** Every waiting lane is listed once, at or before its level. */
  #findLeastServed(): Lane | undefined {
    for (;;) {
      const top = this.#byServed.peek();
      if (!top) return undefined;
      const { lane, key } = top;
      if (lane.waiting > 0 && lane.served === key) return lane;
      this.#byServed.pop();
      lane.isListed = lane.waiting > 0;
      if (lane.isListed) this.#byServed.push({ lane, key: lane.served });
      else if (lane.served <= this.#level) this.#lanes.delete(lane.customer);
    }
  }
}

/** Latest start of a lane's first item, infinite without any. */
function getFirstStart(lane: Lane): number {
  dropStale(lane);
  return lane.items.peek()?.latestStart ?? Infinity;
}

function dropStale(lane: Lane): void {
  for (;;) {
    const item = lane.items.peek();
    if (!item || isWaiting(item)) return;
    lane.items.pop();
  }
}
