/**
 * Relays the parts of a streamed answer from exactly one call at a time.
 *
 * @module
 */
import type { OutputPart } from "@sardinestep/ports";
import type { CallId } from "@sardinestep/types";
import type { PartSink } from "./context.ts";

/**
 * Guards against mixed streams: a hedged or repeated generator call produces
 * another text than the first one. Parts of one call only reach the caller; when
 * that call fails, the caller is told that the parts so far are void.
 */
export class StreamRelay {
  readonly #sink: PartSink;
  #owner: CallId | undefined;
  #hasSent = false;
  /** Calls whose first parts did not reach the caller. */
  readonly #incomplete = new Set<CallId>();
  /** Parts that came from a call other than the owner. */
  droppedParts = 0;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /**
   * Relays a part if its call owns the stream; the first to come takes it.
   *
   * A call that has lost parts to another owner never takes the stream: the
   * caller would read its text without the beginning. It sends the whole text
   * when it has finished.
   */
  handlePart(callId: CallId, part: OutputPart): void {
    const mayOwn = !this.#incomplete.has(callId);
    if (mayOwn) this.#owner ??= callId;
    if (this.#owner !== callId) {
      this.#incomplete.add(callId);
      this.droppedParts += 1;
      return;
    }
    this.#hasSent = true;
    this.#sink.sendPart(part.sequence, part.text);
  }

  /** A call failed: if it owned the stream, its parts are void. */
  handleFailed(callId: CallId): void {
    if (this.#owner !== callId) return;
    this.#owner = undefined;
    this.#restart();
  }

  /** A call's whole answer counts: where its parts were not relayed, its text is. */
  handleFinished(callId: CallId, output: unknown): void {
    if (this.#owner === callId) return;
    this.#restart();
    this.#owner = callId;
    const text = typeof output === "string" ? output : JSON.stringify(output);
    this.#sink.sendPart(0, text);
    this.#hasSent = true;
  }

  #restart(): void {
    if (this.#hasSent) this.#sink.sendRestart();
    this.#hasSent = false;
  }
}
