/**
 * Answers to callers as plain data, before they become HTTP.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type { Outcome, RequestId } from "@sardinestep/types";

/** What a request has cost so far. */
export interface RequestCost {
  /** Calls that finished. */
  calls: number;
  /** Tokens that were generated. */
  tokens: number;
  /** Worker time that endpoints accounted, in milliseconds. */
  workerMs: number;
}

/** The whole answer of a request that completed. */
export interface CompletedAnswer {
  readonly kind: "completed";
  readonly output: unknown;
  readonly cost: RequestCost;
  /** Set when an earlier attempt under the same key produced it. */
  readonly isReplayed: boolean;
}

/** A refusal or failure. */
export interface RefusedAnswer {
  readonly kind: "refused";
  readonly failure: codes.Failure;
}

/** The one final answer of a request. */
export type RequestAnswer = CompletedAnswer | RefusedAnswer;

/** The JSON body of an answer. */
export interface AnswerBody {
  readonly code: number;
  readonly name: string;
  readonly outcome: Outcome;
  readonly attempt: Outcome;
  readonly requestId: RequestId;
  readonly output?: unknown;
  readonly cost?: RequestCost;
  readonly replayed?: true;
  readonly message?: string;
  readonly retryAfterMs?: number;
}

/** An answer ready for HTTP. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: AnswerBody;
}

/**
 * Makes a refused answer from a code.
 *
 * @param code Name of the result code.
 * @param message What failed and for which value.
 * @param options Outcome, attempt and time to come back.
 * @returns The answer.
 */
export function createRefusal(
  code: codes.CodeName,
  message: string,
  options: codes.FailureOptions = {},
): RefusedAnswer {
  return {
    kind: "refused",
    failure: codes.createFailure(code, message, options),
  };
}

/**
 * Makes a completed answer.
 *
 * @param output Output of the last stage.
 * @param cost What this attempt has cost.
 * @param isReplayed Whether an earlier attempt produced the output.
 * @returns The answer.
 */
export function createCompletion(
  output: unknown,
  cost: RequestCost,
  isReplayed = false,
): CompletedAnswer {
  return { kind: "completed", output, cost, isReplayed };
}

/**
 * Makes a refusal speak truly of its key.
 *
 * A refusal before the key is settled knows that this attempt was not run, and
 * nothing of the key: an earlier attempt may have completed at another entry.
 *
 * @param answer The answer of a request that came with a key.
 * @returns The answer, with the outcome of the key and of the attempt apart.
 */
export function tellOfUnsettledKey(answer: RequestAnswer): RequestAnswer {
  if (answer.kind === "completed") return answer;
  const { failure } = answer;
  if (failure.outcome !== "not run") return answer;
  const told = { ...failure, outcome: "unknown", attempt: "not run" } as const;
  return { kind: "refused", failure: told };
}

/**
 * Turns an answer into HTTP status and body.
 *
 * @param requestId The request it belongs to.
 * @param answer The final answer.
 * @returns Status and JSON body.
 */
export function buildHttpAnswer(
  requestId: RequestId,
  answer: RequestAnswer,
): HttpAnswer {
  if (answer.kind === "refused") return buildRefusal(requestId, answer.failure);
  const { output, cost, isReplayed } = answer;
  const body: AnswerBody = {
    code: codes.CODES.OK.code,
    name: "OK",
    outcome: "completed",
    attempt: "completed",
    requestId,
    output,
    cost,
    ...(isReplayed ? { replayed: true } : {}),
  };
  return { status: codes.CODES.OK.httpStatus, body };
}

function buildRefusal(
  requestId: RequestId,
  failure: codes.Failure,
): HttpAnswer {
  const row = codes.CODES[failure.code];
  const { message, outcome, retryAfterMs } = failure;
  const body: AnswerBody = {
    code: row.code,
    name: failure.code,
    outcome,
    attempt: failure.attempt ?? outcome,
    requestId,
    message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
  return { status: row.httpStatus, body };
}
