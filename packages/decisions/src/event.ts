/**
 * What the decisions are told.
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

/** Why a call gave no result. */
export type CallFailureKind =
  /** No connection: nothing ran. */
  | "not_sent"
  /** The endpoint said no before running it. */
  | "refused"
  /** Broke after it was sent: it may have run. */
  | "broken"
  /** Nothing arrived for too long: it may have run. */
  | "timeout"
  /** The answer made no sense: it may have run. */
  | "bad_answer";

/** `now` is monotonic milliseconds; `random` is uniform in [0, 1). */
export type DecisionEvent =
  | {
    readonly kind: "request_arrived";
    readonly now: number;
    readonly random: number;
    readonly request: RequestFacts;
  }
  /** The first part of a streamed output arrived; later hedges are pointless. */
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
    /** Calls at once that this entry may have there; its slice of the whole. */
    readonly slice: number;
  }
  | {
    readonly kind: "endpoint_removed";
    readonly now: number;
    readonly endpointId: EndpointId;
  }
  /** Zones that operators have taken out; the list replaces the earlier one. */
  | {
    readonly kind: "zones_changed";
    readonly now: number;
    readonly random: number;
    readonly zonesOut: readonly ZoneId[];
  }
  /** Customers with this entry's slice of their concurrency. */
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
