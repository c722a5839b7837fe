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
/** Start of a divided line that is kept until its end arrives, in bytes. */
const MAX_KEPT_BYTES = 256;

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

/** Counts complete events and remembers the id of the last one. */
export class EventScanner implements StreamPosition {
  events: number;
  lastEventId: string | undefined;
  #line: Uint8Array = Buffer.alloc(0);
  #eventId: string | undefined;
  #hasField = false;

  /** @param after Where the events that follow go on. */
  constructor(after: StreamPosition = STREAM_START) {
    this.events = after.events;
    this.lastEventId = after.lastEventId;
  }

  /** Takes the next bytes of the stream. */
  add(chunk: Uint8Array): void {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, start);
      if (end < 0) return this.#keep(chunk.subarray(start));
      const rest = chunk.subarray(start, end);
      this.#handleLine(
        this.#line.length > 0 ? Buffer.concat([this.#line, rest]) : rest,
      );
      this.#line = this.#line.subarray(0, 0);
      start = end + 1;
    }
  }

  #keep(part: Uint8Array): void {
    const missing = MAX_KEPT_BYTES - this.#line.length;
    if (part.length === 0 || missing <= 0) return;
    this.#line = Buffer.concat([this.#line, part.subarray(0, missing)]);
  }

  #handleLine(line: Uint8Array): void {
    const length = line.at(-1) === CARRIAGE_RETURN
      ? line.length - 1
      : line.length;
    if (length === 0) return this.#handleEvent();
    if (line[0] === COLON) return;
    this.#hasField = true;
    if (!ID_FIELD.every((byte, i) => line[i] === byte)) return;
    const at = ID_FIELD.length + (line[ID_FIELD.length] === SPACE ? 1 : 0);
    this.#eventId = Buffer.from(line.subarray(at, length)).toString("utf8");
  }

  #handleEvent(): void {
    if (!this.#hasField) return;
    this.events += 1;
    this.lastEventId = this.#eventId ?? this.lastEventId;
    this.#hasField = false;
    this.#eventId = undefined;
  }
}
