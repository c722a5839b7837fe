/**
 * One streamed call with its resumes.
 *
 * Failures handled here: a connection that breaks or goes silent in mid-stream
 * and a stream that ends without its last part. All show as an exchange that is
 * over before the answer is whole. The engine keeps the parts of a running call
 * for a while, so the rest is asked for on a new connection.
 *
 * @module
 */
import type {
  CallOptions,
  PortError,
  StageAnswer,
  StageCall,
} from "@sardinestep/ports";
import * as http from "@sardinestep/ports/http";
import { createParser } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import { Err, Ok, type Result } from "ts-results-es";
import type { EndpointCounters } from "./counters.ts";
import { buildRunRequest } from "./requests.ts";
import { StreamAssembly } from "./stream_assembly.ts";

/** Beyond so many breaks the endpoint is at fault, not the path. */
const MAX_RESUMES = 3;
/** One new connection tells a silent path from a silent endpoint. */
const MAX_SILENT_RESUMES = 1;

/** What a streamed call works with. */
export interface StreamCallOptions extends CallOptions {
  readonly connections: http.HttpConnections;
  readonly counters: EndpointCounters;
}

/** Runs one streamed call; used once. */
export class StreamCall {
  readonly #call: StageCall;
  readonly #options: StreamCallOptions;
  readonly #assembly: StreamAssembly;
  readonly #whole: Promise<"whole">;
  #resumeCount = 0;
  #silentCount = 0;

  constructor(call: StageCall, options: StreamCallOptions) {
    const { promise, resolve } = createWhole();
    this.#call = call;
    this.#options = options;
    this.#whole = promise;
    this.#assembly = new StreamAssembly({
      callId: call.callId,
      counters: options.counters,
      onPart: options.onPart,
      onWhole: () => resolve("whole"),
    });
  }

  /** Sends the call and resumes it until it is whole or given up. */
  async run(): Promise<Result<StageAnswer, PortError>> {
    const { address, freshConnection } = this.#call;
    const { connections } = this.#options;
    const request = this.#buildRequest(buildRunRequest(this.#call));
    const sent = freshConnection
      ? connections.sendFresh(address, request)
      : connections.send(address, request);
    const ended = await this.#waitForEnd(sent);
    const answer = this.#assembly.answer;
    if (answer) return Ok(answer);
    const error = this.#parseEnd(ended);
    if (isFinal(error)) return Err(error);
    return await this.#runResumes(error);
  }

  async #runResumes(
    firstError: PortError,
  ): Promise<Result<StageAnswer, PortError>> {
    let error = firstError;
    while (this.#mayResume(error)) {
      const { callId, address } = this.#call;
      const from = this.#assembly.next;
      this.#resumeCount += 1;
      if (error.kind === "timeout") this.#silentCount += 1;
      this.#options.counters.resumes += 1;
      const request = this.#buildRequest({
        method: "GET",
        path: `/v1/runs/${encodeURIComponent(callId)}?from=${from}`,
      });
      const sent = this.#options.connections.sendFresh(address, request);
      const ended = await this.#waitForEnd(sent);
      const answer = this.#assembly.answer;
      if (answer) return Ok(answer);
      error = this.#buildResumeError(this.#parseEnd(ended));
    }
    return Err(error);
  }

  #mayResume(error: PortError): boolean {
    if (error.kind === "cancelled" || this.#options.signal?.aborted) {
      return false;
    }
    if (this.#assembly.failure !== undefined) return false;
    const isSilent = error.kind === "timeout";
    if (isSilent && this.#silentCount >= MAX_SILENT_RESUMES) return false;
    return this.#resumeCount < MAX_RESUMES;
  }

  /**
   * A whole answer is used at once: a connection that goes silent behind the
   * last part must not turn it into a timeout.
   */
  async #waitForEnd(
    sent: Promise<http.HttpResult>,
  ): Promise<http.HttpResult | undefined> {
    const ended = await Promise.race([sent, this.#whole]);
    return ended === "whole" ? undefined : ended;
  }

  #parseEnd(ended: http.HttpResult | undefined): PortError {
    const { counters } = this.#options;
    if (this.#assembly.failure !== undefined) {
      return { kind: "answer_lost", message: this.#assembly.failure };
    }
    if (ended?.isErr()) {
      if (!isFinal(ended.error)) counters.brokenStreams += 1;
      return ended.error;
    }
    if (ended?.isOk() && ended.value.status !== 200) {
      return http.buildStatusError(ended.value);
    }
    counters.earlyEnds += 1;
    return {
      kind: "answer_lost",
      message: "Stream ended before its last part",
    };
  }

  /** The call itself was sent, so no failed resume proves that nothing ran. */
  #buildResumeError(error: PortError): PortError {
    const { message } = error;
    if (this.#options.signal?.aborted) return { kind: "cancelled", message };
    if (error.kind === "timeout") return error;
    return { kind: "answer_lost", message: `Cannot resume: ${message}` };
  }

  #buildRequest(
    request: Pick<http.HttpRequest, "method" | "path" | "headers" | "body">,
  ): http.HttpRequest {
    const decoder = new StringDecoder("utf8");
    const parser = createParser({
      onEvent: (event) => this.#assembly.handleEvent(event.event, event.data),
    });
    return {
      ...request,
      timeoutMs: this.#call.progressTimeoutMs,
      timeoutIsProgress: true,
      signal: this.#options.signal,
      onChunk: (chunk) => parser.feed(decoder.write(chunk)),
    };
  }
}

/** Tells whether a first attempt's error leaves nothing to resume. */
function isFinal(error: PortError): boolean {
  return error.kind !== "answer_lost" && error.kind !== "timeout";
}

function createWhole() {
  let resolve!: (whole: "whole") => void;
  const promise = new Promise<"whole">((settle) => resolve = settle);
  return { promise, resolve };
}
