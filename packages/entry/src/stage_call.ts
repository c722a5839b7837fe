/**
 * Converts a request to the inputs of the decider and of the endpoints.
 *
 * @module
 */
import type * as decisions from "@sardinestep/decisions";
import type * as ports from "@sardinestep/ports";
import {
  type EndpointFacts,
  REQUEST_CLASS,
  type RequestClass,
  type RequestFacts,
} from "@sardinestep/types";
import murmurhash from "murmurhash";
import { match } from "ts-pattern";
import type { RequestContext } from "./context.ts";

/** Engines with priority scheduling run the lower number first. */
const PRIORITY_BY_CLASS: Readonly<Record<RequestClass, number>> = {
  [REQUEST_CLASS.single]: 0,
  [REQUEST_CLASS.lookup]: 1,
  [REQUEST_CLASS.draft]: 2,
};

/** Inputs of {@link buildStageCall}. */
export interface StageCallInputs {
  readonly start: Extract<decisions.DecisionAction, { kind: "start_call" }>;
  readonly context: RequestContext;
  readonly facts: RequestFacts;
  readonly endpoint: EndpointFacts;
  /** Output of the previous stage; undefined for the first. */
  readonly previous: unknown;
}

/** Builds the facts of a request that the decider needs. */
export function buildRequestFacts(context: RequestContext): RequestFacts {
  const { pipeline, body, incoming } = context;
  return {
    requestId: incoming.requestId,
    customer: context.customer,
    pipeline: pipeline.pipelineId,
    requestClass: pipeline.requestClass,
    stages: pipeline.stages,
    arrivedAt: incoming.arrivedAt,
    deadlineAt: context.deadlineAt,
    stageSizes: pipeline.stages.map(() => body.size),
    ...(body.prefix === undefined
      ? {}
      : { prefixHash: hashPrefix(body.prefix) }),
    firstStage: context.priorResults.length,
  };
}

/** Builds the call of one stage. */
export function buildStageCall(parts: StageCallInputs): ports.StageCall {
  const { start, context, facts, endpoint, previous } = parts;
  const stage = facts.stages[start.stage];
  return {
    endpointId: endpoint.endpointId,
    role: endpoint.role,
    address: endpoint.address,
    callId: start.callId,
    operation: stage?.operation ?? "",
    ...(context.keyId && { key: context.keyId.key }),
    input: {
      stage: stage?.name ?? "",
      size: context.body.size,
      request: context.body.input,
      previous: previous ?? null,
      ...(context.body.prefix !== undefined && { prefix: context.body.prefix }),
    },
    priority: PRIORITY_BY_CLASS[facts.requestClass],
    progressTimeoutMs: start.progressTimeoutMs,
    freshConnection: stage ? !stage.repeatable : false,
    ...(endpoint.instance !== "" && { instance: endpoint.instance }),
  };
}

/** Maps an endpoint error to the failure kind that it proves. */
export function classifyError(
  error: ports.PortError,
): decisions.CallFailureKind {
  return match(error.kind)
    .with("not_sent", () => "not_sent" as const)
    .with("refused", "rate_limited", () => "refused" as const)
    .with("answer_lost", "cancelled", () => "broken" as const)
    .with("timeout", () => "timeout" as const)
    .with("bad_answer", () => "bad_answer" as const)
    .exhaustive();
}

function hashPrefix(prefix: string): number {
  return murmurhash.v3(prefix);
}
