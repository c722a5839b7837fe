/**
 * Bounded ring of the events of one process.
 *
 * @module
 */
import type { InstanceId, VmId } from "@sardinestep/types";
import type { EventSubject, TimelineEvent, TimelineFilter } from "./event.ts";
import type { HybridClock } from "./hybrid_clock.ts";

/** Who records, and how many events are kept. */
export interface TimelineOptions {
  readonly clock: HybridClock;
  readonly process: TimelineEvent["process"];
  readonly vmId: VmId;
  readonly instance: InstanceId;
  /** Events kept; the oldest is dropped first. */
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
  /** Place of the oldest event once the ring is full, and of the next write. */
  #head = 0;
  #recorded = 0;

  /** @param options Who records, and how many events are kept. */
  constructor(options: TimelineOptions) {
    if (!Number.isInteger(options.capacity) || options.capacity < 1) {
      throw new RangeError(
        `Cannot keep "${options.capacity}" events: expected an integer above 0`,
      );
    }
    this.#options = options;
  }

  /** Events that were dropped to make room. */
  get dropped(): number {
    return this.#recorded - this.#ring.length;
  }

  /** Events that are kept now. */
  get size(): number {
    return this.#ring.length;
  }

  /**
   * Notes an event; its time is after everything observed by the clock.
   *
   * @param name What happened, such as `endpoint_cold`.
   * @param subject What it is about; the time line is searched by it.
   * @param detail Small plain values for people.
   */
  record(
    name: string,
    subject: EventSubject,
    detail: TimelineEvent["detail"] = {},
  ): void {
    const { clock, process, vmId, instance, capacity } = this.#options;
    const time = clock.next();
    this.#ring[this.#head] = {
      time,
      process,
      vmId,
      instance,
      name,
      subject,
      detail,
    };
    this.#head = this.#head + 1 === capacity ? 0 : this.#head + 1;
    this.#recorded += 1;
  }

  /**
   * Finds kept events, oldest first.
   *
   * @param filter Fields that must all fit; with `limit`, the newest are given.
   */
  find(filter: TimelineFilter = {}): TimelineEvent[] {
    const limit = filter.limit ?? Infinity;
    const found: TimelineEvent[] = [];
    for (let age = 1; age <= this.#ring.length; age += 1) {
      if (found.length >= limit) break;
      const event = this.#getByAge(age);
      if (isMatch(event, filter)) found.push(event);
    }
    return found.reverse();
  }

  /** Gives the event recorded last for age 1, the one before for age 2. */
  #getByAge(age: number): TimelineEvent {
    const count = this.#ring.length;
    return this.#ring[(this.#head - age + count) % count] as TimelineEvent;
  }
}

/**
 * Tells whether an event fits a filter.
 *
 * A process that is asked may be of an older version and ignore fields, so
 * readers may check again what they got.
 *
 * @param event The event.
 * @param filter Fields that must all fit; `limit` is not looked at.
 * @example
 * ```ts
 * events.filter((event) => isMatch(event, { zone: "a" }));
 * ```
 */
export function isMatch(event: TimelineEvent, filter: TimelineFilter): boolean {
  const { subject, time } = event;
  if (filter.fromMs !== undefined && time.wallMs < filter.fromMs) return false;
  if (filter.untilMs !== undefined && time.wallMs > filter.untilMs) {
    return false;
  }
  return isSame(filter.key, subject.key) &&
    isSame(filter.requestId, subject.requestId) &&
    isSame(filter.endpointId, subject.endpointId) &&
    isSame(filter.zone, subject.zone);
}

function isSame(wanted: string | undefined, actual: string | undefined) {
  return wanted === undefined || wanted === actual;
}
