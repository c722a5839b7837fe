/**
 * One time line out of those of several processes.
 *
 * @module
 */
import type { TimelineEvent } from "./event.ts";
import { compareTimes } from "./hybrid_clock.ts";

/**
 * Merges events of several processes into one order.
 *
 * An event that was given by two processes (a neighbour answered for a dead
 * one) stands once. Equal times are ordered by VM, process and instance, so that
 * every reader sees the same order.
 *
 * @param lists Events by process, in any order.
 * @returns All events, oldest first.
 * @example
 * ```ts
 * mergeEvents([entryEvents, controlEvents]).map(formatEvent);
 * ```
 */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): TimelineEvent[] {
  const sorted = lists.flat().sort(compareEvents);
  return sorted.filter((event, place) => {
    const before = sorted[place - 1];
    return before === undefined || compareEvents(before, event) !== 0;
  });
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return compareTimes(left.time, right.time) ||
    compareText(left.vmId, right.vmId) ||
    compareText(left.process, right.process) ||
    compareText(left.instance, right.instance);
}

/** Compares by code unit: a locale must not change the order. */
function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/**
 * Turns an event into one line for people.
 *
 * @param event The event.
 * @returns One line without a line end.
 * @example
 * ```ts
 * formatEvent(event);
 * // 2026-01-01T00:00:00.000Z+0 vm-1 entry claim_won key=k-1 offset=17
 * ```
 */
export function formatEvent(event: TimelineEvent): string {
  const time = `${formatWall(event.time.wallMs)}+${event.time.counter}`;
  const fields = [
    ...formatFields(event.subject),
    ...formatFields(event.detail),
  ];
  return [time, event.vmId, event.process, event.name, ...fields].join(" ");
}

/** Times outside the range of dates come from a broken clock: print them raw. */
function formatWall(wallMs: number): string {
  const date = new Date(wallMs);
  return Number.isNaN(date.getTime()) ? `${wallMs}ms` : date.toISOString();
}

function formatFields(fields: object): string[] {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
}

/** Quotes texts with spaces or line ends, so that an event stays one line. */
function formatValue(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
