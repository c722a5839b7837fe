/**
 * One HTTP request and its response, as undici dispatch handlers.
 *
 * If a connection goes silent for good, no more bytes arrive. A timer then aborts
 * the request and destroys the connection, so that it is never reused. undici calls
 * `onConnect` before it writes the first byte, so a failure before `onConnect`
 * proves that nothing was sent.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "undici";
import type { PortError, PortErrorKind } from "../error.ts";

/** Maximum size of a response; far above what any protocol here needs. */
export const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** An HTTP request and its timeout. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text. */
  readonly body?: string;
  readonly timeoutMs: number;
  /** Whether received data restarts the timeout. */
  readonly timeoutIsProgress?: boolean;
  readonly signal?: AbortSignal;
  /** Receives the body of a response with status 200, which is then not buffered. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  /** Empty if the body was passed to `onChunk`. */
  readonly text: string;
  readonly getHeader: (name: string) => string | undefined;
}

/** The result of an {@link HttpExchange}. */
export type HttpResult = Result<HttpResponse, PortError>;

/** Runs one request: pass it to `dispatch` and await `result`. */
export class HttpExchange implements Dispatcher.DispatchHandlers {
  readonly result: Promise<HttpResult>;
  readonly #request: HttpRequest;
  readonly #timer: NodeJS.Timeout;
  readonly #chunks: Buffer[] = [];
  #resolve!: (result: HttpResult) => void;
  #abort?: (error?: Error) => void;
  #rawHeaders: Buffer[] = [];
  #status = 0;
  #byteCount = 0;
  #isSent = false;
  #isSettled = false;

  constructor(request: HttpRequest) {
    this.#request = request;
    this.result = new Promise((resolve) => this.#resolve = resolve);
    this.#timer = setTimeout(this.#handleTimeout, request.timeoutMs);
    request.signal?.addEventListener("abort", this.#handleCancel);
    if (request.signal?.aborted) this.#handleCancel();
  }

  onConnect(abort: (error?: Error) => void): void {
    // Aborted while it waited for a connection: nothing may be written any more.
    if (this.#isSettled) return abort();
    this.#isSent = true;
    this.#abort = abort;
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    this.#status = status;
    this.#rawHeaders = rawHeaders;
    this.#recordProgress();
    const fault = this.#checkHead(status, rawHeaders);
    if (fault !== undefined) {
      this.#fail("bad_answer", answerHeads.formatFault(fault));
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isSettled) return true;
    this.#recordProgress();
    this.#byteCount += chunk.length;
    if (this.#byteCount > MAX_RESPONSE_BYTES) {
      this.#fail("bad_answer", `Answer exceeds ${MAX_RESPONSE_BYTES} bytes`);
    } else if (this.#request.onChunk && this.#status === 200) {
      this.#request.onChunk(chunk);
    } else {
      this.#chunks.push(chunk);
    }
    return true;
  }

  onComplete(): void {
    this.#settle(Ok({
      status: this.#status,
      text: decodeBody(this.#chunks),
      getHeader: (name) => findHeader(this.#rawHeaders, name),
    }));
  }

  onError(error: Error): void {
    const code = (error as NodeJS.ErrnoException).code ?? "";
    if (!this.#isSent) {
      this.#fail("not_sent", `Cannot connect: ${error.message}`);
    } else if (code.startsWith("HPE_")) {
      this.#fail("bad_answer", `Cannot parse the answer: ${error.message}`);
    } else {
      this.#fail("answer_lost", `Connection broke: ${error.message}`);
    }
  }

  #checkHead(
    status: number,
    rawHeaders: Buffer[],
  ): answerHeads.HeadFault | undefined {
    const { method, headers = {} } = this.#request;
    const fields = Object.entries(headers).flat();
    const head = { status, headers: answerHeads.buildHeaderMap(rawHeaders) };
    return answerHeads.checkStatus(status) ??
      answerHeads.checkFields(rawHeaders) ??
      answerHeads.checkFraming(head, { method, headers: fields });
  }

  #recordProgress(): void {
    if (this.#request.timeoutIsProgress) this.#timer.refresh();
  }

  #handleTimeout = (): void => {
    const limit = `${this.#request.timeoutMs} ms`;
    if (this.#isSent) this.#fail("timeout", `No data within ${limit}`);
    else this.#fail("not_sent", `No connection within ${limit}`);
  };

  #handleCancel = (): void => {
    if (this.#isSent) this.#fail("cancelled", "Cancelled by the caller");
    else this.#fail("not_sent", "Cancelled before it was sent");
  };

  #fail(kind: PortErrorKind, message: string): void {
    if (this.#isSettled) return;
    this.#settle(Err({ kind, message }));
    this.#abort?.();
  }

  #settle(result: HttpResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#request.signal?.removeEventListener("abort", this.#handleCancel);
    this.#resolve(result);
  }
}

function decodeBody(chunks: readonly Buffer[]): string {
  if (chunks.length === 0) return "";
  if (chunks.length === 1) return chunks[0].toString();
  return Buffer.concat(chunks).toString();
}

function findHeader(rawHeaders: Buffer[], name: string): string | undefined {
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index].toString().toLowerCase() === name) {
      return rawHeaders[index + 1].toString();
    }
  }
  return undefined;
}
