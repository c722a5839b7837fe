/**
 * Answers to callers, and their conversion to HTTP status and body.
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
  /** Worker time reported by the endpoints, in milliseconds. */
  workerMs: number;
}

/** The answer to a completed request. */
export interface CompletedAnswer {
  readonly kind: "completed";
  readonly output: unknown;
  readonly cost: RequestCost;
  /** Whether an earlier attempt under the same key produced the output. */
  readonly isReplayed: boolean;
}

/** The answer to a refused or failed request. */
export interface RefusedAnswer {
  readonly kind: "refused";
  readonly failure: codes.Failure;
}

/** The final answer to a request. */
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

/** HTTP status and body of an answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: AnswerBody;
}

/**
 * Creates the answer to a retry from the output of an earlier attempt, whose cost
 * was reported there.
 *
 * @param output Output of the last stage.
 * @returns The answer.
 * @example
 * ```ts
 * createReplay({ ticket: 7 }).isReplayed; // true
 * ```
 */
export function createReplay(output: unknown): CompletedAnswer {
  return createCompletion(output, { calls: 0, tokens: 0, workerMs: 0 }, true);
}

/**
 * Creates a refusal with a result code.
 *
 * @param code Name of the result code.
 * @param message What failed and for which value.
 * @param options Outcome, attempt and time to wait before a retry.
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
 * Creates the answer to a completed request.
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
 * Sets the outcome of an unsettled key to "unknown" in a refusal.
 *
 * A refusal before the key is settled is certain only that this attempt was not
 * run: an earlier attempt under the key may have completed at another entry.
 *
 * @param answer The answer to a request with a key.
 * @returns The answer, with separate outcomes for the key and the attempt.
 */
export function applyUnknownKeyOutcome(answer: RequestAnswer): RequestAnswer {
  if (answer.kind === "completed") return answer;
  const { failure } = answer;
  if (failure.outcome !== "not run") return answer;
  const unsettled = {
    ...failure,
    outcome: "unknown",
    attempt: "not run",
  } as const;
  return { kind: "refused", failure: unsettled };
}

/**
 * Builds the HTTP status and body of an answer.
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
