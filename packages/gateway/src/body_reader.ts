/**
 * Reads the body of a caller's request into memory.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";
import * as codes from "@sardinestep/codes";
import type { IncomingMessage } from "node:http";
import type { ReadTurn, ReadTurns } from "./read_turns.ts";

/** Retry delay for callers when the body buffers are full, in milliseconds. */
const BODY_MEMORY_RETRY_AFTER_MS = 500;

/** Bytes of a chunk beside its size and its part: two line ends. */
const CHUNK_FRAMING_BYTES = 4;

/** What became of a body. */
export type BodyResult =
  | { readonly kind: "complete"; readonly bytes: Uint8Array }
  /** It was not read to its end, so its request has not run. */
  | { readonly kind: "failed"; readonly failure: codes.Failure };

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
  readonly budget: bufferBudget.BufferBudget;
  readonly account: bufferBudget.BufferAccount;
  readonly turns: ReadTurns;
  /** Longest body, in bytes; undefined until a configuration is known. */
  readonly maxBytes: number | undefined;
}

/**
 * Reads one body, until it is complete, too large, or gives way to others.
 *
 * Parts are copied: a part that is kept takes some hundred bytes, however short.
 */
export class BodyReader {
  readonly #request: IncomingMessage;
  readonly #options: BodyReaderOptions;
  readonly #bytes = new bufferBudget.GrowingBuffer();
  readonly #turn: ReadTurn;
  /** Bytes of parts since the last arrival, with the least that frames them. */
  #partBytes = 0;
  #strayBytes = 0;
  #resolve: ((result: BodyResult) => void) | undefined;

  /** @param request The request. @param options Limits and accounts. */
  constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.#request = request;
    this.#options = options;
    this.#turn = options.turns.openTurn(request.socket);
    // By default each part makes the connection go on.
    const readMore = request._read.bind(request);
    request._read = (size) => {
      if (!this.#turn.isPaused) readMore(size);
    };
  }

  /** Whether bytes are missing and none have made up a step of progress lately. */
  get stalledMs(): number {
    return this.#options.account.stalledMs;
  }

  /** Bytes behind the last part, as of a trailer: the parser may hold them. */
  get strayBytes(): number {
    return this.#strayBytes;
  }

  /** Records that so many bytes have arrived on the connection and been parsed. */
  recordArrival(bytes: number): void {
    if (this.#request.complete) {
      this.#strayBytes = 0;
      return;
    }
    const hasParts = this.#partBytes > 0;
    this.#strayBytes = hasParts
      ? Math.max(0, bytes - this.#partBytes)
      : this.#strayBytes + bytes;
    this.#partBytes = 0;
    if (this.#strayBytes > 0) this.#turn.pause();
  }

  /** Reads to the end. */
  read(): Promise<BodyResult> {
    const request = this.#request;
    const { account, budget } = this.#options;
    account.startBody(() => this.fail(createMemoryFailure()));
    return new Promise((resolve) => {
      this.#resolve = resolve;
      request.on("data", this.#handlePart);
      request.once("end", this.#handleEnd);
      // A connection that ends early is no fault of the process.
      request.on("error", this.#handleBroken);
      request.once("close", this.#handleBroken);
      if (!budget.hasRoom(account)) this.fail(createMemoryFailure());
    });
  }

  /**
   * The same as {@link fail}, unless the whole body has arrived.
   *
   * @returns Whether the body was incomplete.
   */
  failIncomplete(failure: codes.Failure): boolean {
    if (this.#request.complete) return false;
    this.fail(failure);
    return true;
  }

  /** Ends the reading; the caller gets the failure. */
  fail(failure: codes.Failure): void {
    this.#settle({ kind: "failed", failure }, 0);
  }

  readonly #handlePart = (part: Uint8Array): void => {
    const { maxBytes, account, budget } = this.#options;
    const receivedBytes = this.#bytes.length + part.length;
    if (maxBytes !== undefined && receivedBytes > maxBytes) {
      return this.fail(createSizeFailure(receivedBytes, maxBytes));
    }
    this.#partBytes += part.length + part.length.toString(16).length +
      CHUNK_FRAMING_BYTES;
    const { capacity } = this.#bytes;
    this.#bytes.append(part);
    const heldBytes = this.#bytes.capacity;
    account.recordBody({ heldBytes, receivedBytes });
    if (heldBytes > capacity && !budget.hasRoom(account)) {
      return this.fail(createMemoryFailure());
    }
    this.#turn.countPart();
  };

  readonly #handleEnd = (): void => {
    // Trailers are not passed on.
    this.#request.rawTrailers.length = 0;
    const bytes = this.#bytes.getBytes();
    this.#settle({ kind: "complete", bytes }, bytes.length);
  };

  readonly #handleBroken = (): void => {
    // The caller disconnected, so nobody will read this failure.
    this.fail(
      codes.createFailure(
        "INVALID_REQUEST",
        "The connection closed before the body was complete",
      ),
    );
  };

  #settle(result: BodyResult, heldBytes: number): void {
    const resolve = this.#resolve;
    if (resolve === undefined) return;
    this.#resolve = undefined;
    this.#request.off("data", this.#handlePart);
    this.#bytes.drop();
    this.#options.account.endBody(heldBytes);
    this.#turn.close();
    resolve(result);
  }
}

/** The failure of a request whose body exceeds the limit. */
export function createSizeFailure(
  bytes: number,
  maxBytes: number,
): codes.Failure {
  return codes.createFailure(
    "BODY_TOO_LARGE",
    `Body of ${bytes} bytes exceeds the limit of ${maxBytes} bytes`,
  );
}

function createMemoryFailure(): codes.Failure {
  return codes.createFailure("QUEUE_FULL", "Request body memory is full", {
    retryAfterMs: BODY_MEMORY_RETRY_AFTER_MS,
  });
}
