/**
 * Writes the parts of a run as server-sent events, with the stream faults.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { ActiveFaults } from "./endpoint_settings.ts";
import type { Run, RunListener } from "./run.ts";

/** What a writer needs beside its run. */
export interface StreamWriterOptions {
  readonly outgoing: ServerResponse;
  /** The first sequence number to write. */
  readonly from: number;
  readonly instance: string;
  /** Undefined where no stream fault applies. */
  readonly faults?: Readonly<ActiveFaults>;
  readonly isSilent: () => boolean;
  /** Whether the last part is lost with its connection. */
  readonly isAnswerLost: () => boolean;
  readonly delayMs: number;
}

/** One connection's view of a streamed run. */
export class StreamWriter implements RunListener {
  readonly #run: Run;
  readonly #options: StreamWriterOptions;
  #next: number;
  #written = 0;
  #heldBack?: string;

  constructor(run: Run, options: StreamWriterOptions) {
    this.#run = run;
    this.#options = options;
    this.#next = options.from;
  }

  /** Writes what is there and follows the run. */
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
    while (this.#next < this.#run.parts.length && !this.#isOver()) {
      this.#writePart(this.#next);
      this.#next += 1;
    }
  }

  handleEnd(): void {
    const { delayMs } = this.#options;
    if (delayMs > 0) setTimeout(() => this.#writeEnd(), delayMs).unref();
    else this.#writeEnd();
  }

  #isOver(): boolean {
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
      // Its text differs, so that it shows where it is taken for the own one.
      const foreign = {
        callId: `foreign-${callId}`,
        sequence,
        text: `foreign ${text}`,
      };
      this.#write(formatEvent("part", foreign));
    }
    if (faults?.reorderParts && this.#heldBack === undefined) {
      this.#heldBack = event;
      return;
    }
    this.#write(event);
    this.#writeHeldBack();
    if (faults?.duplicateParts) this.#write(event);
  }

  #writeHeldBack(): void {
    if (this.#heldBack === undefined) return;
    this.#write(this.#heldBack);
    this.#heldBack = undefined;
  }

  #writeEnd(): void {
    const { outgoing, faults, isAnswerLost } = this.#options;
    if (this.#isOver()) return;
    if (isAnswerLost()) {
      outgoing.destroy();
      return;
    }
    const mayEnd = !faults?.endWithoutLast;
    if (this.#run.state === "failed") this.#writeFailure();
    else if (mayEnd) this.#writeLast();
    this.#writeHeldBack();
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
