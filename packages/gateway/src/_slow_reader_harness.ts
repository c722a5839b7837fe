/**
 * An ingress with callers, endpoints and real sockets, for tests of slow readers.
 *
 * @module
 */
import type * as bufferBudget from "@sardinestep/buffer_budget";
import type * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { type AttemptOutcome, runAttempt } from "./attempt.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { ArrivedRequest } from "./flow_types.ts";
import { HttpPool } from "./http_pool.ts";
import { Ingress } from "./ingress.ts";
import type { WireAdapter } from "./ports.ts";
import { END_REASON } from "./request_scope.ts";
import type { SiteState } from "./site_state.ts";
import { TRUNCATION_CAUSE } from "./truncation.ts";

/** How often a condition is checked, in milliseconds. */
const POLL_MS = 10;
/** Longest wait for a condition, in milliseconds. */
const WAIT_TIMEOUT_MS = 10_000;

/** Options of {@link openHarness}. */
export interface HarnessOptions {
  readonly isContended: boolean;
  readonly budget: bufferBudget.BufferBudgetOptions;
  /** Answers requests like an endpoint. */
  readonly respond: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

/** An open response to a caller. */
export interface OpenCall {
  readonly response: IncomingMessage;
  /** Reads to the end; `isComplete` is false if the response was cut off. */
  readAll(): Promise<{ bytes: Buffer; isComplete: boolean }>;
  leave(): void;
}

/** The parts of a running harness. */
export interface Harness {
  readonly ingress: Ingress;
  readonly outcomes: AttemptOutcome[];
  readonly events: string[];
  /** Requests that endpoints have now. */
  readonly runs: { readonly active: number };
  call(path: string, body?: Uint8Array): Promise<OpenCall>;
  close(): void;
}

/** Waits until a condition holds. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  const until = performance.now() + WAIT_TIMEOUT_MS;
  while (!isTrue()) {
    if (performance.now() > until) throw new Error("Condition not met");
    await wait(POLL_MS);
  }
}

async function openServer(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Requests to `/stream…` are relayed; answers to others are read whole. */
export async function openHarness(options: HarnessOptions): Promise<Harness> {
  const pool = new HttpPool();
  const outcomes: AttemptOutcome[] = [];
  const events: string[] = [];
  const runs = { active: 0 };
  const endpointServer = createServer((incoming, response) => {
    runs.active += 1;
    response.once("close", () => {
      runs.active -= 1;
    });
    response.on("error", () => {});
    options.respond(incoming, response);
  });
  const endpointPort = await openServer(endpointServer);
  const endpointTracker = {
    recordStart: () => {},
    recordEnd: () => {},
    recordNotices: () => {},
  } as unknown as EndpointTracker;
  const wire = {
    readCaller: () => ({ requestId: "r" }),
    buildForwardHeaders: () => [],
    readAnswer: () => ({
      requestId: "r",
      isNotRun: false,
      signature: "s",
      notices: {},
    }),
  } as unknown as WireAdapter;

  async function runArrived(arrived: ArrivedRequest): Promise<void> {
    const outcome = await runAttempt({
      request: { ...arrived, requestId: "r" },
      endpoint: {
        id: "e",
        address: `127.0.0.1:${endpointPort}`,
      } as serving.ServingEndpoint,
      wire,
      pool,
      endpointTracker,
      scope: arrived.scope,
      writer: arrived.writer,
      inputs: [],
      leftMs: 60_000,
      senders: 1,
      maxIdleMs: 0,
      usedConnections: new WeakSet(),
      isStream: arrived.path.startsWith("/stream"),
      isResume: false,
      handleSent: () => {},
      handleAnswerStart: () => {},
      handleFirstEvent: () => {},
    });
    outcomes.push(outcome);
    if (outcome.kind === "answered") {
      arrived.writer.writeComplete(outcome.answer);
    } else if (outcome.kind !== "streamed") {
      arrived.writer.abort({ cause: TRUNCATION_CAUSE.endpointFailed });
    }
    arrived.scope.end(END_REASON.done);
  }

  const ingress = new Ingress({
    wire,
    site: {} as SiteState,
    events: {
      write: (event: string) => events.push(event),
    } as unknown as logger.EventLog,
    metrics: new metrics.Metrics({ prefix: "test" }),
    runRequest: runArrived,
    isContended: () => options.isContended,
    budget: options.budget,
  });
  await ingress.start("127.0.0.1", 0);

  return {
    ingress,
    outcomes,
    events,
    runs,
    call: (path, body) => openCall(ingress.port, path, body),
    close: () => {
      ingress.destroy();
      pool.close();
      endpointServer.closeAllConnections();
      endpointServer.close();
    },
  };
}

async function openCall(
  port: number,
  path: string,
  body?: Uint8Array,
): Promise<OpenCall> {
  const sent = request({
    port,
    path,
    host: "127.0.0.1",
    method: body === undefined ? "GET" : "POST",
    agent: false,
  });
  sent.end(body);
  const [response] = await once(sent, "response") as [IncomingMessage];
  sent.on("error", () => {});
  response.on("error", () => {});
  return {
    response,
    readAll: async () => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      // `once` of node:events would reject when the response is cut off.
      if (!response.closed) {
        await new Promise((resolve) => response.once("close", resolve));
      }
      return { bytes: Buffer.concat(chunks), isComplete: response.complete };
    },
    leave: () => sent.destroy(),
  };
}

/** Time between two events of {@link writeEvents}, in milliseconds. */
const EVENT_INTERVAL_MS = 50;

/** Writes numbered events at regular times, then ends the response. */
export function writeEvents(response: ServerResponse, count: number): void {
  let index = 0;
  const timer = setInterval(() => {
    response.write(`data: ${index++}\n\n`);
    if (index < count) return;
    clearInterval(timer);
    response.end();
  }, EVENT_INTERVAL_MS);
  response.once("close", () => clearInterval(timer));
}
