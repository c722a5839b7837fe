/**
 * A client that reuses its key when it retries, waits as long as the answer
 * says, and tries the next entry after each attempt.
 *
 * @module
 */
import type { Outcome } from "@sardinestep/types";
import { setTimeout as sleep } from "node:timers/promises";

/** A request as in `examples/<deployment>/requests.json`. */
export interface PlannedRequest {
  readonly name: string;
  readonly customer: string;
  readonly credential: string;
  readonly pipeline: string;
  readonly body: unknown;
  readonly deadlineMs: number;
  readonly needsKey: boolean;
}

/** The JSON body of an answer of an entry. */
export interface CallerAnswer {
  readonly code: number;
  readonly name: string;
  readonly outcome: Outcome;
  readonly attempt: Outcome;
  readonly output?: unknown;
  readonly message?: string;
  readonly retryAfterMs?: number;
  readonly replayed?: boolean;
}

/** One attempt: it has either an answer or a connection error. */
export interface CallerAttempt {
  readonly url: string;
  readonly tookMs: number;
  readonly answer?: CallerAnswer;
  readonly error?: string;
}

/** The result of a request as the caller sees it. */
export interface CallerResult {
  readonly request: PlannedRequest;
  readonly key?: string;
  readonly attempts: readonly CallerAttempt[];
  /** The last answer; undefined when no attempt got one. */
  readonly answer?: CallerAnswer;
  readonly tookMs: number;
}

/** Options of {@link sendRequest}. */
export interface SendOptions {
  /** Entry URLs in the order in which they are tried. */
  readonly urls: readonly string[];
  readonly key?: string;
  readonly maxAttempts?: number;
  /** Longest wait before a retry, whatever the answer asks for. */
  readonly maxWaitMs?: number;
}

/** Time after the deadline during which a caller still waits for the answer. */
const ANSWER_GRACE_MS = 3_000;

/**
 * Sends a request and retries it until its answer is final or `maxAttempts`
 * are used up.
 *
 * @param request What to send.
 * @param options Entries, key and retry limits.
 * @returns Every attempt and the last answer.
 */
export async function sendRequest(
  request: PlannedRequest,
  options: SendOptions,
): Promise<CallerResult> {
  const startedAt = performance.now();
  const attempts: CallerAttempt[] = [];
  const maxAttempts = options.maxAttempts ?? 1;
  while (attempts.length < maxAttempts) {
    const url = options.urls[attempts.length % options.urls.length] ?? "";
    const attempt = await sendOnce(request, url, options.key);
    attempts.push(attempt);
    if (isFinal(attempt) || attempts.length === maxAttempts) break;
    const waitMs = attempt.answer?.retryAfterMs ?? 0;
    await sleep(Math.min(waitMs, options.maxWaitMs ?? 1_000));
  }
  const answer = attempts.findLast((attempt) => attempt.answer)?.answer;
  const tookMs = performance.now() - startedAt;
  return { request, key: options.key, attempts, answer, tookMs };
}

async function sendOnce(
  request: PlannedRequest,
  url: string,
  key: string | undefined,
): Promise<CallerAttempt> {
  const startedAt = performance.now();
  try {
    const response = await fetch(`${url}/v1/pipelines/${request.pipeline}`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        "x-customer": request.customer,
        authorization: `Bearer ${request.credential}`,
        "x-deadline-ms": String(request.deadlineMs),
        ...(key === undefined ? {} : { "idempotency-key": key }),
      },
      body: JSON.stringify(request.body),
      signal: AbortSignal.timeout(request.deadlineMs + ANSWER_GRACE_MS),
    });
    const answer = await response.json() as CallerAnswer;
    return { url, tookMs: performance.now() - startedAt, answer };
  } catch (error) {
    const tookMs = performance.now() - startedAt;
    return { url, tookMs, error: String(error) };
  }
}

/** Whether the answer is completed or names no retry delay. */
function isFinal(attempt: CallerAttempt): boolean {
  if (!attempt.answer) return false;
  if (attempt.answer.outcome === "completed") return true;
  return attempt.answer.retryAfterMs === undefined;
}
