/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * @module
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Longest event that is passed on, in bytes; a longer one can't be resumed. */
export const MAX_EVENT_BYTES = 1_048_576;

/**
 * Passes on complete events only and remembers the id of the last one.
 *
 * An incomplete event is buffered until its end arrives. If an endpoint failed in
 * the middle of an event that was partly passed on, the rest of the stream from
 * another endpoint would reach the caller garbled or with a duplicate.
 */
export class EventBuffer {
  #partial = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** @param lastEventId Id of the event after which the stream begins. */
  constructor(lastEventId?: string) {
    this.#lastEventId = lastEventId;
  }

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartial(): boolean {
    return this.#partial.length > 0;
  }

  /** Appends bytes and returns all bytes up to the last complete event's end. */
  takeCompleteEvents(chunk: Uint8Array): Uint8Array {
    const bytes = Buffer.concat([this.#partial, chunk]);
    const end = findLastEventEnd(bytes);
    const complete = bytes.subarray(0, end);
    this.#partial = bytes.subarray(end);
    this.#lastEventId = findLastId(complete) ?? this.#lastEventId;
    return complete;
  }

  /** Drops an incomplete event; the next endpoint sends it from its start. */
  dropPartial(): void {
    this.#partial = Buffer.alloc(0);
  }
}

/** Follows a stream that is passed on as it arrives, up to the end of its events. */
export class EventTail {
  #last = Buffer.alloc(0);

  /** Whether the stream ended inside an event. */
  get hasPartial(): boolean {
    return this.#last.length > 0 &&
      findLastEventEnd(this.#last) < this.#last.length;
  }

  /** Appends bytes of the stream. */
  add(chunk: Uint8Array): void {
    this.#last = Buffer.concat([this.#last, chunk]).subarray(-EVENT_END_BYTES);
  }
}

/** Bytes that show the longest end of an event: LF CR LF. */
const EVENT_END_BYTES = 3;

/** Events end with an empty line; lines end with LF or CR LF. */
function findLastEventEnd(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i--) {
    if (bytes[i] !== LINE_FEED) continue;
    if (bytes[i - 1] === LINE_FEED) return i + 1;
    const isEmptyLine = bytes[i - 1] === CARRIAGE_RETURN &&
      i > 1 && bytes[i - 2] === LINE_FEED;
    if (isEmptyLine) return i + 1;
  }
  return 0;
}

function findLastId(complete: Uint8Array): string | undefined {
  const text = Buffer.from(complete).toString("utf8");
  const ids = [...text.matchAll(/^id:[ ]?(.*?)\r?$/gm)];
  return ids.at(-1)?.[1];
}
