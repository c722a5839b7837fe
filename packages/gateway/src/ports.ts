/**
 * Interface between the gateway and the adapter of an endpoint protocol.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import type { Address, CustomerId, EndpointId } from "@sardinestep/types";
import type { IncomingHttpHeaders } from "node:http";
import type { ProcessState } from "./http_pool.ts";

/** Contents of a caller's request headers. */
export interface CallerMetadata {
  /** Id of this request; each retry by the caller has a new one. */
  readonly requestId?: string;
  /** How long the caller waits for the answer, in milliseconds. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Model that the request is for, if it names one. */
  readonly model?: string;
  /** Parts of the prompt that other requests may share, in their order. */
  readonly prompt: readonly serving.PromptPart[];
  /** Number of pieces of each stage. */
  readonly pieceCounts: readonly number[];
  /** Key that first stages get as their input. */
  readonly pieceKey?: string;
  /** Earlier request that began the stream which this one takes up again. */
  readonly streamOrigin?: string;
  /** Last event of that stream that the caller received. */
  readonly lastEventId?: string;
}

/** Data that the gateway adds to the caller's headers of a forwarded request. */
export interface ForwardMetadata {
  readonly leftMs: number;
  readonly endpointId: EndpointId;
  readonly customer?: CustomerId;
  /** Priority at the endpoint, 0 (first) to 9; the endpoint's default if unset. */
  readonly priority?: number;
  /** Handles of the stage results that the request reads. */
  readonly inputs: readonly string[];
  /** Last event that the caller received; the stream goes on after it. */
  readonly lastEventId?: string;
}

/** Contents of an endpoint's response headers. */
export interface AnswerMetadata {
  /** Id of the request that is answered. */
  readonly requestId?: string;
  /** Signature that proves the body to be the endpoint's own. */
  readonly signature?: string;
  /** The endpoint states that the request did not run, with a status that may say so. */
  readonly isNotRun: boolean;
  /** It states so, with any status. */
  readonly isMarkedNotRun: boolean;
  /** Another process than the endpoint's answered. */
  readonly isMisdirected: boolean;
  readonly notices: EndpointNotices;
}

/** What an endpoint states about itself in an answer of any kind. */
export interface EndpointNotices {
  readonly load?: EndpointLoad;
  /** Remaining warm-up time of the endpoint, in milliseconds. */
  readonly coldMs?: number;
  /** Requests per second that the endpoint accepts from all VMs; unlimited if unset. */
  readonly limitPerSecond?: number;
  /**
   * Rejections a second from which it crashes, as all endpoints of its service do;
   * unset if it is not brittle.
   */
  readonly brittlePerSecond?: number;
  /** Time in which it accepts no further requests from this VM, in milliseconds. */
  readonly pauseMs?: number;
  /** It shuts down soon and accepts no further requests. */
  readonly isLeaving?: boolean;
}

/** Load of an endpoint from all callers. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on its host now, as a multiple of the usual time. */
  readonly slowdown?: number;
}

/** One piece in a call. */
export interface PieceRequest {
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
  & {
    /** Set if an answer was received. */
    readonly notices?: EndpointNotices;
  }
  & (
    | { readonly kind: "done"; readonly pieces: readonly PieceAnswer[] }
    /** Did not run: the endpoint is full, or another one has its address now. */
    | { readonly kind: "notRun"; readonly status: number }
    /** May have run; its results are lost. */
    | {
      readonly kind: "broken";
      readonly message: string;
      /** The endpoint closed or reset the connection. */
      readonly isDisconnect: boolean;
    }
  );

/** A call of pieces: its endpoint, its pieces and its timeout. */
export interface PieceCall {
  readonly endpointId: EndpointId;
  readonly address: Address;
  readonly pieces: readonly PieceRequest[];
  readonly timeoutMs: number;
}

/** Translates between the gateway's types and the protocol on the wire. */
export interface WireAdapter {
  /** Parses the headers of a caller's request. */
  readCaller(headers: IncomingHttpHeaders): CallerMetadata;
  /** Builds the headers of a forwarded request from the caller's raw ones. */
  buildForwardHeaders(
    rawHeaders: readonly string[],
    metadata: ForwardMetadata,
  ): string[];
  /** Parses the status and headers of an endpoint's response. */
  readAnswer(
    status: number,
    headers: ReadonlyMap<string, string>,
  ): AnswerMetadata;
  /**
   * Asks the address of an endpoint whether the process that was registered there
   * still runs; never rejects.
   */
  checkProcess(
    endpoint: Pick<serving.ServingEndpoint, "address" | "bornMs">,
  ): Promise<ProcessState>;
  /** Runs pieces at an endpoint. */
  runPieces(call: PieceCall): Promise<PieceCallResult>;
  /**
   * Releases results at the endpoint that keeps them.
   *
   * @returns What its answer states; undefined if there was none.
   */
  releaseResults(
    address: Address,
    handles: readonly string[],
  ): Promise<EndpointNotices | undefined>;
  /** Gives the address of the endpoint that keeps a result. */
  getResultAddress(handle: string): Address;
}
