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

/** Classes in order of urgency under load: the first goes first. */
export const REQUEST_CLASS = {
  /** Single and certain calls: ticket issue, trial booking. */
  single: "single",
  /** Quick idempotent lookups. */
  lookup: "lookup",
  /** Drafts and summaries, which may wait. */
  draft: "draft",
} as const;
export type RequestClass = (typeof REQUEST_CLASS)[keyof typeof REQUEST_CLASS];

/**
 * What became of a request or of a key. There are three and never two:
 * `unknown` is said whenever neither of the others is proved.
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
  /** Whether a finished call costs money, so that it must not run again. */
  readonly billable: boolean;
  /** Whether a call may be sent a second time. */
  readonly repeatable: boolean;
  /** The operation that a plain service runs; empty for model stages. */
  readonly operation: string;
  /** Expected worker time of a call of unit size before any was measured. */
  readonly expectedMs: number;
}

/** A pipeline as configured. */
export interface PipelineSpec {
  readonly pipelineId: PipelineId;
  readonly requestClass: RequestClass;
  readonly stages: readonly StageSpec[];
  /** The deadline that applies when a caller names none. */
  readonly defaultDeadlineMs: number;
}

/** A customer's weight and limits, over all entries together. */
export interface CustomerSpec {
  readonly customerId: CustomerId;
  /** Share relative to other customers while capacity is short. */
  readonly weight: number;
  /** Requests at once over all entries. */
  readonly maxConcurrency: number;
}

/** What decisions need to know of a request; its content stays outside. */
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
  /** Hash of the prompt prefix for cache affinity; undefined without one. */
  readonly prefixHash?: number;
  /** The first stage that has to run; earlier results are held already. */
  readonly firstStage: number;
}

/** The result of one finished stage, as kept at its holders. */
export interface StageResult {
  /** The customer and the caller's key: who may be given this result. */
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
