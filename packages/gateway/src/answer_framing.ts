/**
 * Limits the bytes of an answer that are not its body: status line, headers, interim
 * answers, sizes and extensions of chunks, trailers.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Longest fields of one head or trailer, in bytes. */
export const MAX_HEAD_BYTES = 16_384;
/** Bytes beside the body that each answer may have. */
export const MAX_FRAMING_BYTES = 65_536;
/** Further ones for each byte of the body; a chunk of 1 byte has 5. */
export const FRAMING_RATIO = 8;

/** Bytes of an answer so far. */
export interface AnswerBytes {
  readonly bodyBytes: number;
  /** All others. */
  readonly framingBytes: number;
}

/**
 * Whether an answer has more bytes beside its body than any proper one.
 *
 * Load: an endpoint that sends header lines, interim answers or chunk extensions
 * without an end. The parser reads most of them without a limit.
 *
 * @example
 * ```ts
 * isFramingExcessive({ bodyBytes: 0, framingBytes: 400 }); // false
 * ```
 */
export function isFramingExcessive(
  { bodyBytes, framingBytes }: AnswerBytes,
): boolean {
  return framingBytes > MAX_FRAMING_BYTES + FRAMING_RATIO * bodyBytes;
}

/** Counts the bytes that are read from a connection, from its creation on. */
export class AnswerMeter implements AnswerBytes {
  readonly #socket: Socket;
  readonly #startBytes: number;
  #bodyBytes = 0;

  /** @param socket The connection of the answer. */
  constructor(socket: Socket) {
    this.#socket = socket;
    this.#startBytes = getParsedBytes(socket);
  }

  /** Bytes of the body. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** All other bytes that were parsed. */
  get framingBytes(): number {
    return getParsedBytes(this.#socket) - this.#startBytes - this.#bodyBytes;
  }

  /** Counts bytes of the body. */
  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }
}

/** Bytes that have been taken from the buffer of a connection. */
function getParsedBytes(socket: Socket): number {
  return socket.bytesRead - socket.readableLength;
}
