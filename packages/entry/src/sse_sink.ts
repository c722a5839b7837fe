/**
 * Sends the parts of an answer as server-sent events.
 *
 * @module
 */
import type { SSEStreamingApi } from "hono/streaming";
import type { PartSink } from "./context.ts";

/** Characters that wait for a slow caller at most. */
const MAX_WAITING_CHARACTERS = 1_048_576;

interface SseEvent {
  readonly event: "part" | "restart" | "end" | "refusal";
  readonly data: string;
}

/**
 * Queues events for one caller and writes them in order.
 *
 * Guards memory against a caller that reads too slowly: beyond the bound the
 * stream is broken off, which the caller sees as a stream without its last part.
 */
export class SseSink implements PartSink {
  readonly #stream: SSEStreamingApi;
  readonly #waiting: SseEvent[] = [];
  #waitingCharacters = 0;
  #writing: Promise<void> | undefined;
  /** Whether any part has been sent since the last restart. */
  hasSentPart = false;

  constructor(stream: SSEStreamingApi) {
    this.#stream = stream;
  }

  /** A part in order of sequence. */
  sendPart(sequence: number, text: string): void {
    this.hasSentPart = true;
    this.#add({ event: "part", data: JSON.stringify({ sequence, text }) });
  }

  /** The parts so far are void. */
  sendRestart(): void {
    this.hasSentPart = false;
    this.#add({ event: "restart", data: "{}" });
  }

  /** The explicit last event; resolves when everything is written. */
  async sendLast(event: "end" | "refusal", body: unknown): Promise<void> {
    this.#add({ event, data: JSON.stringify(body) });
    await this.#writing;
  }

  #add(event: SseEvent): void {
    this.#waiting.push(event);
    this.#waitingCharacters += event.data.length;
    if (this.#waitingCharacters > MAX_WAITING_CHARACTERS) this.#stream.abort();
    this.#writing ??= this.#writeAll();
  }

  async #writeAll(): Promise<void> {
    for (let next = this.#waiting.shift(); next; next = this.#waiting.shift()) {
      this.#waitingCharacters -= next.data.length;
      await this.#stream.writeSSE(next);
    }
    this.#writing = undefined;
  }
}
