/**
 * One HTTP request and its answer, as undici's dispatch handlers.
 *
 * Failures handled here: a connection that goes silent for good shows as bytes
 * that never come. A timer breaks it off and destroys the connection, which so
 * is never used again. What the other side may have done follows from one
 * fact: undici calls `onConnect` before it writes the first byte, so a failure
 * before `onConnect` proves that nothing was sent.
 *
 * @module
 */
import { Err, Ok, type Result } from "ts-results-es";
import type { Dispatcher } from "undici";
import type { PortError, PortErrorKind } from "../error.ts";

/** Bytes of an answer that are held at most; no format here comes near it. */
export const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** What to send and how long to wait. */
export interface HttpRequest {
  readonly method: "GET" | "POST" | "DELETE";
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** JSON text. */
  readonly body?: string;
  readonly timeoutMs: number;
  /** Whether each byte received begins the time limit anew. */
  readonly timeoutIsProgress?: boolean;
  readonly signal?: AbortSignal;
  /** Takes the body of an answer with status 200 in place of holding it. */
  readonly onChunk?: (chunk: Buffer) => void;
}

/** The whole answer. */
export interface HttpAnswer {
  readonly status: number;
  /** Empty where the body went to `onChunk`. */
  readonly text: string;
  readonly getHeader: (name: string) => string | undefined;
}

/** What {@link Exchange} resolves to. */
export type HttpResult = Result<HttpAnswer, PortError>;

/** Runs one request; give it to `dispatch` and wait for `result`. */
export class Exchange implements Dispatcher.DispatchHandlers {
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
  #isDone = false;

  constructor(request: HttpRequest) {
    this.#request = request;
    this.result = new Promise((resolve) => this.#resolve = resolve);
    this.#timer = setTimeout(this.#handleTimeout, request.timeoutMs);
    request.signal?.addEventListener("abort", this.#handleCancel);
    if (request.signal?.aborted) this.#handleCancel();
  }

  onConnect(abort: (error?: Error) => void): void {
    // Given up while it waited for a connection: nothing may be written now.
    if (this.#isDone) return abort();
    this.#isSent = true;
    this.#abort = abort;
  }

  onHeaders(status: number, rawHeaders: Buffer[]): boolean {
    this.#status = status;
    this.#rawHeaders = rawHeaders;
    this.#recordProgress();
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isDone) return true;
    this.#recordProgress();
    this.#byteCount += chunk.length;
    if (this.#byteCount > MAX_ANSWER_BYTES) {
      this.#fail("bad_answer", `Answer exceeds ${MAX_ANSWER_BYTES} bytes`);
    } else if (this.#request.onChunk && this.#status === 200) {
      this.#request.onChunk(chunk);
    } else {
      this.#chunks.push(chunk);
    }
    return true;
  }

  onComplete(): void {
    this.#finish(Ok({
      status: this.#status,
      text: buildText(this.#chunks),
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

  #recordProgress(): void {
    if (this.#request.timeoutIsProgress) this.#timer.refresh();
  }

  #handleTimeout = (): void => {
    const limit = `${this.#request.timeoutMs} ms`;
    if (this.#isSent) this.#fail("timeout", `Nothing came within ${limit}`);
    else this.#fail("not_sent", `No connection within ${limit}`);
  };

  #handleCancel = (): void => {
    if (this.#isSent) this.#fail("cancelled", "Cancelled by the caller");
    else this.#fail("not_sent", "Cancelled before it was sent");
  };

  #fail(kind: PortErrorKind, message: string): void {
    if (this.#isDone) return;
    this.#finish(Err({ kind, message }));
    this.#abort?.();
  }

  #finish(result: HttpResult): void {
    if (this.#isDone) return;
    this.#isDone = true;
    clearTimeout(this.#timer);
    this.#request.signal?.removeEventListener("abort", this.#handleCancel);
    this.#resolve(result);
  }
}

function buildText(chunks: readonly Buffer[]): string {
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
