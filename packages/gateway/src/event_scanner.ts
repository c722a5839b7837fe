/**
 * Follows the events of a stream, however its bytes are divided.
 *
 * @module
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
const ID_FIELD = Buffer.from("id:");
const SPACE = 32;
const EMPTY = Buffer.alloc(0);
/** Digits of whole numbers that compare exactly as numbers. */
const MAX_SAFE_DIGITS = 15;
/** Longest id of an event, in bytes. */
export const MAX_ID_BYTES = 256;
/** Start of a divided line that is kept until its end arrives, in bytes. */
const MAX_KEPT_BYTES = MAX_ID_BYTES + 16;
/** Characters of an id that a message quotes. */
const MAX_QUOTED_LENGTH = 40;
const WHOLE_NUMBER_PATTERN = /^[0-9]+$/;
/** Bytes that a header may not have, and so no `Last-Event-Id`. */
// deno-lint-ignore no-control-regex
const CONTROL_BYTE_PATTERN = /[\0-\x08\x0a-\x1f\x7f]/;

/** How far a stream has come. */
export interface StreamPosition {
  /** Complete events so far. */
  readonly events: number;
  /** Id of the last complete event that has one. */
  readonly lastEventId: string | undefined;
}

/** Position of a stream that has not begun. */
export const STREAM_START: StreamPosition = {
  events: 0,
  lastEventId: undefined,
};

/** What the next bytes of a stream hold. */
export type ScanStep =
  | { readonly kind: "inOrder" }
  /** An event has an id with which no stream goes on. */
  | {
    readonly kind: "badId";
    /** Bytes up to the end of the last event before it; 0 if none ended here. */
    readonly goodBytes: number;
    /** What is wrong with the id. */
    readonly message: string;
  };

const IN_ORDER: ScanStep = { kind: "inOrder" };

/**
 * Counts complete events, remembers the id of the last one and checks that ids that
 * are whole numbers increase. Other ids can't be compared.
 */
export class EventScanner implements StreamPosition {
  events: number;
  lastEventId: string | undefined;
  /** Id of the event that the caller has of an earlier answer. */
  #startId: string | undefined;
  #line: Uint8Array = EMPTY;
  #eventId: string | undefined;
  #hasField = false;

  /** @param after Where the events that follow go on. */
  constructor(after: StreamPosition = STREAM_START) {
    this.events = after.events;
    this.lastEventId = after.lastEventId;
  }

  /** Sets the id after which the first event has to come. */
  setStart(lastEventId: string | undefined): void {
    this.#startId = lastEventId;
  }

  /** Takes the next bytes of the stream. After a bad id, the next event is a new one. */
  add(chunk: Uint8Array): ScanStep {
    let start = 0;
    let goodBytes = 0;
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, start);
      if (end < 0) {
        this.#keep(chunk, start);
        return IN_ORDER;
      }
      const line = this.#takeLine(chunk, start, end);
      start = end + 1;
      if (line.length === 0) {
        this.#handleEvent();
        goodBytes = start;
        continue;
      }
      const message = this.#handleField(line);
      if (message === undefined) continue;
      this.#hasField = false;
      this.#eventId = undefined;
      return { kind: "badId", goodBytes, message };
    }
  }

  #keep(chunk: Uint8Array, start: number): void {
    const missing = MAX_KEPT_BYTES - this.#line.length;
    if (start === chunk.length || missing <= 0) return;
    const part = chunk.subarray(start, start + missing);
    this.#line = Buffer.concat([this.#line, part]);
  }

  /** Returns a line without its end, and no more than its start if it was divided. */
  #takeLine(chunk: Uint8Array, start: number, end: number): Uint8Array {
    let line = chunk.subarray(start, end);
    if (this.#line.length > 0) {
      this.#keep(line, 0);
      line = this.#line;
      this.#line = EMPTY;
    }
    return line.at(-1) === CARRIAGE_RETURN ? line.subarray(0, -1) : line;
  }

  /** Returns what is wrong with the id in a line; undefined if nothing is. */
  #handleField(line: Uint8Array): string | undefined {
    if (line[0] === COLON) return undefined;
    this.#hasField = true;
    if (!isIdField(line)) return undefined;
    const at = ID_FIELD.length + (line[ID_FIELD.length] === SPACE ? 1 : 0);
    // Headers carry the bytes of an id as they are.
    const id = Buffer.from(line.subarray(at, at + MAX_ID_BYTES + 1))
      .toString("latin1");
    this.#eventId = id;
    return checkId(id, this.lastEventId ?? this.#startId);
  }

  #handleEvent(): void {
    if (!this.#hasField) return;
    this.events += 1;
    this.lastEventId = this.#eventId ?? this.lastEventId;
    this.#hasField = false;
    this.#eventId = undefined;
  }
}

function isIdField(line: Uint8Array): boolean {
  for (let i = 0; i < ID_FIELD.length; i++) {
    if (line[i] !== ID_FIELD[i]) return false;
  }
  return true;
}

/** Returns what is wrong with an id after another one; undefined if nothing is. */
function checkId(id: string, previous: string | undefined): string | undefined {
  if (id.length > MAX_ID_BYTES) {
    return `Event id ${
      quoteId(id)
    } is too long: expected at most ${MAX_ID_BYTES} bytes`;
  }
  if (CONTROL_BYTE_PATTERN.test(id)) {
    return `Event id ${quoteId(id)} has a control byte`;
  }
  if (previous === undefined || isIncreasing(previous, id)) return undefined;
  return `Event id ${quoteId(id)} does not follow ${quoteId(previous)}`;
}

/** Whether an id may come after another one; true if they can't be compared. */
function isIncreasing(previous: string, id: string): boolean {
  if (!WHOLE_NUMBER_PATTERN.test(previous) || !WHOLE_NUMBER_PATTERN.test(id)) {
    return true;
  }
  if (Math.max(previous.length, id.length) <= MAX_SAFE_DIGITS) {
    return Number(id) > Number(previous);
  }
  return BigInt(id) > BigInt(previous);
}

function quoteId(id: string): string {
  return JSON.stringify(
    id.length > MAX_QUOTED_LENGTH ? `${id.slice(0, MAX_QUOTED_LENGTH)}...` : id,
  );
}
