/**
 * Order and text of events over all processes.
 *
 * @module
 */
import type { TimelineEvent } from "@sardinestep/timeline";
import type { EventTools } from "./context.ts";

/** Merging and formatting as the command line uses them. */
export const EVENT_TOOLS: EventTools = {
  mergeEvents: (lists) => lists.flat().sort(compareEvents),
  formatEvent,
};

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return left.time.wallMs - right.time.wallMs ||
    left.time.counter - right.time.counter ||
    left.instance.localeCompare(right.instance);
}

function formatEvent(event: TimelineEvent): string {
  const time = new Date(event.time.wallMs).toISOString();
  const values = Object.entries({ ...event.subject, ...event.detail });
  const shown = values.map(([name, value]) => `${name}=${value}`).join(" ");
  return `${time}+${event.time.counter} ${event.vmId} ${event.process} ${event.name} ${shown}`;
}
