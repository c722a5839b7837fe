/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";
import {
  EventScanner,
  type ScanStep,
  type StreamPosition,
} from "./event_scanner.ts";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
const EMPTY = Buffer.alloc(0);

/** Longest event of a stream, in bytes. */
export const MAX_EVENT_BYTES = 1_048_576;

/** What a part of a stream completed. */
export type EventStep =
  /** All bytes up to the end of the last complete event; they may be none. */
  | { readonly kind: "events"; readonly bytes: Uint8Array }
  /** An event has an id with which no stream goes on. */
  | {
    readonly kind: "badId";
    /** All bytes up to the end of the event before it; they may be none. */
    readonly bytes: Uint8Array;
    /** What is wrong with the id. */
    readonly message: string;
  }
  /** An event exceeds {@link MAX_EVENT_BYTES}. */
  | { readonly kind: "tooLong" };

/** Where a stream goes on at another endpoint. */
export interface ResumePosition extends StreamPosition {
  /** Whether an event after the last complete one had begun. */
  readonly isEventDue?: boolean;
}

/**
 * Passes on complete events only and remembers the id of the last one.
 *
 * An incomplete event is buffered until its end arrives. If an endpoint failed in
 * the middle of an event that was partly passed on, the rest of the stream from
 * another endpoint would reach the caller garbled or with a duplicate.
 */
export class EventBuffer implements ResumePosition {
  readonly #partial = new bufferBudget.GrowingBuffer();
  readonly #scanner: EventScanner;
  #isEventDue: boolean;

  /** @param after Where the stream goes on; at its start if unset. */
  constructor(after?: ResumePosition) {
    this.#scanner = new EventScanner(after);
    this.#isEventDue = after?.isEventDue ?? false;
  }

  /**
   * Sets the id after which the first event has to come.
   *
   * @param lastEventId The event that the caller has of an earlier answer, if any.
   */
  setStart(lastEventId: string | undefined): void {
    this.#scanner.setStart(lastEventId);
  }

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#scanner.lastEventId;
  }

  /** Complete events so far. */
  get events(): number {
    return this.#scanner.events;
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes(): number {
    return this.#partial.capacity;
  }

  /** Whether an event after the last complete one had begun, here or elsewhere. */
  get isEventDue(): boolean {
    return this.#isEventDue || hasEventStart(this.#partial.getBytes());
  }

  /** Whether an incomplete event is buffered. */
  get hasPartial(): boolean {
    return this.#partial.length > 0;
  }

  /**
   * Appends bytes and returns all bytes up to the last complete event's end. Drops
   * an event that is too long, and one with a bad id with all that follows it.
   */
  takeCompleteEvents(chunk: Uint8Array): EventStep {
    const overlap = this.#partial.getLast(EVENT_END_BYTES - 1);
    const end = findEventEnd(overlap, chunk);
    const isEnd = end > 0;
    const partialBytes = isEnd
      ? chunk.length - end
      : this.#partial.length + chunk.length;
    const completeBytes = isEnd ? this.#partial.length + end : 0;
    if (Math.max(partialBytes, completeBytes) > MAX_EVENT_BYTES) {
      this.dropPartial();
      this.#isEventDue = true;
      return { kind: "tooLong" };
    }
    const complete = isEnd ? this.#takePartial(chunk.subarray(0, end)) : EMPTY;
    this.#partial.append(isEnd ? chunk.subarray(end) : chunk);
    const { events } = this;
    const step = buildStep(complete, this.#scanner.add(complete));
    if (this.events > events) this.#isEventDue = false;
    if (step.kind === "badId") this.dropPartial();
    return step;
  }

  /** Drops an incomplete event; the next endpoint sends it from its start. */
  dropPartial(): void {
    this.#isEventDue = this.isEventDue;
    this.#partial.drop();
  }

  /** Takes what is buffered, with the bytes that complete it. */
  #takePartial(rest: Uint8Array): Uint8Array {
    const complete = Buffer.concat([this.#partial.getBytes(), rest]);
    this.#partial.drop();
    return complete;
  }
}

/** Follows a stream that is passed on as it arrives, up to the end of its events. */
export class EventTail implements StreamPosition {
  readonly #scanner = new EventScanner();
  #last = Buffer.alloc(0);
  #partialBytes = 0;

  /** Id of the last complete event. */
  get lastEventId(): string | undefined {
    return this.#scanner.lastEventId;
  }

  /** Complete events so far. */
  get events(): number {
    return this.#scanner.events;
  }

  /** Whether the stream ended inside an event. */
  get hasPartial(): boolean {
    return this.#last.length > 0 &&
      findLastEventEnd(this.#last) < this.#last.length;
  }

  /** Whether the event at the end of the stream exceeds {@link MAX_EVENT_BYTES}. */
  get isTooLong(): boolean {
    return this.#partialBytes > MAX_EVENT_BYTES;
  }

  /** Appends bytes of the stream and returns those that may be passed on. */
  add(chunk: Uint8Array): EventStep {
    const scan = this.#scanner.add(chunk);
    const end = findEventEnd(this.#last, chunk);
    this.#partialBytes = end > 0
      ? chunk.length - end
      : this.#partialBytes + chunk.length;
    const last = Buffer.concat([
      this.#last,
      chunk.subarray(-EVENT_END_BYTES),
    ]);
    this.#last = last.subarray(-EVENT_END_BYTES);
    const isTooLong = scan.kind === "inOrder" && this.isTooLong;
    return isTooLong ? { kind: "tooLong" } : buildStep(chunk, scan);
  }
}

function buildStep(bytes: Uint8Array, scan: ScanStep): EventStep {
  switch (scan.kind) {
    case "inOrder":
      return { kind: "events", bytes };
    case "badId": {
      const { goodBytes, message } = scan;
      return { kind: "badId", bytes: bytes.subarray(0, goodBytes), message };
    }
  }
}

/** Bytes that show the longest end of an event: LF CR LF. */
const EVENT_END_BYTES = 3;

/**
 * Finds where the last event ends in a chunk, after the bytes before it; 0 if none
 * does. It copies no chunk: streams without an end would fill the memory with copies.
 */
function findEventEnd(before: Uint8Array, chunk: Uint8Array): number {
  const end = findLastEventEnd(chunk);
  if (end > 0) return end;
  const start = chunk.subarray(0, EVENT_END_BYTES - 1);
  const joined = Buffer.concat([before, start]);
  return Math.max(0, findLastEventEnd(joined) - before.length);
}

/** Whether a line begins in the bytes that is neither empty nor a comment. */
function hasEventStart(bytes: Uint8Array): boolean {
  let start = 0;
  while (start < bytes.length) {
    const first = bytes[start];
    const isField = first !== COLON && first !== LINE_FEED &&
      first !== CARRIAGE_RETURN;
    if (isField) return true;
    const end = bytes.indexOf(LINE_FEED, start);
    if (end < 0) return false;
    start = end + 1;
  }
  return false;
}

/** Events end with an empty line; lines end with LF or CR LF. */
function findLastEventEnd(bytes: Uint8Array): number {
  for (let i = bytes.length - 1; i > 0; i--) {
    if (bytes[i] !== LINE_FEED) continue;
    if (bytes[i - 1] === LINE_FEED) return i + 1;
    const isEmptyLine = bytes[i - 1] === CARRIAGE_RETURN &&
      i > 1 && bytes[i - 2] === LINE_FEED;
    if (isEmptyLine) return i + 1;
  }
  return 0;
}
