/**
 * Merges the timelines of several processes.
 *
 * @module
 */
import type { TimelineEvent } from "./event.ts";
import { compareTimes } from "./hybrid_clock.ts";

/**
 * Merges events of several processes into one ordered list.
 *
 * Removes duplicates of events returned by two processes, such as a neighbour
 * that answered for a dead one. Orders equal times by VM, process and instance,
 * so that every reader sees the same order.
 *
 * @param lists One list of events per process, in any order.
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
  return sorted.filter((event, index) => {
    const previous = sorted[index - 1];
    return previous === undefined || compareEvents(previous, event) !== 0;
  });
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return compareTimes(left.time, right.time) ||
    compareText(left.vmId, right.vmId) ||
    compareText(left.process, right.process) ||
    compareText(left.instance, right.instance);
}

/** Compares by code unit, since the order must not depend on the locale. */
function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/**
 * Formats an event as one human-readable line.
 *
 * @param event The event.
 * @returns One line without a line break.
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

/** Prints times outside the range of dates raw; a broken clock causes them. */
function formatWall(wallMs: number): string {
  const date = new Date(wallMs);
  return Number.isNaN(date.getTime()) ? `${wallMs}ms` : date.toISOString();
}

function formatFields(fields: object): string[] {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
}

/** Quotes text with spaces or line breaks, so that an event stays one line. */
function formatValue(value: unknown): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
