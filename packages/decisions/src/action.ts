/**
 * What the decisions ask to be done.
 *
 * @module
 */
import type { CodeName } from "@sardinestep/codes";
import type { CallId, EndpointId, RequestId } from "@sardinestep/types";

/** Done by the caller of the decisions, in the order given. */
export type DecisionAction =
  /** Send one stage of a request to an endpoint. */
  | {
    readonly kind: "start_call";
    readonly callId: CallId;
    readonly requestId: RequestId;
    readonly stage: number;
    readonly endpointId: EndpointId;
    /** Break off when nothing arrived for so long. */
    readonly progressTimeoutMs: number;
    readonly isHedge: boolean;
  }
  /** Cancel a call; its later answer is dropped and no event is owed for it. */
  | { readonly kind: "cancel_call"; readonly callId: CallId }
  /** The last stage finished: answer the caller with its output. */
  | { readonly kind: "complete"; readonly requestId: RequestId }
  /** Answer the caller at once with a refusal or failure. */
  | {
    readonly kind: "refuse";
    readonly requestId: RequestId;
    readonly code: CodeName;
    readonly retryAfterMs: number;
    /** Whether any stage of it was ever sent by this entry. */
    readonly anySent: boolean;
  };
