/**
 * Events of the timeline.
 *
 * @module
 */
import type { InstanceId, VmId, ZoneId } from "@sardinestep/types";

/** Hybrid logical time: a wall clock that never goes back, and a counter. */
export interface HybridTime {
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly counter: number;
}

/** Identifiers of the things that an event concerns, used to find events. */
export interface EventSubject {
  readonly key?: string;
  readonly requestId?: string;
  readonly endpointId?: string;
  readonly zone?: ZoneId;
  readonly customer?: string;
  readonly configVersion?: number;
}

/** An event recorded by one process. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly instance: InstanceId;
  /** Event name, such as `claim_won` or `endpoint_cold`. */
  readonly name: string;
  readonly subject: EventSubject;
  /** Small plain values, for display. */
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** Selects events; an empty filter selects all. */
export interface TimelineFilter {
  readonly key?: string;
  readonly requestId?: string;
  readonly endpointId?: string;
  readonly zone?: ZoneId;
  readonly fromMs?: number;
  readonly untilMs?: number;
  readonly limit?: number;
}
