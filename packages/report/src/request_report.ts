/**
 * Contents of the parts of a report that follow single requests.
 *
 * Values that log lines lack are undefined or counted as unknown, never as zero.
 *
 * @module
 */

/** How requests ended. The counts besides `asked` add up to `asked`. */
export interface EndCounts {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  /** Served; the lines don't show whether in time. */
  readonly servedUnknown: number;
  /** Refused on arrival or within an eighth of the objective. */
  readonly refusedAtOnce: number;
  readonly refusedLate: number;
  /** Refused; the lines don't show whether at once. */
  readonly refusedUnknown: number;
  readonly failed: number;
  /** Requests whose caller disconnected before the answer was complete. */
  readonly left: number;
  /** Requests whose end stands in no line. */
  readonly unended: number;
}

/** Requests of a route or of a customer. */
export interface RequestGroup {
  readonly name: string;
  readonly all: EndCounts;
  /** Requests admitted as deferred; undefined if no line has a lane. */
  readonly deferred?: EndCounts;
  /** Requests whose line has no lane. */
  readonly withoutLane: number;
  /** Returns after a refusal; undefined if no line shows it. */
  readonly returns?: EndCounts;
  /** Requests whose line doesn't show whether they are returns. */
  readonly withoutReturn: number;
  /** Mean margin of admission, in milliseconds, over the lines that have one. */
  readonly meanMarginMs?: number;
}

/** A cause of requests that were not served. */
export interface CauseCount {
  readonly kind: "refused" | "failed" | "left" | "unknown";
  readonly cause: string;
  readonly count: number;
}

/** Answers that VMs ended after they had begun, for one cause. */
export interface TruncationCount {
  /** A cause of the event `response_truncated`, see docs/LOGS.md. */
  readonly cause: string;
  readonly count: number;
  /** Of these, answers of VMs that were stopping; undefined if no line shows it. */
  readonly whileStopping: number | undefined;
}

/** Requests that were sent to one endpoint. */
export interface EndpointSummary {
  readonly service: string;
  readonly endpointId: string;
  /** Requests sent there; one that is sent there twice counts twice. */
  readonly requests: number;
  /** Part of all requests sent to endpoints of the service, 0 to 1. */
  readonly share: number;
  /** Mean of the reported slowdowns, a multiple; undefined if none is logged. */
  readonly slowdown?: number;
  /** Mean time from the send to the first event, in ms; undefined without streams. */
  readonly firstEventMs?: number;
}

/** Streams of a service by the slowdown that the endpoint had reported. */
export interface SlowdownBand {
  readonly service: string;
  /** Least slowdown of the band, a multiple; undefined if none was reported. */
  readonly from?: number;
  readonly streams: number;
  /** Mean time from the send to the first event, in milliseconds. */
  readonly firstEventMs: number;
}

/** Connections to endpoints, over processes that logged their number. */
export interface ConnectionSummary {
  /** Processes whose log has the number of connections. */
  readonly processes: number;
  /** Processes whose log has none, such as killed ones. */
  readonly withoutNumber: number;
  /** Connections opened; undefined if no process logged the number. */
  readonly opened?: number;
  /** Requests served by the processes that logged the number. */
  readonly served: number;
  /** Connections for each served request; undefined if that is not known. */
  readonly perServed?: number;
}
