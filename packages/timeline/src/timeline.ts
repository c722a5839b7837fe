/**
 * Bounded ring buffer of the events of one process.
 *
 * @module
 */
import type { InstanceId, VmId } from "@sardinestep/types";
import type { EventSubject, TimelineEvent, TimelineFilter } from "./event.ts";
import type { HybridClock } from "./hybrid_clock.ts";

/** Clock, identity and capacity of a {@link Timeline}. */
export interface TimelineOptions {
  readonly clock: HybridClock;
  readonly process: TimelineEvent["process"];
  readonly vmId: VmId;
  readonly instance: InstanceId;
  /** Maximum events kept; the oldest are dropped first. */
  readonly capacity: number;
}

/**
 * Keeps the newest events of a process in memory.
 *
 * @example
 * ```ts
 * timeline.record("claim_won", { key }, { offset: 17 });
 * timeline.find({ key });
 * ```
 */
export class Timeline {
  readonly #options: TimelineOptions;
  readonly #ring: TimelineEvent[] = [];
  /** Index of the next write, and of the oldest event once the ring is full. */
  #nextIndex = 0;
  #recorded = 0;

  /** @param options Clock, identity and capacity. */
  constructor(options: TimelineOptions) {
    if (!Number.isInteger(options.capacity) || options.capacity < 1) {
      throw new RangeError(
        `Cannot keep "${options.capacity}" events: expected an integer above 0`,
      );
    }
    this.#options = options;
  }

  /** Number of events dropped because the ring was full. */
  get droppedCount(): number {
    return this.#recorded - this.#ring.length;
  }

  /** Number of events currently kept. */
  get size(): number {
    return this.#ring.length;
  }

  /**
   * Records an event; its time is later than all times observed by the clock.
   *
   * @param name Event name, such as `endpoint_cold`.
   * @param subject Things that the event concerns, used to find it.
   * @param detail Small plain values, for display.
   */
  record(
    name: string,
    subject: EventSubject,
    detail: TimelineEvent["detail"] = {},
  ): void {
    const { clock, process, vmId, instance, capacity } = this.#options;
    const time = clock.next();
    this.#ring[this.#nextIndex] = {
      time,
      process,
      vmId,
      instance,
      name,
      subject,
      detail,
    };
    this.#nextIndex = this.#nextIndex + 1 === capacity
      ? 0
      : this.#nextIndex + 1;
    this.#recorded += 1;
  }

  /**
   * Finds events, oldest first.
   *
   * @param filter Fields that must all match; with `limit`, returns the newest.
   */
  find(filter: TimelineFilter = {}): TimelineEvent[] {
    const limit = filter.limit ?? Infinity;
    const found: TimelineEvent[] = [];
    for (let age = 1; age <= this.#ring.length; age += 1) {
      if (found.length >= limit) break;
      const event = this.#getByAge(age);
      if (isMatchingEvent(event, filter)) found.push(event);
    }
    return found.reverse();
  }

  /** Returns the newest event for age 1, the one before it for age 2. */
  #getByAge(age: number): TimelineEvent {
    const count = this.#ring.length;
    return this.#ring[(this.#nextIndex - age + count) % count] as TimelineEvent;
  }
}

/**
 * Returns whether an event matches a filter.
 *
 * A queried process of an older version may ignore filter fields, so readers
 * can filter its events again.
 *
 * @param event The event.
 * @param filter Fields that must all match; `limit` is ignored.
 * @example
 * ```ts
 * events.filter((event) => isMatchingEvent(event, { zone: "a" }));
 * ```
 */
export function isMatchingEvent(
  event: TimelineEvent,
  filter: TimelineFilter,
): boolean {
  const { subject, time } = event;
  if (filter.fromMs !== undefined && time.wallMs < filter.fromMs) return false;
  if (filter.untilMs !== undefined && time.wallMs > filter.untilMs) {
    return false;
  }
  return isUnsetOrEqual(filter.key, subject.key) &&
    isUnsetOrEqual(filter.requestId, subject.requestId) &&
    isUnsetOrEqual(filter.endpointId, subject.endpointId) &&
    isUnsetOrEqual(filter.zone, subject.zone);
}

function isUnsetOrEqual(
  wanted: string | undefined,
  actual: string | undefined,
) {
  return wanted === undefined || wanted === actual;
}
