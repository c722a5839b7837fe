/**
 * What the gateway needs from an adapter.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import type { Address, CustomerId, EndpointId } from "@sardinestep/types";
import type { IncomingHttpHeaders } from "node:http";

/** What a caller's headers say. */
export interface CallerFacts {
  /** The id under which this request runs; each retry has a new one. */
  readonly requestId?: string;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Parts of the prompt that other requests may share, in order. */
  readonly prompt: readonly serving.PromptPart[];
  /** Pieces of each stage. */
  readonly pieceCounts: readonly number[];
  /** What first stages work on. */
  readonly pieceKey?: string;
}

/** What the system says to an endpoint beside the caller's own headers. */
export interface ForwardFacts {
  readonly leftMs: number;
  readonly endpointId: EndpointId;
  readonly customer?: CustomerId;
  /** Handles of the results that the request reads. */
  readonly inputs: readonly string[];
  /** The last event that the caller has; the stream goes on after it. */
  readonly lastEventId?: string;
}

/** What an endpoint's answer says beside its status and body. */
export interface AnswerFacts {
  /** The request that it answers. */
  readonly requestId?: string;
  /** Shows that the bytes are the endpoint's own. */
  readonly signature?: string;
  /** The endpoint states that the request did not run. */
  readonly isNotRun: boolean;
  readonly load?: EndpointLoad;
  /** How long the endpoint is cold yet, in milliseconds. */
  readonly coldMs?: number;
  /** Requests a second that the endpoint takes from all VMs; no limit if unset. */
  readonly limitPerSecond?: number;
}

/** Load of an endpoint from all callers. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** One piece of a call. */
export interface PieceOrder {
  readonly requestId: string;
  readonly stage: number;
  readonly piece: number;
  readonly leftMs: number;
  readonly key?: string;
  readonly inputs: readonly string[];
}

/** How one piece of a call ended. */
export type PieceAnswer =
  | { readonly kind: "made"; readonly handle: string }
  | { readonly kind: "late" }
  | { readonly kind: "inputGone" }
  | { readonly kind: "noRoom" }
  | { readonly kind: "failed" };

/** How a call ended. */
export type PieceCallResult =
  | {
    readonly kind: "done";
    readonly pieces: readonly PieceAnswer[];
    /** Calls a second that the endpoint takes; no limit if unset. */
    readonly limitPerSecond?: number;
  }
  /** It did not run; the endpoint is full or another one has its address. */
  | { readonly kind: "notRun"; readonly status: number }
  /** It may have run; what it made is lost. */
  | {
    readonly kind: "broken";
    readonly message: string;
    /** The endpoint closed or reset the connection. */
    readonly isDisconnect: boolean;
  };

/** Where a call goes and how long it is waited for. */
export interface PieceCall {
  readonly endpointId: EndpointId;
  readonly address: Address;
  readonly pieces: readonly PieceOrder[];
  readonly timeoutMs: number;
}

/** Translates between the gateway's types and what endpoints and callers speak. */
export interface ServingWire {
  /** Reads a caller's headers. */
  readCaller(headers: IncomingHttpHeaders): CallerFacts;
  /** Builds the headers of a forwarded request from the caller's raw ones. */
  buildForwardHeaders(
    rawHeaders: readonly string[],
    facts: ForwardFacts,
  ): string[];
  /** Reads status and headers of an endpoint's answer. */
  readAnswer(
    status: number,
    headers: ReadonlyMap<string, string>,
  ): AnswerFacts;
  /** Has pieces made. */
  runPieces(call: PieceCall): Promise<PieceCallResult>;
  /** Gives up results at the endpoint that keeps them. */
  releaseResults(address: Address, handles: readonly string[]): Promise<void>;
  /** Gives the address of the endpoint that keeps a result. */
  getResultAddress(handle: string): Address;
}
