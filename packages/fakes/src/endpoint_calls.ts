/**
 * The hot path of a fake endpoint: calls, their answers and stream resumes.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  getCallId,
  isCallPath,
  parseRequest,
  readText,
  RUNS_PATH,
} from "./call_request.ts";
import type { Engine, EngineContext } from "./engine.ts";
import type { FakeServer } from "./fake_server.ts";
import { buildRefusal } from "./http.ts";
import type { Run } from "./run.ts";
import { StreamWriter } from "./stream_writer.ts";

/** What {@link EndpointCalls} shares with its endpoint. */
export interface EndpointCallsContext extends EngineContext {
  readonly engine: Engine;
  readonly getServer: () => FakeServer;
  readonly getInstance: () => string;
  readonly onLoadChange: () => void;
}

/** Accepts calls and answers them. */
export class EndpointCalls {
  readonly #context: EndpointCallsContext;
  #leavingSince = 0;

  constructor(context: EndpointCallsContext) {
    this.#context = context;
  }

  /** Sets the time from which calls count as sent to a leaving endpoint. */
  setLeavingSince(now: number): void {
    this.#leavingSince = now;
  }

  // Uses node:http directly: routing and Request objects would cost more than
  // the call itself.
  handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): boolean {
    const { method, url = "" } = incoming;
    if (method === "POST" && isCallPath(url)) {
      readText(incoming, (text) => this.#handleCall(url, text, outgoing));
      return true;
    }
    if (method === "GET" && url.startsWith(RUNS_PATH)) {
      this.#handleResume(url, outgoing);
      return true;
    }
    return false;
  }

  #handleCall(url: string, text: string, outgoing: ServerResponse): void {
    this.#countCall();
    const refusal = this.#findRefusal();
    if (refusal) return this.#send(outgoing, refusal.status, refusal.body);
    const request = parseRequest(url, text, outgoing.req);
    if (!request) {
      return this.#send(
        outgoing,
        400,
        buildRefusal("Request body is not a valid call"),
      );
    }
    if (this.#context.engine.find(request.callId)) {
      return this.#send(
        outgoing,
        409,
        buildRefusal("Call id is already in use"),
      );
    }
    const run = this.#context.engine.add(request);
    if (request.stream) this.#startStream(run, outgoing);
    else this.#startPlain(run, outgoing);
    this.#context.engine.checkOverload();
    this.#context.onLoadChange();
  }

  #countCall(): void {
    const now = Date.now();
    this.#context.counters.calls += 1;
    this.#context.counters.lastCallAt = now;
    if (!this.#context.faults.leaving) return;
    this.#context.counters.callsWhileLeaving += 1;
    this.#context.counters.lastCallAfterLeavingMs = now - this.#leavingSince;
  }

  #findRefusal(): { status: number; body: object } | undefined {
    const faults = this.#context.faults;
    const recoveryMs = this.#context.engine.warmup.getRecoveryMs(
      performance.now(),
    );
    if (faults.rateLimit > 0) {
      faults.rateLimit -= 1;
      return this.#countRefusal(429, buildRefusal("Rate limit exceeded", 1));
    }
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      return this.#countRefusal(503, buildRefusal("Endpoint refuses calls"));
    }
    if (recoveryMs > 0) {
      return this.#countRefusal(
        503,
        buildRefusal("Endpoint is recovering from overload", recoveryMs),
      );
    }
    if (!this.#context.engine.hasQueueSpace()) {
      return this.#countRefusal(429, buildRefusal("Queue is full"));
    }
    return undefined;
  }

  #countRefusal(status: number, body: object) {
    this.#context.counters.refused += 1;
    return { status, body };
  }

  #startPlain(run: Run, outgoing: ServerResponse): void {
    run.listeners.add({
      handlePart: () => {},
      handleEnd: () => {
        const { delayMs } = this.#context.faults;
        if (delayMs === 0) this.#sendResult(run, outgoing);
        else {setTimeout(() => this.#sendResult(run, outgoing), delayMs)
            .unref();}
      },
    });
  }

  #sendResult(run: Run, outgoing: ServerResponse): void {
    if (this.#consumeLoseAnswer()) {
      outgoing.destroy();
      return;
    }
    if (run.state === "failed") {
      return this.#send(outgoing, 500, { error: run.failure });
    }
    const { callId, operation, key, digest } = run.request;
    const hasWrongCallId = this.#context.faults.foreignParts;
    this.#send(outgoing, 200, {
      callId: hasWrongCallId ? `foreign-${callId}` : callId,
      instance: this.#context.getInstance(),
      output: {
        endpointId: this.#context.settings.endpointId,
        operation,
        key,
        digest,
      },
      outputTokens: 0,
      workerMs: run.workerMs,
    });
  }

  #startStream(run: Run, outgoing: ServerResponse, resumeFrom?: number): void {
    const hasFaults = resumeFrom === undefined ||
      this.#context.faults.faultResumes;
    new StreamWriter(run, {
      outgoing,
      from: resumeFrom ?? 0,
      instance: this.#context.getInstance(),
      faults: hasFaults ? this.#context.faults : undefined,
      isSilent: () => this.#context.getServer().isSilent(outgoing.socket),
      isAnswerLost: () => hasFaults && this.#consumeLoseAnswer(),
      delayMs: this.#context.faults.delayMs,
    }).start();
  }

  #handleResume(url: string, outgoing: ServerResponse): void {
    const { pathname, searchParams } = new URL(url, "http://endpoint");
    const run = this.#context.engine.find(getCallId(pathname));
    const from = Number(searchParams.get("from") ?? 0);
    if (!run?.request.stream || !Number.isSafeInteger(from) || from < 0) {
      return this.#send(outgoing, 404, buildRefusal("Unknown call or offset"));
    }
    this.#context.counters.resumed += 1;
    this.#startStream(run, outgoing, from);
  }

  #consumeLoseAnswer(): boolean {
    if (this.#context.faults.loseAnswer === 0) return false;
    this.#context.faults.loseAnswer -= 1;
    this.#context.counters.lostAnswers += 1;
    return true;
  }

  #send(outgoing: ServerResponse, status: number, body: object): void {
    if (this.#context.getServer().isSilent(outgoing.socket)) return;
    const text = JSON.stringify(body);
    outgoing.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "instance-id": this.#context.getInstance(),
    });
    outgoing.end(text);
    this.#context.onLoadChange();
  }
}
