/**
 * Endpoints: model engines, pools and plain services.
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

/** One call of one stage. */
export interface StageCall {
  readonly endpointId: EndpointId;
  readonly role: EndpointRole;
  readonly address: Address;
  /** Names this call in answers, so that a foreign answer is noticed. */
  readonly callId: CallId;
  /** The operation of a plain service; empty for model stages. */
  readonly operation: string;
  /** The caller's key, handed to plain services. */
  readonly key?: string;
  readonly input: unknown;
  /** Lower goes first in engines that honour priorities. */
  readonly priority: number;
  /** The call is broken off when nothing arrived for so long. */
  readonly progressTimeoutMs: number;
  /** Whether to prove the path with a new connection before sending. */
  readonly freshConnection: boolean;
  /**
   * The run that the call is meant for. With a fresh connection it is asked
   * first which run answers there; another one is `not_sent` the call.
   */
  readonly instance?: InstanceId;
}

/** A part of a streamed output. */
export interface OutputPart {
  /** Counts from 0 without gaps. */
  readonly sequence: number;
  readonly text: string;
}

/** The whole answer of a stage. */
export interface StageAnswer {
  readonly callId: CallId;
  readonly instance: InstanceId;
  readonly output: unknown;
  readonly outputTokens: number;
  /** Worker time that the endpoint accounts for this call. */
  readonly workerMs: number;
}

/** How to follow and end a running call. */
export interface CallOptions {
  readonly signal?: AbortSignal;
  /** Called with parts in order of sequence, each exactly once. */
  readonly onPart?: (part: OutputPart) => void;
}

/** An order to a model engine; it names the wanted end, not a step. */
export interface EngineOrder {
  readonly wanted: {
    readonly model: string;
    readonly version: string;
    readonly role: EndpointRole;
  };
  /** Offset of the claim under which it is given; only ever grows. */
  readonly fencing: Offset;
}

/** Calls endpoints and reads their load. */
export interface EndpointPort {
  /**
   * Runs one stage. A stream that breaks is resumed from the last part held;
   * the answer comes only after the explicit last part.
   */
  call(
    call: StageCall,
    options?: CallOptions,
  ): Promise<Result<StageAnswer, PortError>>;
  /** Reads the endpoint's own report; `measuredAt` is by the local clock. */
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
