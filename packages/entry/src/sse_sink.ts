/**
 * Sends the parts of an answer as server-sent events.
 *
 * @module
 */
import type { SSEStreamingApi } from "hono/streaming";
import type { PartSink } from "./context.ts";

/** Maximum number of characters queued for a slow caller. */
const MAX_PENDING_CHARACTERS = 1_048_576;

interface SseEvent {
  readonly event: "part" | "restart" | "end" | "refusal";
  readonly data: string;
}

/**
 * Queues events for one caller and writes them in order.
 *
 * Limits the memory used for a caller that reads too slowly: beyond the limit the
 * stream is aborted, which the caller sees as a stream without its last event.
 */
export class SseSink implements PartSink {
  readonly #stream: SSEStreamingApi;
  readonly #pendingEvents: SseEvent[] = [];
  #pendingCharacters = 0;
  #writing: Promise<void> | undefined;
  /** Whether any part has been sent since the last restart. */
  hasSentPart = false;

  constructor(stream: SSEStreamingApi) {
    this.#stream = stream;
  }

  /** Sends a part, in order of sequence. */
  sendPart(sequence: number, text: string): void {
    this.hasSentPart = true;
    this.#enqueue({ event: "part", data: JSON.stringify({ sequence, text }) });
  }

  /** Sends the event that voids all previous parts. */
  sendRestart(): void {
    this.hasSentPart = false;
    this.#enqueue({ event: "restart", data: "{}" });
  }

  /** Sends the explicit last event; resolves when all events are written. */
  async sendLast(event: "end" | "refusal", body: unknown): Promise<void> {
    this.#enqueue({ event, data: JSON.stringify(body) });
    await this.#writing;
  }

  #enqueue(event: SseEvent): void {
    this.#pendingEvents.push(event);
    this.#pendingCharacters += event.data.length;
    if (this.#pendingCharacters > MAX_PENDING_CHARACTERS) this.#stream.abort();
    this.#writing ??= this.#writeAll();
  }

  async #writeAll(): Promise<void> {
    for (
      let next = this.#pendingEvents.shift();
      next;
      next = this.#pendingEvents.shift()
    ) {
      this.#pendingCharacters -= next.data.length;
      await this.#stream.writeSSE(next);
    }
    this.#writing = undefined;
  }
}
