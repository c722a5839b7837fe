/**
 * Port to endpoints: model engines, pools and plain services.
 *
 * @module
 */
import type {
  Address,
  CallId,
  EndpointId,
  EndpointRole,
  InstanceId,
  LoadReport,
  Offset,
} from "@sardinestep/types";
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** One call of one stage to one endpoint. */
export interface StageCall {
  readonly endpointId: EndpointId;
  readonly role: EndpointRole;
  readonly address: Address;
  /** Identifies the call in answers, so that an answer of another call is detected. */
  readonly callId: CallId;
  /** The operation of a plain service; empty for model stages. */
  readonly operation: string;
  /** The caller's idempotency key, passed on to the endpoint. */
  readonly key?: string;
  readonly input: unknown;
  /** Lower values run first, in engines that support priorities. */
  readonly priority: number;
  /** The call is aborted if no data arrives for this long. */
  readonly progressTimeoutMs: number;
  /** Whether to use a new connection, which proves that the network path works. */
  readonly freshConnection: boolean;
  /**
   * The run of the endpoint that the call is meant for. With a fresh connection,
   * the endpoint is first asked for its run; if it differs, the call fails as
   * `not_sent`.
   */
  readonly instance?: InstanceId;
}

/** A part of a streamed output. */
export interface OutputPart {
  /** Counts from 0 without gaps. */
  readonly sequence: number;
  readonly text: string;
}

/** The complete answer of a stage. */
export interface StageAnswer {
  readonly callId: CallId;
  readonly instance: InstanceId;
  readonly output: unknown;
  readonly outputTokens: number;
  /** Worker time that the endpoint reports for this call. */
  readonly workerMs: number;
}

/** Cancellation and progress of a running call. */
export interface CallOptions {
  readonly signal?: AbortSignal;
  /** Called exactly once for each part, in order of sequence. */
  readonly onPart?: (part: OutputPart) => void;
}

/** An order to a model engine, stated as the desired state rather than as a step. */
export interface EngineOrder {
  readonly wanted: {
    readonly model: string;
    readonly version: string;
    readonly role: EndpointRole;
  };
  /** Fencing token: log offset of the claim for this order; never decreases. */
  readonly fencing: Offset;
}

/** Calls endpoints and reads their load. */
export interface EndpointPort {
  /**
   * Runs one stage. A broken stream is resumed after the last received part. The
   * answer is complete only after the explicit last part.
   */
  call(
    call: StageCall,
    options?: CallOptions,
  ): Promise<Result<StageAnswer, PortError>>;
  /** Reads the endpoint's load report; `measuredAt` is by the local clock. */
  readLoad(
    endpointId: EndpointId,
    address: Address,
    timeoutMs: number,
  ): Promise<Result<LoadReport, PortError>>;
  sendOrder(
    address: Address,
    order: EngineOrder,
    timeoutMs: number,
  ): Promise<Result<EngineOrder, PortError>>;
  close(): Promise<void>;
}
