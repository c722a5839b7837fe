/**
 * Requests and calls while they are under way.
 *
 * @module
 */
import type {
  CallId,
  EndpointId,
  RequestFacts,
  StageSpec,
} from "@sardinestep/types";
import type { Endpoint } from "./endpoint.ts";

/** A request from its admission to its final answer. */
export interface TrackedRequest {
  readonly facts: RequestFacts;
  /** Expected milliseconds of each stage, as charged to the pools' backlogs. */
  readonly workMs: readonly number[];
  /** The stage that is due or runs. */
  stage: number;
  /** Calls of the stage that run; a second one is a hedge. */
  calls: TrackedCall[];
  /** Calls of the stage that failed and may have run. */
  failedCalls: number;
  /** Endpoints where the stage failed. */
  tried: EndpointId[];
  /** Calls of any stage, without those that were proved not to be sent. */
  sentCalls: number;
  /** Calls of any stage, without those that were proved not to have run. */
  ranCalls: number;
  hasFinishedStage: boolean;
  isQueued: boolean;
  /** Changes whenever it is queued, so that old queue items can be told. */
  queueToken: number;
  isCallerGone: boolean;
  isOver: boolean;
}

/** A call from its start until its result or failure. */
export interface TrackedCall {
  readonly callId: CallId;
  readonly request: TrackedRequest;
  readonly endpoint: Endpoint;
  readonly startedAt: number;
  readonly expectedMs: number;
  readonly isHedge: boolean;
  /** Sent to an endpoint on probation. */
  readonly isProbe: boolean;
  hasProgressed: boolean;
}

/** The stage that is due or runs. */
export function getStage(request: TrackedRequest): StageSpec {
  const stage = request.facts.stages[request.stage];
  if (!stage) {
    throw new Error(
      `Request "${request.facts.requestId}" is past its last stage`,
    );
  }
  return stage;
}

/** Size of a stage's work; 1 where the request names none. */
export function getStageSize(facts: RequestFacts, stage: number): number {
  return facts.stageSizes[stage] ?? 1;
}
