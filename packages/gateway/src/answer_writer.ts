/**
 * Writes answers to callers.
 *
 * @module
 */
import type * as answerHeads from "@sardinestep/answer_heads";
import * as bufferBudget from "@sardinestep/buffer_budget";
import * as codes from "@sardinestep/codes";
import type { ServerResponse } from "node:http";
import { CallerQueue } from "./caller_queue.ts";
import { closeIncomplete } from "./cut_response.ts";
import type { Truncation } from "./truncation.ts";

/** Hop-by-hop headers, and those that are set anew for the caller. */
const NOT_FORWARDED_HEADERS = new Set([
  "connection",
  "content-length",
  "date",
  "keep-alive",
  "proxy-connection",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
const MS_PER_SECOND = 1_000;
const RETRY_AFTER_STEP_MS = 10;

/** Returns an endpoint's headers without those that are not forwarded. */
export function buildCallerHeaders(
  headers: ReadonlyMap<string, string>,
): [string, string][] {
  return [...headers].filter(([name]) => !NOT_FORWARDED_HEADERS.has(name));
}

/**
 * Formats a Retry-After value in seconds, rounded up: a caller that retries too
 * early is refused again.
 *
 * @example
 * ```ts
 * formatRetryAfter(1_241); // "1.25"
 * ```
 */
export function formatRetryAfter(ms: number): string {
  const steps = Math.max(1, Math.ceil(ms / RETRY_AFTER_STEP_MS));
  return (steps * RETRY_AFTER_STEP_MS / MS_PER_SECOND).toFixed(2);
}

/** The complete answer of an endpoint. */
export interface CompleteAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Uint8Array;
  /** What showed its end. */
  readonly framing: answerHeads.Framing;
}

/** Options of {@link AnswerWriter}. */
export interface AnswerWriterOptions {
  /**
   * Set if unread bytes are queued within a memory budget; otherwise an endpoint is
   * read only as fast as the caller reads.
   */
  readonly account?: bufferBudget.BufferAccount;
  /** Counts answers that are read before they are passed on, on every site. */
  readonly answerAccount?: bufferBudget.BufferAccount;
  /** Called before the head of the answer is written. */
  readonly handleHead?: () => void;
  /** Called when an answer that has begun is ended before its end. */
  readonly handleTruncation?: (truncation: Truncation) => void;
}

/** Writes the answer to one caller; only one answer can be started. */
export class AnswerWriter {
  readonly #response: ServerResponse;
  /** Counts what is held for this response; undefined if nothing but bodies is. */
  readonly account: bufferBudget.BufferAccount | undefined;
  /** Counts an answer that is read before it is passed on. */
  readonly answerAccount: bufferBudget.BufferAccount | undefined;
  readonly #queue: CallerQueue | undefined;
  readonly #handleHead: () => void;
  readonly #handleTruncation: (truncation: Truncation) => void;
  #isStreaming = false;
  #isTruncated = false;
  /** Monotonic time of the last write of a stream. */
  #writtenAt = performance.now();

  /** @param response The response to the caller. @param options Memory and events. */
  constructor(response: ServerResponse, options: AnswerWriterOptions = {}) {
    const { account, answerAccount } = options;
    const { handleHead = () => {}, handleTruncation = () => {} } = options;
    this.#response = response;
    this.account = account;
    this.answerAccount = answerAccount;
    this.#handleHead = handleHead;
    this.#handleTruncation = handleTruncation;
    if (account !== undefined) {
      this.#queue = new CallerQueue(response, account);
    }
  }

  /** Whether an answer was started. */
  get hasStarted(): boolean {
    return this.#response.headersSent || this.#isStreaming;
  }

  /** Time since bytes of the answer were written, in milliseconds. */
  get silentMs(): number {
    return performance.now() - this.#writtenAt;
  }

  /** Bytes of the answer that are not passed to the kernel yet. */
  get unreadBytes(): number {
    return this.account?.unreadBytes ?? this.#response.writableLength;
  }

  /** Writes an endpoint's answer unchanged. */
  writeComplete(answer: CompleteAnswer): void {
    if (this.#response.destroyed) return;
    this.#handleHead();
    this.#response.writeHead(
      answer.status,
      buildCallerHeaders(answer.headers).flat(),
    );
    if (this.#queue === undefined) {
      // The account gives it back when the response closes.
      const { answer: kind } = bufferBudget.BUFFER_KIND;
      this.answerAccount?.add(kind, answer.body.length);
      this.#response.end(answer.body);
      return;
    }
    this.#queue.write(answer.body);
    this.#queue.close();
  }

  /** Writes a failure of the gateway as JSON, unless an answer was started. */
  writeFailure(failure: codes.Failure): void {
    if (this.#response.destroyed || this.hasStarted) return;
    const row = codes.CODES[failure.code];
    const body = JSON.stringify({
      code: row.code,
      name: failure.code,
      message: failure.message,
      outcome: failure.outcome,
    });
    this.#response.setHeader("content-type", "application/json");
    this.#response.setHeader("content-length", Buffer.byteLength(body));
    if (failure.retryAfterMs !== undefined) {
      const retryAfter = formatRetryAfter(failure.retryAfterMs);
      this.#response.setHeader("retry-after", retryAfter);
    }
    this.#handleHead();
    this.#response.writeHead(row.httpStatus);
    this.#response.end(body);
  }

  /** Starts a streamed answer. */
  startStream(status: number, headers: ReadonlyMap<string, string>): void {
    this.#isStreaming = true;
    if (this.#response.destroyed) return;
    this.#handleHead();
    this.#response.writeHead(status, buildCallerHeaders(headers).flat());
  }

  /** Writes bytes of a stream; false if the caller reads too slowly. */
  writeChunk(chunk: Uint8Array): boolean {
    this.#writtenAt = performance.now();
    if (this.#response.destroyed || chunk.length === 0) return true;
    if (this.#queue !== undefined) return this.#queue.write(chunk);
    return this.#response.write(chunk);
  }

  /** Calls a function once when more may be written. */
  waitForDrain(handle: () => void): void {
    if (this.#queue === undefined) this.#response.once("drain", handle);
    else this.#queue.waitForRoom(handle);
  }

  /** Ends a complete stream. */
  endStream(): void {
    if (this.#queue === undefined) this.#response.end();
    else this.#queue.close();
  }

  /**
   * The same as {@link abort}, after what is queued for the caller.
   *
   * @param truncation Why the answer ends.
   * @param withinMs Time after which the connection closes in any case, in ms.
   */
  abortWhenWritten(truncation: Truncation, withinMs: number): void {
    const response = this.#response;
    if (response.destroyed || this.unreadBytes === 0 || withinMs <= 0) {
      return this.abort(truncation);
    }
    this.#recordTruncation(truncation);
    const timer = setTimeout(() => closeIncomplete(response), withinMs);
    response.once("close", () => clearTimeout(timer));
    if (this.#queue !== undefined) return this.#queue.abortWhenWritten();
    // Its callback runs when all earlier writes have reached the kernel.
    response.write("", () => closeIncomplete(response));
  }

  /** Closes the connection, so that the caller sees an incomplete answer. */
  abort(truncation: Truncation): void {
    this.#recordTruncation(truncation);
    closeIncomplete(this.#response);
  }

  #recordTruncation(truncation: Truncation): void {
    const { destroyed, writableFinished } = this.#response;
    if (
      !this.hasStarted || this.#isTruncated || destroyed || writableFinished
    ) {
      return;
    }
    this.#isTruncated = true;
    this.#handleTruncation(truncation);
  }
}
