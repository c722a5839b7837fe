/**
 * Fixtures for the tests of this package.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type * as settings from "@sardinestep/settings";
import type {
  MemberFacts,
  PipelineSpec,
  StageResult,
  StageSpec,
} from "@sardinestep/types";
import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results-es";
import * as uuid from "uuid";
import type { AnswerBody, RequestAnswer } from "./answer.ts";
import { buildHttpAnswer, createCompletion } from "./answer.ts";
import type { CallerConnection, RequestContext } from "./context.ts";

export const CUSTOMER = "sawmill";
export const CREDENTIAL = "right";
export const NO_COST = { calls: 0, tokens: 0, workerMs: 0 };
export const NOW = 1_000;
export const DEADLINE_AT = 2_000;
export const HOLDER: claims.ClaimId = { instance: "i-holder", sequence: 7 };
export const COMPLETION = createCompletion({ ticket: 1 }, NO_COST);

/** Builds a stage, repeatable or at-most-once. */
export function buildStage(name: string, repeatable = true): StageSpec {
  const operation = repeatable ? "" : "issue-ticket";
  const service = repeatable ? "drafters" : "tickets";
  const billable = true;
  return { name, service, billable, repeatable, operation, expectedMs: 10 };
}

export const ISSUE: PipelineSpec = {
  pipelineId: "issue",
  requestClass: "single",
  stages: [buildStage("issue", false)],
  defaultDeadlineMs: 1_000,
};
export const DRAFT: PipelineSpec = {
  pipelineId: "draft",
  requestClass: "draft",
  stages: [buildStage("encode"), buildStage("draft")],
  defaultDeadlineMs: 1_000,
};

const SPEC: settings.SiteCustomer = {
  customerId: CUSTOMER,
  weight: 1,
  maxConcurrency: 10,
  credentialSha256: createHash("sha256").update(CREDENTIAL).digest("hex"),
};

/** Fields of a request context that a test overrides. */
export type ContextParts =
  & Partial<Omit<RequestContext, "incoming">>
  & { readonly incoming?: Partial<RequestContext["incoming"]> };

/** Builds the context of an at-most-once request as the claim filter gets it. */
export function buildContext(parts: ContextParts = {}): RequestContext {
  const { incoming, ...rest } = parts;
  const key = incoming?.key ?? uuid.v7();
  return {
    incoming: {
      requestId: "r-1",
      pipeline: "issue",
      customer: CUSTOMER,
      authorization: `Bearer ${CREDENTIAL}`,
      bodyText: '{"input":1}',
      arrivedAt: NOW,
      isForwarded: false,
      key,
      ...incoming,
    },
    site: {
      version: 1,
      pipelines: new Map([["issue", ISSUE], ["draft", DRAFT]]),
      customers: new Map([[CUSTOMER, SPEC]]),
    },
    callerConnection: { addDisconnectHandler: () => {} },
    customer: CUSTOMER,
    pipeline: ISSUE,
    body: { input: 1, size: 1 },
    deadlineAt: DEADLINE_AT,
    keyId: { customer: CUSTOMER, key },
    fingerprint: "f-1",
    isAtMostOnce: true,
    isKeySettled: false,
    priorResults: [],
    ...rest,
  };
}

/** Builds a member in state "live". */
export function buildMember(
  vmId: string,
  parts: Partial<MemberFacts> = {},
): MemberFacts {
  return {
    vmId,
    zone: "zone-a",
    site: "yard",
    entryRpc: `rpc-${vmId}`,
    controlRpc: `control-${vmId}`,
    entryInstance: `i-${vmId}`,
    state: "live",
    heardAt: 0,
    ...parts,
  };
}

/** Builds the kept result of one stage. */
export function buildResult(
  stage: number,
  parts: Partial<StageResult> = {},
): StageResult {
  return {
    customer: CUSTOMER,
    key: "k",
    stage,
    stageName: DRAFT.stages[stage]?.name ?? "",
    attempt: "c-1",
    endpointId: "e-1",
    output: `output ${stage}`,
    outputTokens: 0,
    workerMs: 0,
    ...parts,
  };
}

/** One RPC call to another process. */
export interface PeerCall {
  readonly address: string;
  readonly method: string;
  readonly params: unknown;
}

/** Answers an RPC call for a fake process. */
export type PeerAnswer = (
  call: PeerCall,
) => Result<unknown, rpc.RpcError> | Promise<Result<unknown, rpc.RpcError>>;

/** Creates fake peers that record the calls to them. */
export function createPeers(
  answer: PeerAnswer,
): { readonly peers: rpc.PeerConnections; readonly calls: PeerCall[] } {
  const calls: PeerCall[] = [];
  const call = async (address: string, method: string, params: unknown) => {
    const request = { address, method, params };
    calls.push(request);
    return await answer(request);
  };
  return { peers: { call } as unknown as rpc.PeerConnections, calls };
}

/** Builds the error of an RPC call. */
export function buildRpcError(kind: rpc.RpcErrorKind) {
  return Err({ kind, message: kind });
}

/** Builds the answer to an RPC call. */
export function buildRpcAnswer(value: unknown) {
  return Ok(value);
}

/** Returns the fields of an answer that callers act on. */
export function getAnswerSummary(answer: RequestAnswer): Partial<AnswerBody> {
  const { name, outcome, attempt, replayed } = buildHttpAnswer("", answer).body;
  return { name, outcome, attempt, ...(replayed && { replayed }) };
}

/** Dispatches and completes the at-most-once call, as the last filter does. */
export function runTicketCall(context: RequestContext): Promise<RequestAnswer> {
  if (!context.claimant?.beginDispatch(NOW)) {
    throw new Error("Claimant may not dispatch: the claim is not won");
  }
  context.claimant.finish(COMPLETION.output);
  return Promise.resolve(COMPLETION);
}

/** Creates a next filter that counts its calls. */
export function createNext(
  run: (context: RequestContext) => Promise<RequestAnswer> = () =>
    Promise.resolve(COMPLETION),
) {
  let count = 0;
  return {
    next: (context: RequestContext) => {
      count += 1;
      return run(context);
    },
    count: () => count,
  };
}

/** Creates a caller that the test can disconnect. */
export function createCaller(): { close(): void; watch: CallerConnection } {
  let close = () => {};
  const watch = {
    addDisconnectHandler: (handler: () => void) => void (close = handler),
  };
  return { watch, close: () => close() };
}
