/**
 * Cuts a stream of server-sent events where one event ends.
 *
 * @module
 */

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Longest event that is held; a longer one can't be resumed after a break. */
export const MAX_EVENT_BYTES = 1_048_576;

/**
 * Gives whole events only, and remembers the id of the last one.
 *
 * Guards against an event that is cut where its endpoint broke: joined with the
 * rest of the stream from another endpoint it would reach the caller garbled or
 * twice. What isn't whole is kept back until its end has come.
 */
export class EventCutter {
  #rest = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Whether the last event is not whole. */
  get hasRest(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes bytes and gives those up to the end of the last whole event. */
  cut(chunk: Uint8Array): Uint8Array {
    const bytes = Buffer.concat([this.#rest, chunk]);
    const end = findLastEventEnd(bytes);
    const whole = bytes.subarray(0, end);
    this.#rest = bytes.subarray(end);
    this.#lastEventId = findLastId(whole) ?? this.#lastEventId;
    return whole;
  }

  /** Forgets what wasn't whole; the next endpoint sends it from the start. */
  dropRest(): void {
    this.#rest = Buffer.alloc(0);
  }
}

/** An event ends with an empty line; line ends may be LF or CR LF. */
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

function findLastId(whole: Uint8Array): string | undefined {
  const text = Buffer.from(whole).toString("utf8");
  const ids = [...text.matchAll(/^id:[ ]?(.*?)\r?$/gm)];
  return ids.at(-1)?.[1];
}
