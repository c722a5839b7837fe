/**
 * Tracked state of admitted requests and running calls.
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

/** An admitted request that has no final answer yet. */
export interface TrackedRequest {
  readonly facts: RequestFacts;
  /** Expected milliseconds of each stage, as counted in the pools' backlogs. */
  readonly workMs: readonly number[];
  /** Index of the current stage, waiting or running. */
  stage: number;
  /** Running calls of the current stage; a second one is a hedge. */
  calls: TrackedCall[];
  /** Failed calls of the current stage that may have run. */
  failedCalls: number;
  /** Endpoints excluded from retries after a failure of the current stage. */
  excluded: EndpointId[];
  /** Calls of all stages except those that provably were not sent. */
  sentCalls: number;
  /** Calls of all stages except those that provably did not run. */
  possiblyRunCalls: number;
  hasFinishedStage: boolean;
  isQueued: boolean;
  /** Incremented whenever it is queued, so that stale items are recognised. */
  queueToken: number;
  isCallerGone: boolean;
  isFinished: boolean;
}

/** A running call. */
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

/** Returns the current stage of a request, waiting or running. */
export function getStage(request: TrackedRequest): StageSpec {
  const stage = request.facts.stages[request.stage];
  if (!stage) {
    throw new Error(
      `Request "${request.facts.requestId}" is past its last stage`,
    );
  }
  return stage;
}

/** Returns the size of a stage's work, 1 if the request does not specify it. */
export function getStageSize(facts: RequestFacts, stage: number): number {
  return facts.stageSizes[stage] ?? 1;
}
