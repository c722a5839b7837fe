/**
 * Actions that a decider returns.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { CallId, EndpointId, RequestId } from "@sardinestep/types";

/** An action that the caller of the decider executes, in the order given. */
export type DecisionAction =
  /** Send one stage of a request to an endpoint. */
  | {
    readonly kind: "start_call";
    readonly callId: CallId;
    readonly requestId: RequestId;
    readonly stage: number;
    readonly endpointId: EndpointId;
    /** Abort the call when no data has arrived for this time. */
    readonly progressTimeoutMs: number;
    readonly isHedge: boolean;
  }
  /** Cancel a call; drop its later answer and send no event for it. */
  | { readonly kind: "cancel_call"; readonly callId: CallId }
  /** The last stage has finished: answer the caller with its output. */
  | { readonly kind: "complete"; readonly requestId: RequestId }
  /** Answer the caller immediately with a refusal or failure. */
  | {
    readonly kind: "refuse";
    readonly requestId: RequestId;
    readonly code: CodeName;
    readonly retryAfterMs: number;
    /** Whether this entry may have sent a call for any stage of the request. */
    readonly hasSentCall: boolean;
  };
