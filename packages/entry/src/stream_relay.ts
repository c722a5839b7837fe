/**
 * Relays the parts of a streamed answer from one call at a time.
 *
 * @module
 */
import type { OutputPart } from "@sardinestep/ports";
import type { CallId } from "@sardinestep/types";
import type { PartSink } from "./context.ts";

/**
 * Prevents mixed streams: a hedged or retried generator call produces a different
 * text than the first one. The caller gets the parts of one call only; when that
 * call fails, a restart event voids the parts sent so far.
 */
export class StreamRelay {
  readonly #sink: PartSink;
  #owner: CallId | undefined;
  #hasSentParts = false;
  /** Calls of which a part was dropped. */
  readonly #incompleteCalls = new Set<CallId>();
  /** Number of dropped parts, received from calls that did not own the stream. */
  droppedParts = 0;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /**
   * Relays a part if its call owns the stream; the first call with a part owns it.
   *
   * A call whose parts were dropped never becomes the owner, since the caller would
   * receive its text without the beginning. Its whole text is sent when it finishes.
   */
  handlePart(callId: CallId, part: OutputPart): void {
    const mayOwn = !this.#incompleteCalls.has(callId);
    if (mayOwn) this.#owner ??= callId;
    if (this.#owner !== callId) {
      this.#incompleteCalls.add(callId);
      this.droppedParts += 1;
      return;
    }
    this.#hasSentParts = true;
    this.#sink.sendPart(part.sequence, part.text);
  }

  /** Handles a failed call: if it owned the stream, its parts are voided. */
  handleFailed(callId: CallId): void {
    if (this.#owner !== callId) return;
    this.#owner = undefined;
    this.#restart();
  }

  /** Handles a finished call: sends its whole text unless its parts were relayed. */
  handleFinished(callId: CallId, output: unknown): void {
    if (this.#owner === callId) return;
    this.#restart();
    this.#owner = callId;
    const text = typeof output === "string" ? output : JSON.stringify(output);
    this.#sink.sendPart(0, text);
    this.#hasSentParts = true;
  }

  #restart(): void {
    if (this.#hasSentParts) this.#sink.sendRestart();
    this.#hasSentParts = false;
  }
}
