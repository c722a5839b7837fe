/**
 * Writes answers to callers.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type { ServerResponse } from "node:http";

/** Headers that concern one connection only, or that are computed anew. */
const OWN_HEADERS = new Set([
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

/** Gives an endpoint's headers without those of its connection. */
export function buildCallerHeaders(
  headers: ReadonlyMap<string, string>,
): [string, string][] {
  return [...headers].filter(([name]) => !OWN_HEADERS.has(name));
}

/**
 * Formats a time to come back in seconds, rounded up: whoever comes earlier is
 * refused again.
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

/** An endpoint's whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Uint8Array;
}

/** Writes answers to one caller; at most one of its methods begins an answer. */
export class AnswerWriter {
  readonly #response: ServerResponse;
  #isStreaming = false;

  /** @param response The caller's response. */
  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Whether anything of an answer was written. */
  get hasBegun(): boolean {
    return this.#response.headersSent || this.#isStreaming;
  }

  /** Writes an endpoint's answer unchanged. */
  writeWhole(answer: WholeAnswer): void {
    if (this.#response.destroyed) return;
    this.#response.writeHead(
      answer.status,
      buildCallerHeaders(answer.headers).flat(),
    );
    this.#response.end(answer.body);
  }

  /** Writes a failure of the system's own. */
  writeFailure(failure: codes.Failure): void {
    if (this.#response.destroyed || this.hasBegun) return;
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
    this.#response.writeHead(row.httpStatus);
    this.#response.end(body);
  }

  /** Begins a streamed answer. */
  startStream(status: number, headers: ReadonlyMap<string, string>): void {
    this.#isStreaming = true;
    if (this.#response.destroyed) return;
    this.#response.writeHead(status, buildCallerHeaders(headers).flat());
  }

  /** Writes bytes of a stream; false when the caller reads too slowly. */
  writeChunk(chunk: Uint8Array): boolean {
    if (this.#response.destroyed || chunk.length === 0) return true;
    return this.#response.write(chunk);
  }

  /** Calls a function once when the caller has read what was written. */
  waitForDrain(handle: () => void): void {
    this.#response.once("drain", handle);
  }

  /** Ends a whole stream. */
  endStream(): void {
    this.#response.end();
  }

  /** Ends an answer that isn't whole, so that it can't look whole. */
  breakOff(): void {
    this.#response.destroy();
  }
}
