/**
 * The callers' HTTP interface.
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
  buildHttpAnswer,
  createRefusal,
  type HttpAnswer,
  type RequestAnswer,
  tellOfUnsettledKey,
} from "./answer.ts";
import { type BodyFault, type BodyLimits, readBody } from "./body_reader.ts";
import type { CallerWatch, IncomingRequest, PartSink } from "./context.ts";
import { SseSink } from "./sse_sink.ts";

type Bindings = { Bindings: HttpBindings };
type HttpContext = Context<Bindings>;

/** What the routes call. */
export interface HttpRoutesOptions {
  readonly limits: BodyLimits;
  readonly createRequestId: () => string;
  readonly readNow: () => number;
  /** Runs a request to its one final answer. */
  readonly serve: (
    incoming: IncomingRequest,
    callerGone: CallerWatch,
    sink?: PartSink,
  ) => Promise<RequestAnswer>;
  /** Mints keys for the customer of a request. */
  readonly mintKeys: (incoming: IncomingRequest) => MintedBatch | RequestAnswer;
  /** Tells what is known of a key, or why it does not tell. */
  readonly lookUpKey: (
    incoming: IncomingRequest,
  ) => Promise<KeyReport | RequestAnswer>;
  readonly countRefusal: (name: string) => void;
  readonly formatMetrics: () => string;
  readonly isReady: () => boolean;
}

/** What is known of a key, and who says so. */
export interface KeyReport {
  readonly kind: "report";
  readonly key: string;
  readonly outcome: Outcome;
  readonly state: string;
  readonly source: "entry" | "log" | "none";
}

/** Keys taken beforehand. */
export interface MintedBatch {
  readonly kind: "minted";
  readonly keys: readonly string[];
  readonly expiresInMs: number;
}

/**
 * Creates the HTTP application.
 *
 * @param options What the routes call.
 * @returns A hono application.
 */
export function createHttpRoutes(options: HttpRoutesOptions): Hono<Bindings> {
  const app = new Hono<Bindings>();
  app.post("/v1/pipelines/:pipeline", (http) => handlePipeline(http, options));
  app.post("/v1/keys", (http) => handleMint(http, options));
  app.get("/v1/keys/:key", (http) => handleLookUp(http, options));
  app.get("/metrics", (http) => http.text(options.formatMetrics()));
  app.get("/healthz", (http) => http.text("ok"));
  app.get("/readyz", (http) => answerReadiness(http, options));
  app.notFound((http) => {
    const message = `Cannot find ${http.req.method} ${http.req.path}`;
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
    const told = hasKey ? tellOfUnsettledKey(refusal) : refusal;
    return sendAnswer(http, buildHttpAnswer(requestId, told), options);
  }
  const incoming = buildIncoming(http, {
    requestId,
    arrivedAt,
    bodyText: body.value,
  });
  const wantsStream = http.req.header("accept")?.includes("text/event-stream");
  if (wantsStream) return streamAnswer(http, incoming, options);
  const callerGone = watchCaller(http);
  const answer = await options.serve(incoming, callerGone);
  return sendAnswer(http, buildHttpAnswer(requestId, answer));
}

function buildIncoming(
  http: HttpContext,
  facts: Pick<IncomingRequest, "requestId" | "arrivedAt" | "bodyText">,
): IncomingRequest {
  const { req } = http;
  return {
    ...facts,
    pipeline: req.param("pipeline") ?? "",
    customer: req.header("x-customer"),
    authorization: req.header("authorization"),
    deadlineMs: req.header("x-deadline-ms"),
    key: req.header("idempotency-key"),
    isForwarded: false,
  };
}

/** A caller has gone when its connection closes before the answer is written. */
function watchCaller(http: HttpContext): CallerWatch {
  const { outgoing } = http.env;
  return {
    addGoneHandler: (handler) => {
      // The caller may have gone while its key was claimed.
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
    const callerGone: CallerWatch = {
      addGoneHandler: (handler) => stream.onAbort(handler),
    };
    const sink = new SseSink(stream);
    const answer = await options.serve(incoming, callerGone, sink);
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
  const facts = { requestId, arrivedAt, bodyText: body.value };
  const minted = options.mintKeys(buildIncoming(http, facts));
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
  const told = await options.lookUpKey(incoming);
  if (told.kind === "report") {
    const { kind: _kind, ...report } = told;
    return http.json(report);
  }
  return sendAnswer(http, buildHttpAnswer(requestId, told), options);
}

function answerReadiness(
  http: HttpContext,
  options: HttpRoutesOptions,
): Response {
  return options.isReady() ? http.text("ready") : http.text("not ready", 503);
}

function refuseBody(fault: BodyFault, limits: BodyLimits): RequestAnswer {
  return match(fault)
    .with("too_large", () =>
      createRefusal(
        "BODY_TOO_LARGE",
        `Cannot take a body of more than ${limits.maxBytes} bytes`,
      ))
    .with("too_slow", "vanished", () =>
      createRefusal(
        "CALLER_TOO_SLOW",
        `Cannot wait more than ${limits.timeoutMs} ms for the body`,
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
  // An unread body would be taken for the next request on this connection.
  const isBodyUnread = !http.env.incoming.complete;
  if (isBodyUnread) headers.connection = "close";
  const status = answer.status as ContentfulStatusCode;
  return http.json(answer.body, status, headers);
}
