/**
 * One streamed call, including its resumes.
 *
 * A connection may break or go silent in mid-stream, or a stream may end without
 * its last part. In each case the HTTP exchange ends before the answer is complete.
 * The engine keeps the parts of a running call for a while, so the missing ones are
 * requested on a new connection.
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

/** After this many breaks the endpoint is at fault, not the network path. */
const MAX_RESUMES = 3;
/** One new connection distinguishes a silent network path from a silent endpoint. */
const MAX_SILENT_RESUMES = 1;

/** Options of {@link StreamCall}. */
export interface StreamCallOptions extends CallOptions {
  readonly connections: http.HttpConnections;
  readonly counters: EndpointCounters;
}

/** Runs one streamed call; an instance is used once. */
export class StreamCall {
  readonly #call: StageCall;
  readonly #options: StreamCallOptions;
  readonly #assembly: StreamAssembly;
  readonly #completed: Promise<"complete">;
  #resumeCount = 0;
  #timeoutCount = 0;

  constructor(call: StageCall, options: StreamCallOptions) {
    const { promise, resolve } = createCompletion();
    this.#call = call;
    this.#options = options;
    this.#completed = promise;
    this.#assembly = new StreamAssembly({
      callId: call.callId,
      counters: options.counters,
      onPart: options.onPart,
      onDone: () => resolve("complete"),
    });
  }

  /** Sends the call and resumes it until the answer is complete or resuming fails. */
  async run(): Promise<Result<StageAnswer, PortError>> {
    const { address, freshConnection } = this.#call;
    const { connections } = this.#options;
    const request = this.#buildRequest(buildRunRequest(this.#call));
    const pendingResult = freshConnection
      ? connections.sendOverNewConnection(address, request)
      : connections.send(address, request);
    const httpResult = await this.#waitForEnd(pendingResult);
    const answer = this.#assembly.answer;
    if (answer) return Ok(answer);
    const error = this.#buildEndError(httpResult);
    if (isTerminalError(error)) return Err(error);
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
      if (error.kind === "timeout") this.#timeoutCount += 1;
      this.#options.counters.resumes += 1;
      const request = this.#buildRequest({
        method: "GET",
        path: `/v1/runs/${encodeURIComponent(callId)}?from=${from}`,
      });
      const pendingResult = this.#options.connections.sendOverNewConnection(
        address,
        request,
      );
      const httpResult = await this.#waitForEnd(pendingResult);
      const answer = this.#assembly.answer;
      if (answer) return Ok(answer);
      error = this.#buildResumeError(this.#buildEndError(httpResult));
    }
    return Err(error);
  }

  #mayResume(error: PortError): boolean {
    if (error.kind === "cancelled" || this.#options.signal?.aborted) {
      return false;
    }
    if (this.#assembly.failure !== undefined) return false;
    const isSilent = error.kind === "timeout";
    if (isSilent && this.#timeoutCount >= MAX_SILENT_RESUMES) return false;
    return this.#resumeCount < MAX_RESUMES;
  }

  /**
   * A complete answer is returned at once, so that a connection that goes silent
   * after the last part does not turn it into a timeout.
   */
  async #waitForEnd(
    pendingResult: Promise<http.HttpResult>,
  ): Promise<http.HttpResult | undefined> {
    const httpResult = await Promise.race([pendingResult, this.#completed]);
    return httpResult === "complete" ? undefined : httpResult;
  }

  #buildEndError(httpResult: http.HttpResult | undefined): PortError {
    const { counters } = this.#options;
    if (this.#assembly.failure !== undefined) {
      return { kind: "answer_lost", message: this.#assembly.failure };
    }
    if (httpResult?.isErr()) {
      if (!isTerminalError(httpResult.error)) counters.brokenStreams += 1;
      return httpResult.error;
    }
    if (httpResult?.isOk() && httpResult.value.status !== 200) {
      return http.buildStatusError(httpResult.value);
    }
    counters.earlyEnds += 1;
    return {
      kind: "answer_lost",
      message: "Stream ended before its last part",
    };
  }

  /** The call was sent, so a failed resume never proves that nothing ran. */
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

/** Returns whether an error of the first attempt rules out a resume. */
function isTerminalError(error: PortError): boolean {
  return error.kind !== "answer_lost" && error.kind !== "timeout";
}

function createCompletion() {
  let resolve!: (value: "complete") => void;
  const promise = new Promise<"complete">((settle) => resolve = settle);
  return { promise, resolve };
}
