/**
 * Events that a decider receives.
 *
 * @module
 */
import type {
  CallId,
  CustomerSpec,
  EndpointFacts,
  EndpointId,
  LoadReport,
  RequestFacts,
  RequestId,
  ZoneId,
} from "@sardinestep/types";

/** Reason for which a call returned no result. */
export type CallFailureKind =
  /** The connection failed: the call did not run. */
  | "not_sent"
  /** The endpoint refused the call before running it. */
  | "refused"
  /** The connection broke after the call was sent: it may have run. */
  | "broken"
  /** No data arrived within the progress timeout: the call may have run. */
  | "timeout"
  /** The answer was invalid: the call may have run. */
  | "bad_answer";

/** An event; `now` is monotonic milliseconds, `random` is uniform in [0, 1). */
export type DecisionEvent =
  | {
    readonly kind: "request_arrived";
    readonly now: number;
    readonly random: number;
    readonly request: RequestFacts;
  }
  /** The first part of a streamed output arrived; later hedges are useless. */
  | {
    readonly kind: "call_progressed";
    readonly now: number;
    readonly callId: CallId;
  }
  | {
    readonly kind: "call_finished";
    readonly now: number;
    readonly random: number;
    readonly callId: CallId;
    readonly workerMs: number;
    readonly outputTokens: number;
  }
  | {
    readonly kind: "call_failed";
    readonly now: number;
    readonly random: number;
    readonly callId: CallId;
    readonly reason: CallFailureKind;
  }
  | {
    readonly kind: "caller_gone";
    readonly now: number;
    readonly random: number;
    readonly requestId: RequestId;
  }
  | {
    readonly kind: "load_reported";
    readonly now: number;
    readonly report: LoadReport;
  }
  /** Adds an endpoint, or changes its state, instance or capacity. */
  | {
    readonly kind: "endpoint_changed";
    readonly now: number;
    readonly random: number;
    readonly endpoint: EndpointFacts;
    /** Concurrent calls that this entry may have; its share of the capacity. */
    readonly slice: number;
  }
  | {
    readonly kind: "endpoint_removed";
    readonly now: number;
    readonly endpointId: EndpointId;
  }
  /** Zones that operators have taken out of service; replaces the last list. */
  | {
    readonly kind: "zones_changed";
    readonly now: number;
    readonly random: number;
    readonly zonesOut: readonly ZoneId[];
  }
  /** Customers with this entry's slice of their weight and concurrency. */
  | {
    readonly kind: "customers_changed";
    readonly now: number;
    readonly customers: readonly CustomerSpec[];
  }
  | {
    readonly kind: "ticked";
    readonly now: number;
    readonly random: number;
  };
