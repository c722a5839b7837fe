/**
 * Requests, their classes and their outcomes.
 *
 * @module
 */
import type {
  CustomerId,
  EndpointId,
  PipelineId,
  RequestId,
  ServiceId,
} from "./identity.ts";

/** Request classes in order of priority under load, highest first. */
export const REQUEST_CLASS = {
  /** Calls that must not be repeated: ticket issue, trial booking. */
  single: "single",
  /** Fast idempotent lookups. */
  lookup: "lookup",
  /** Drafts and summaries, which may be delayed. */
  draft: "draft",
} as const;
export type RequestClass = (typeof REQUEST_CLASS)[keyof typeof REQUEST_CLASS];

/**
 * Outcome of a request or of a key. `unknown` is reported whenever neither of the
 * other two is proved.
 */
export const OUTCOME = {
  completed: "completed",
  notRun: "not run",
  unknown: "unknown",
} as const;
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** One stage of a pipeline. */
export interface StageSpec {
  readonly name: string;
  readonly service: ServiceId;
  /** Whether a finished call costs money and therefore must not run again. */
  readonly billable: boolean;
  /** Whether a call may be sent a second time. */
  readonly repeatable: boolean;
  /** The operation of a plain service; empty for model stages. */
  readonly operation: string;
  /** Expected worker time of a call of unit size until one is measured. */
  readonly expectedMs: number;
}

/** A pipeline as configured. */
export interface PipelineSpec {
  readonly pipelineId: PipelineId;
  readonly requestClass: RequestClass;
  readonly stages: readonly StageSpec[];
  /** The deadline for requests without one. */
  readonly defaultDeadlineMs: number;
}

/** A customer's weight and limits, over all entries together. */
export interface CustomerSpec {
  readonly customerId: CustomerId;
  /** Share relative to other customers when capacity is short. */
  readonly weight: number;
  /** Maximum concurrent requests over all entries. */
  readonly maxConcurrency: number;
}

/** Properties of a request that decisions depend on, without its content. */
export interface RequestFacts {
  readonly requestId: RequestId;
  readonly customer: CustomerId;
  readonly pipeline: PipelineId;
  readonly requestClass: RequestClass;
  readonly stages: readonly StageSpec[];
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** Size relative to a request of unit size, per stage. */
  readonly stageSizes: readonly number[];
  /** Hash of the prompt prefix, for cache affinity; undefined without a prefix. */
  readonly prefixHash?: number;
  /** Index of the first stage to run; results of earlier stages are kept already. */
  readonly firstStage: number;
}

/** The result of one finished stage, as kept by the entries that hold it. */
export interface StageResult {
  /** Customer and idempotency key that may retrieve this result. */
  readonly customer: CustomerId;
  readonly key: string;
  readonly stage: number;
  readonly stageName: string;
  readonly attempt: string;
  readonly endpointId: EndpointId;
  readonly output: unknown;
  readonly outputTokens: number;
  readonly workerMs: number;
}
