/**
 * Checks the bytes of a head against the grammar of RFC 9112.
 *
 * @module
 */
import {
  HEAD_PART,
  type HeadFault,
  type HeadPart,
  STATUS_MAX,
  STATUS_MIN,
} from "./head_fault.ts";

const CR = 0x0d;
const LF = 0x0a;
const SPACE = 0x20;
const COLON = 0x3a;
const DIGIT_ZERO = 0x30;
const DIGIT_NINE = 0x39;
const VERSION_START = Buffer.from("HTTP/1.");
const STATUS_DIGITS = 3;
const STATUS_SWITCHING_PROTOCOLS = 101;
/** Lowest status of an answer that no other one follows. */
const STATUS_FINAL_MIN = 200;

/** Bytes of header names. */
const NAME_BYTES = buildByteSet((byte) =>
  /[!#$%&'*+\-.^_`|~0-9A-Za-z]/.test(String.fromCharCode(byte))
);
/** Bytes of header values and reason phrases. */
const TEXT_BYTES = buildByteSet((byte) =>
  byte === 0x09 || (byte >= SPACE && byte !== 0x7f)
);

function buildByteSet(isMember: (byte: number) => boolean): Uint8Array {
  return Uint8Array.from({ length: 256 }, (_, byte) => isMember(byte) ? 1 : 0);
}

/** Parts that may have any number of bytes, and these bytes. */
const RUN_BYTES: Readonly<Partial<Record<HeadPart, Uint8Array>>> = {
  [HEAD_PART.reason]: TEXT_BYTES,
  [HEAD_PART.name]: NAME_BYTES,
  [HEAD_PART.value]: TEXT_BYTES,
};

/**
 * Checks the heads of one answer as they arrive, interim ones first. It keeps no
 * bytes, and ignores what follows the last head.
 *
 * Parsers take more than this: blanks in names, folded lines, any version. Whatever
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
  /** Bytes of the version or the status so far. */
  #offset = 0;
  #status = 0;
  #isHttp10 = false;

  /** Whether the version is HTTP/1.0, which knows no transfer codings. */
  get isHttp10(): boolean {
    return this.#isHttp10;
  }

  /** Takes the next bytes for the start of an answer. */
  start(): void {
    this.#part = HEAD_PART.version;
    this.#offset = 0;
    this.#status = 0;
  }

  /** Checks the next bytes; gives what is wrong with the head, if anything is. */
  check(bytes: Uint8Array): HeadFault | undefined {
    let at = this.#skipRun(bytes, 0);
    while (at < bytes.length && this.#part !== HEAD_PART.body) {
      const fault = this.#checkByte(bytes[at]!);
      if (fault !== undefined) return fault;
      at = this.#skipRun(bytes, at + 1);
    }
    return undefined;
  }

  /** Skips bytes that leave a name or a text where it is; gives where they end. */
  #skipRun(bytes: Uint8Array, start: number): number {
    const allowed = RUN_BYTES[this.#part];
    if (allowed === undefined) return start;
    let end = start;
    while (end < bytes.length && allowed[bytes[end]!] === 1) end++;
    return end;
  }

  #checkByte(byte: number): HeadFault | undefined {
    switch (this.#part) {
      case HEAD_PART.version:
        return this.#checkVersion(byte);
      case HEAD_PART.status:
        return this.#checkStatus(byte);
      case HEAD_PART.reason:
      case HEAD_PART.value:
        if (byte === CR) return this.#enter(HEAD_PART.lineEnd);
        return this.#buildFault(byte);
      case HEAD_PART.lineStart:
        if (byte === CR) return this.#enter(HEAD_PART.headEnd);
        this.#part = HEAD_PART.name;
        return NAME_BYTES[byte] ? undefined : this.#buildFault(byte);
      case HEAD_PART.name:
        if (byte === COLON) return this.#enter(HEAD_PART.value);
        return this.#buildFault(byte);
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

  #checkVersion(byte: number): HeadFault | undefined {
    const offset = this.#offset++;
    if (offset < VERSION_START.length) {
      return byte === VERSION_START[offset]
        ? undefined
        : this.#buildFault(byte);
    }
    if (offset > VERSION_START.length) {
      if (byte !== SPACE) return this.#buildFault(byte);
      this.#offset = 0;
      return this.#enter(HEAD_PART.status);
    }
    this.#isHttp10 = byte === DIGIT_ZERO;
    const isKnown = this.#isHttp10 || byte === DIGIT_ZERO + 1;
    return isKnown ? undefined : this.#buildFault(byte);
  }

  #checkStatus(byte: number): HeadFault | undefined {
    if (this.#offset++ < STATUS_DIGITS) {
      if (byte < DIGIT_ZERO || byte > DIGIT_NINE) return this.#buildFault(byte);
      this.#status = this.#status * 10 + byte - DIGIT_ZERO;
      return this.#offset === STATUS_DIGITS
        ? checkStatus(this.#status)
        : undefined;
    }
    if (byte === SPACE) return this.#enter(HEAD_PART.reason);
    if (byte === CR) return this.#enter(HEAD_PART.lineEnd);
    return this.#buildFault(byte);
  }

  #enter(part: HeadPart): undefined {
    this.#part = part;
    return undefined;
  }

  #buildFault(byte: number): HeadFault {
    return { kind: "byte", part: this.#part, byte };
  }
}

/** Checks a status; nothing here asks for another protocol. */
export function checkStatus(status: number): HeadFault | undefined {
  const isKnown = status >= STATUS_MIN && status <= STATUS_MAX;
  if (!isKnown) return { kind: "status", status };
  return status === STATUS_SWITCHING_PROTOCOLS
    ? { kind: "unasked", status }
    : undefined;
}

/**
 * Checks headers or trailers after a parser.
 *
 * @param raw Alternating names and values.
 * @example
 * ```ts
 * checkFields([Buffer.from("x-a"), Buffer.from("1")]); // undefined
 * ```
 */
export function checkFields(
  raw: readonly Uint8Array[],
): HeadFault | undefined {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!;
    // Nothing stands for the colon of a line without a name.
    if (name.length === 0) {
      return { kind: "byte", part: HEAD_PART.name, byte: COLON };
    }
    const fault = checkBytes(name, HEAD_PART.name, NAME_BYTES) ??
      checkBytes(raw[i + 1]!, HEAD_PART.value, TEXT_BYTES);
    if (fault !== undefined) return fault;
  }
  return undefined;
}

function checkBytes(
  bytes: Uint8Array,
  part: HeadPart,
  allowed: Uint8Array,
): HeadFault | undefined {
  const byte = bytes.find((byte) => !allowed[byte]);
  return byte === undefined ? undefined : { kind: "byte", part, byte };
}
