/**
 * Checks the lines of a head against the grammar of RFC 9112.
 *
 * @module
 */
import { HEAD_PART, type HeadFault, type HeadPart } from "./head_fault.ts";

const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const COLON = 0x3a;
const DIGIT_ZERO = 0x30;
/** Lowest status of an answer that no other one follows. */
const STATUS_FINAL_MIN = 200;

/** Bytes of header names. */
const NAME_BYTES = buildByteSet((byte) =>
  /[!#$%&'*+\-.^_`|~0-9A-Za-z]/.test(String.fromCharCode(byte))
);
/** Bytes of header values. */
const TEXT_BYTES = buildByteSet((byte) =>
  byte === 0x09 || (byte >= SPACE && byte !== 0x7f)
);

function buildByteSet(isMember: (byte: number) => boolean): readonly boolean[] {
  return Array.from({ length: 256 }, (_, byte) => isMember(byte));
}

/**
 * Checks the heads of one answer as they arrive, interim ones first. It keeps no
 * bytes, and ignores what follows the last head.
 *
 * Parsers take more than this: blanks in names, folded lines. Whatever
 * sends such a head may have lost more of its answer, and callers can't be sent it.
 *
 * @example
 * ```ts
 * const checker = new HeadChecker();
 * checker.start();
 * checker.check(Buffer.from("HTTP/1.1 200 OK\r\n")); // undefined
 * checker.check(Buffer.from("x bad: 1\r\n\r\n")); // byte 0x20 in a header name
 * ```
 */
export class HeadChecker {
  #part: HeadPart = HEAD_PART.body;
  #status = 0;

  /** Takes the next bytes for the start of an answer. */
  start(): void {
    this.#part = HEAD_PART.version;
    this.#status = 0;
  }

  /** Checks the next bytes; gives what is wrong with the head, if anything is. */
  check(bytes: Uint8Array): HeadFault | undefined {
    for (let i = 0; i < bytes.length; i++) {
      if (this.#part === HEAD_PART.body) return undefined;
      const fault = this.#checkByte(bytes[i]!);
      if (fault !== undefined) return fault;
    }
    return undefined;
  }

  #checkByte(byte: number): HeadFault | undefined {
    switch (this.#part) {
      case HEAD_PART.version:
        return byte === SPACE ? this.#enter(HEAD_PART.status) : undefined;
      case HEAD_PART.status:
        return this.#readStatus(byte);
      case HEAD_PART.reason:
        return byte === CR ? this.#enter(HEAD_PART.lineEnd) : undefined;
      case HEAD_PART.value:
        if (byte === CR) return this.#enter(HEAD_PART.lineEnd);
        return TEXT_BYTES[byte] ? undefined : this.#buildFault(byte);
      case HEAD_PART.lineStart:
        if (byte === CR) return this.#enter(HEAD_PART.headEnd);
        this.#part = HEAD_PART.name;
        return NAME_BYTES[byte] ? undefined : this.#buildFault(byte);
      case HEAD_PART.name:
        if (byte === COLON) return this.#enter(HEAD_PART.value);
        return NAME_BYTES[byte] ? undefined : this.#buildFault(byte);
      case HEAD_PART.lineEnd:
        if (byte !== LF) return this.#buildFault(byte);
        return this.#enter(HEAD_PART.lineStart);
      case HEAD_PART.headEnd:
        if (byte !== LF) return this.#buildFault(byte);
        if (this.#status >= STATUS_FINAL_MIN) {
          return this.#enter(HEAD_PART.body);
        }
        this.start();
        return undefined;
      case HEAD_PART.body:
        return undefined;
    }
  }

  /** Reads the status, which shows whether another head follows. */
  #readStatus(byte: number): HeadFault | undefined {
    if (byte === SPACE) return this.#enter(HEAD_PART.reason);
    if (byte === CR) return this.#enter(HEAD_PART.lineEnd);
    this.#status = this.#status * 10 + byte - DIGIT_ZERO;
    return undefined;
  }

  #enter(part: HeadPart): undefined {
    this.#part = part;
    return undefined;
  }

  #buildFault(byte: number): HeadFault {
    return { part: this.#part, byte };
  }
}
