/**
 * Events of the time line.
 *
 * @module
 */
import type { InstanceId, VmId, ZoneId } from "@sardinestep/types";

/** Hybrid logical time: wall clock that never runs backwards, then a counter. */
export interface HybridTime {
  /** Milliseconds since the Unix epoch. */
  readonly wallMs: number;
  readonly counter: number;
}

/** What an event is about; the time line is searched by these. */
export interface EventSubject {
  readonly key?: string;
  readonly requestId?: string;
  readonly endpointId?: string;
  readonly zone?: ZoneId;
  readonly customer?: string;
  readonly configVersion?: number;
}

/** One event of one process. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly process: "entry" | "control";
  readonly vmId: VmId;
  readonly instance: InstanceId;
  /** What happened, such as `claim_won` or `endpoint_cold`. */
  readonly name: string;
  readonly subject: EventSubject;
  /** Small plain values for people. */
  readonly detail: Readonly<Record<string, string | number | boolean>>;
}

/** Which events to give; empty means all that are kept. */
export interface TimelineFilter {
  readonly key?: string;
  readonly requestId?: string;
  readonly endpointId?: string;
  readonly zone?: ZoneId;
  readonly fromMs?: number;
  readonly untilMs?: number;
  readonly limit?: number;
}
