/**
 * The hot path of the endpoint stand-in: calls, their answers and resumes.
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
import type { Engine, EngineParts } from "./engine.ts";
import type { FakeServer } from "./fake_server.ts";
import { buildRefusal } from "./http.ts";
import type { Run } from "./run.ts";
import { StreamWriter } from "./stream_writer.ts";

/** What the calls share with their endpoint. */
export interface EndpointCallsParts extends EngineParts {
  readonly engine: Engine;
  readonly getServer: () => FakeServer;
  readonly getInstance: () => string;
  readonly onLoadChange: () => void;
}

/** Takes calls and answers them. */
export class EndpointCalls {
  readonly #parts: EndpointCallsParts;
  #leavingSince = 0;

  constructor(parts: EndpointCallsParts) {
    this.#parts = parts;
  }

  /** Notes from when on calls come too late. */
  setLeavingSince(now: number): void {
    this.#leavingSince = now;
  }

  // The hot path stays on node:http: routing and Request objects cost more
  // than the call itself.
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
    const refusal = this.#decideRefusal();
    if (refusal) return this.#send(outgoing, refusal.status, refusal.body);
    const request = parseRequest(url, text, outgoing.req);
    if (!request) {
      return this.#send(outgoing, 400, buildRefusal("Malformed call"));
    }
    if (this.#parts.engine.find(request.callId)) {
      return this.#send(outgoing, 409, buildRefusal("Call id is in use"));
    }
    const run = this.#parts.engine.add(request);
    if (request.stream) this.#startStream(run, outgoing);
    else this.#startWhole(run, outgoing);
    this.#parts.engine.checkOverload();
    this.#parts.onLoadChange();
  }

  #countCall(): void {
    const now = Date.now();
    this.#parts.counters.calls += 1;
    this.#parts.counters.lastCallAt = now;
    if (!this.#parts.faults.leaving) return;
    this.#parts.counters.callsWhileLeaving += 1;
    this.#parts.counters.lastCallAfterLeavingMs = now - this.#leavingSince;
  }

  #decideRefusal(): { status: number; body: object } | undefined {
    const faults = this.#parts.faults;
    const downMs = this.#parts.engine.warmth.getDownMs(performance.now());
    if (faults.rateLimit > 0) {
      faults.rateLimit -= 1;
      return this.#countRefusal(429, buildRefusal("Rate exceeded", 1));
    }
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      return this.#countRefusal(503, buildRefusal("Refused"));
    }
    if (downMs > 0) {
      return this.#countRefusal(
        503,
        buildRefusal("Endpoint fell over", downMs),
      );
    }
    if (!this.#parts.engine.hasRoom()) {
      return this.#countRefusal(429, buildRefusal("Queue is full"));
    }
    return undefined;
  }

  #countRefusal(status: number, body: object) {
    this.#parts.counters.refused += 1;
    return { status, body };
  }

  #startWhole(run: Run, outgoing: ServerResponse): void {
    run.listeners.add({
      handlePart: () => {},
      handleEnd: () => {
        const { delayMs } = this.#parts.faults;
        if (delayMs === 0) this.#answerWhole(run, outgoing);
        else {setTimeout(() => this.#answerWhole(run, outgoing), delayMs)
            .unref();}
      },
    });
  }

  #answerWhole(run: Run, outgoing: ServerResponse): void {
    if (this.#decideLostAnswer()) {
      outgoing.destroy();
      return;
    }
    if (run.state === "failed") {
      return this.#send(outgoing, 500, { error: run.failure });
    }
    const { callId, operation, key, digest } = run.request;
    const isForeign = this.#parts.faults.foreignParts;
    this.#send(outgoing, 200, {
      callId: isForeign ? `foreign-${callId}` : callId,
      instance: this.#parts.getInstance(),
      output: {
        endpointId: this.#parts.settings.endpointId,
        operation,
        key,
        digest,
      },
      outputTokens: 0,
      workerMs: run.workerMs,
    });
  }

  #startStream(run: Run, outgoing: ServerResponse, resumeFrom?: number): void {
    const isFaulty = resumeFrom === undefined ||
      this.#parts.faults.faultResumes;
    new StreamWriter(run, {
      outgoing,
      from: resumeFrom ?? 0,
      instance: this.#parts.getInstance(),
      faults: isFaulty ? this.#parts.faults : undefined,
      isSilent: () => this.#parts.getServer().isSilent(outgoing.socket),
      isAnswerLost: () => isFaulty && this.#decideLostAnswer(),
      delayMs: this.#parts.faults.delayMs,
    }).start();
  }

  #handleResume(url: string, outgoing: ServerResponse): void {
    const { pathname, searchParams } = new URL(url, "http://endpoint");
    const run = this.#parts.engine.find(getCallId(pathname));
    const from = Number(searchParams.get("from") ?? 0);
    if (!run?.request.stream || !Number.isSafeInteger(from) || from < 0) {
      return this.#send(outgoing, 404, buildRefusal("Unknown call"));
    }
    this.#parts.counters.resumed += 1;
    this.#startStream(run, outgoing, from);
  }

  #decideLostAnswer(): boolean {
    if (this.#parts.faults.loseAnswer === 0) return false;
    this.#parts.faults.loseAnswer -= 1;
    this.#parts.counters.lostAnswers += 1;
    return true;
  }

  #send(outgoing: ServerResponse, status: number, body: object): void {
    if (this.#parts.getServer().isSilent(outgoing.socket)) return;
    const text = JSON.stringify(body);
    outgoing.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
      "instance-id": this.#parts.getInstance(),
    });
    outgoing.end(text);
    this.#parts.onLoadChange();
  }
}
