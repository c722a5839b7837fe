/**
 * What the decisions and the endpoints are told of a request.
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

/** Engines that honour priorities run a lower number first. */
const PRIORITY: Readonly<Record<RequestClass, number>> = {
  [REQUEST_CLASS.single]: 0,
  [REQUEST_CLASS.lookup]: 1,
  [REQUEST_CLASS.draft]: 2,
};

/** What a stage call is made from. */
export interface StageCallParts {
  readonly start: Extract<decisions.DecisionAction, { kind: "start_call" }>;
  readonly context: RequestContext;
  readonly facts: RequestFacts;
  readonly endpoint: EndpointFacts;
  /** Output of the stage before; undefined for the first. */
  readonly previous: unknown;
}

/** Builds what the decisions need to know of a request. */
export function buildFacts(context: RequestContext): RequestFacts {
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
export function buildStageCall(parts: StageCallParts): ports.StageCall {
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
    priority: PRIORITY[facts.requestClass],
    progressTimeoutMs: start.progressTimeoutMs,
    freshConnection: stage ? !stage.repeatable : false,
    ...(endpoint.instance !== "" && { instance: endpoint.instance }),
  };
}

/** Tells the decisions what an error of the port proves. */
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
