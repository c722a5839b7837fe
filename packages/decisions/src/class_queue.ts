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
    this.#byStart.push({ lane, key: item.latestStart });
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
    };
    this.#lanes.set(customer, lane);
    return lane;
  }

  /** Every waiting lane has a key at or before its first item's. */
  #findEarliest(): Lane | undefined {
    for (;;) {
      const top = this.#byStart.peek();
      if (!top) return undefined;
      dropStale(top.lane);
      const start = top.lane.items.peek()?.latestStart;
      if (start === top.key) return top.lane;
      this.#byStart.pop();
      if (start !== undefined) {
        this.#byStart.push({ lane: top.lane, key: start });
      }
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

function dropStale(lane: Lane): void {
  for (;;) {
    const item = lane.items.peek();
    if (!item || isWaiting(item)) return;
    lane.items.pop();
  }
}
