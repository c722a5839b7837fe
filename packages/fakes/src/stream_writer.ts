/**
 * Writes the parts of a run as server-sent events, with the stream faults.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { ActiveFaults } from "./endpoint_settings.ts";
import type { Run, RunListener } from "./run.ts";

/** Options of {@link StreamWriter}. */
export interface StreamWriterOptions {
  readonly outgoing: ServerResponse;
  /** Sequence number of the first part to write. */
  readonly from: number;
  readonly instance: string;
  /** Stream faults; undefined if none apply to this connection. */
  readonly faults?: Readonly<ActiveFaults>;
  readonly isSilent: () => boolean;
  /** Whether to close the connection instead of sending the last part. */
  readonly isAnswerLost: () => boolean;
  readonly delayMs: number;
}

/** Writes a streamed run to one connection. */
export class StreamWriter implements RunListener {
  readonly #run: Run;
  readonly #options: StreamWriterOptions;
  #nextSequence: number;
  #written = 0;
  #reorderedEvent?: string;

  constructor(run: Run, options: StreamWriterOptions) {
    this.#run = run;
    this.#options = options;
    this.#nextSequence = options.from;
  }

  /** Writes the parts so far, then each new part. */
  start(): void {
    const { outgoing, instance } = this.#options;
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "instance-id": instance,
    });
    outgoing.flushHeaders();
    outgoing.on("close", () => this.#run.listeners.delete(this));
    this.#run.listeners.add(this);
    this.handlePart();
    if (this.#run.state === "finished" || this.#run.state === "failed") {
      this.handleEnd();
    }
  }

  handlePart(): void {
    while (this.#nextSequence < this.#run.parts.length && !this.#isClosed()) {
      this.#writePart(this.#nextSequence);
      this.#nextSequence += 1;
    }
  }

  handleEnd(): void {
    const { delayMs } = this.#options;
    if (delayMs > 0) setTimeout(() => this.#writeEnd(), delayMs).unref();
    else this.#writeEnd();
  }

  #isClosed(): boolean {
    return this.#options.outgoing.destroyed;
  }

  #writePart(sequence: number): void {
    const { faults, outgoing } = this.#options;
    const { callId } = this.#run.request;
    const text = this.#run.parts[sequence];
    const event = formatEvent("part", { callId, sequence, text });
    if (faults?.cutStreamAfter === this.#written) {
      outgoing.destroy();
      return;
    }
    this.#written += 1;
    if (faults?.foreignParts) {
      // Its text differs, so that a client that mixes the calls up is noticed.
      const otherPart = {
        callId: `foreign-${callId}`,
        sequence,
        text: `foreign ${text}`,
      };
      this.#write(formatEvent("part", otherPart));
    }
    if (faults?.reorderParts && this.#reorderedEvent === undefined) {
      this.#reorderedEvent = event;
      return;
    }
    this.#write(event);
    this.#writeReordered();
    if (faults?.duplicateParts) this.#write(event);
  }

  #writeReordered(): void {
    if (this.#reorderedEvent === undefined) return;
    this.#write(this.#reorderedEvent);
    this.#reorderedEvent = undefined;
  }

  #writeEnd(): void {
    const { outgoing, faults, isAnswerLost } = this.#options;
    if (this.#isClosed()) return;
    if (isAnswerLost()) {
      outgoing.destroy();
      return;
    }
    const writesLast = !faults?.endWithoutLast;
    if (this.#run.state === "failed") this.#writeFailure();
    else if (writesLast) this.#writeLast();
    this.#writeReordered();
    if (!this.#options.isSilent()) outgoing.end();
  }

  #writeLast(): void {
    const { request, parts, workerMs } = this.#run;
    this.#write(formatEvent("last", {
      callId: request.callId,
      parts: parts.length,
      instance: this.#options.instance,
      outputTokens: parts.length,
      workerMs,
    }));
  }

  #writeFailure(): void {
    const { callId } = this.#run.request;
    this.#write(formatEvent("error", { callId, message: this.#run.failure }));
  }

  #write(event: string): void {
    if (!this.#options.isSilent()) this.#options.outgoing.write(event);
  }
}

function formatEvent(name: string, data: object): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}
