/**
 * The HTTP API for callers.
 *
 * @module
 */
import type { HttpBindings } from "@hono/node-server";
import type { Outcome } from "@sardinestep/types";
import { type Context, Hono } from "hono";
import { streamSSE } from "hono/streaming";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { match } from "ts-pattern";
import {
  applyUnknownKeyOutcome,
  buildHttpAnswer,
  createRefusal,
  type HttpAnswer,
  type RequestAnswer,
} from "./answer.ts";
import {
  type BodyLimits,
  type BodyReadError,
  readBody,
} from "./body_reader.ts";
import type { CallerConnection, IncomingRequest, PartSink } from "./context.ts";
import { SseSink } from "./sse_sink.ts";

type Bindings = { Bindings: HttpBindings };
type HttpContext = Context<Bindings>;

/** Handlers and limits of the routes. */
export interface HttpRoutesOptions {
  readonly limits: BodyLimits;
  readonly createRequestId: () => string;
  readonly readNow: () => number;
  /** Runs a request and returns its final answer. */
  readonly serve: (
    incoming: IncomingRequest,
    callerConnection: CallerConnection,
    sink?: PartSink,
  ) => Promise<RequestAnswer>;
  /** Mints keys for the customer that sent the request. */
  readonly mintKeys: (
    incoming: IncomingRequest,
  ) => MintedKeyBatch | RequestAnswer;
  /** Returns the status of a key, or a refusal. */
  readonly lookUpKey: (
    incoming: IncomingRequest,
  ) => Promise<KeyReport | RequestAnswer>;
  readonly countRefusal: (name: string) => void;
  readonly formatMetrics: () => string;
  readonly isReady: () => boolean;
}

/** The status of a key and the source of that status. */
export interface KeyReport {
  readonly kind: "report";
  readonly key: string;
  readonly outcome: Outcome;
  readonly state: string;
  readonly source: "entry" | "log" | "none";
}

/** Keys minted in advance of the requests that use them. */
export interface MintedKeyBatch {
  readonly kind: "minted";
  readonly keys: readonly string[];
  readonly expiresInMs: number;
}

/**
 * Creates the HTTP application.
 *
 * @param options Handlers and limits of the routes.
 * @returns The Hono application.
 */
export function createHttpRoutes(options: HttpRoutesOptions): Hono<Bindings> {
  const app = new Hono<Bindings>();
  app.post("/v1/pipelines/:pipeline", (http) => handlePipeline(http, options));
  app.post("/v1/keys", (http) => handleMint(http, options));
  app.get("/v1/keys/:key", (http) => handleLookUp(http, options));
  app.get("/metrics", (http) => http.text(options.formatMetrics()));
  app.get("/healthz", (http) => http.text("ok"));
  app.get("/readyz", (http) => handleReadiness(http, options));
  app.notFound((http) => {
    const message = `No route for ${http.req.method} ${http.req.path}`;
    const refusal = createRefusal("NO_SUCH_ROUTE", message);
    return sendAnswer(http, buildHttpAnswer("", refusal));
  });
  return app;
}

async function handlePipeline(
  http: HttpContext,
  options: HttpRoutesOptions,
): Promise<Response> {
  const requestId = options.createRequestId();
  const arrivedAt = options.readNow();
  const body = await readBody(http.env.incoming, options.limits);
  if (body.isErr()) {
    const refusal = refuseBody(body.error, options.limits);
    const hasKey = http.req.header("idempotency-key") !== undefined;
    const final = hasKey ? applyUnknownKeyOutcome(refusal) : refusal;
    return sendAnswer(http, buildHttpAnswer(requestId, final), options);
  }
  const incoming = buildIncoming(http, {
    requestId,
    arrivedAt,
    bodyText: body.value,
  });
  const wantsStream = http.req.header("accept")?.includes("text/event-stream");
  if (wantsStream) return streamAnswer(http, incoming, options);
  const callerConnection = createCallerConnection(http);
  const answer = await options.serve(incoming, callerConnection);
  return sendAnswer(http, buildHttpAnswer(requestId, answer));
}

function buildIncoming(
  http: HttpContext,
  received: Pick<IncomingRequest, "requestId" | "arrivedAt" | "bodyText">,
): IncomingRequest {
  const { req } = http;
  return {
    ...received,
    pipeline: req.param("pipeline") ?? "",
    customer: req.header("x-customer"),
    authorization: req.header("authorization"),
    deadlineMs: req.header("x-deadline-ms"),
    key: req.header("idempotency-key"),
    isForwarded: false,
  };
}

/** Treats a connection closed before the answer is written as a disconnect. */
function createCallerConnection(http: HttpContext): CallerConnection {
  const { outgoing } = http.env;
  return {
    addDisconnectHandler: (handler) => {
      // The caller may have disconnected while its key was claimed.
      if (outgoing.closed) return handler();
      outgoing.once("close", () => {
        if (!outgoing.writableFinished) handler();
      });
    },
  };
}

function streamAnswer(
  http: HttpContext,
  incoming: IncomingRequest,
  options: HttpRoutesOptions,
): Response {
  return streamSSE(http, async (stream) => {
    const callerConnection: CallerConnection = {
      addDisconnectHandler: (handler) => stream.onAbort(handler),
    };
    const sink = new SseSink(stream);
    const answer = await options.serve(incoming, callerConnection, sink);
    const { body } = buildHttpAnswer(incoming.requestId, answer);
    if (answer.kind === "refused") return await sink.sendLast("refusal", body);
    if (!sink.hasSentPart) sink.sendPart(0, formatOutput(answer.output));
    await sink.sendLast("end", { ...body, output: undefined });
  });
}

function formatOutput(output: unknown): string {
  return typeof output === "string" ? output : JSON.stringify(output);
}

async function handleMint(
  http: HttpContext,
  options: HttpRoutesOptions,
): Promise<Response> {
  const requestId = options.createRequestId();
  const body = await readBody(http.env.incoming, options.limits);
  if (body.isErr()) {
    const refusal = refuseBody(body.error, options.limits);
    return sendAnswer(http, buildHttpAnswer(requestId, refusal), options);
  }
  const arrivedAt = options.readNow();
  const received = { requestId, arrivedAt, bodyText: body.value };
  const minted = options.mintKeys(buildIncoming(http, received));
  if (minted.kind !== "minted") {
    return sendAnswer(http, buildHttpAnswer(requestId, minted), options);
  }
  const { keys, expiresInMs } = minted;
  return http.json({ keys, expiresInMs });
}

async function handleLookUp(
  http: HttpContext,
  options: HttpRoutesOptions,
): Promise<Response> {
  const requestId = options.createRequestId();
  const arrivedAt = options.readNow();
  const incoming = {
    ...buildIncoming(http, { requestId, arrivedAt, bodyText: "" }),
    key: http.req.param("key"),
  };
  const answer = await options.lookUpKey(incoming);
  if (answer.kind === "report") {
    const { kind: _kind, ...report } = answer;
    return http.json(report);
  }
  return sendAnswer(http, buildHttpAnswer(requestId, answer), options);
}

function handleReadiness(
  http: HttpContext,
  options: HttpRoutesOptions,
): Response {
  return options.isReady() ? http.text("ready") : http.text("not ready", 503);
}

function refuseBody(error: BodyReadError, limits: BodyLimits): RequestAnswer {
  return match(error)
    .with("too_large", () =>
      createRefusal(
        "BODY_TOO_LARGE",
        `Body is larger than the limit of ${limits.maxBytes} bytes`,
      ))
    .with("too_slow", "aborted", () =>
      createRefusal(
        "CALLER_TOO_SLOW",
        `Body was not received within ${limits.timeoutMs} ms`,
      ))
    .exhaustive();
}

function sendAnswer(
  http: HttpContext,
  answer: HttpAnswer,
  options?: HttpRoutesOptions,
): Response {
  options?.countRefusal(answer.body.name);
  const { retryAfterMs } = answer.body;
  const headers: Record<string, string> = {};
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.ceil(retryAfterMs / 1_000));
  }
  // An unread body would be parsed as the next request on this connection.
  const isBodyUnread = !http.env.incoming.complete;
  if (isBodyUnread) headers.connection = "close";
  const status = answer.status as ContentfulStatusCode;
  return http.json(answer.body, status, headers);
}
