/**
 * The HTTP server that receives the callers' requests.
 *
 * @module
 */
import * as bufferBudget from "@sardinestep/buffer_budget";
import * as callerConnections from "@sardinestep/caller_connections";
import * as codes from "@sardinestep/codes";
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { AnswerWriter } from "./answer_writer.ts";
import {
  BodyReader,
  type BodyResult,
  createSizeFailure,
} from "./body_reader.ts";
import { CallerConnections, type CloseCounts } from "./caller_connections.ts";
import { ConnectionCloses } from "./connection_closes.ts";
import { EVENT } from "./events.ts";
import { buildStoppingRefusal } from "./final_answer.ts";
import type { WireAdapter } from "./ports.ts";
import type { ArrivedRequest } from "./flow_types.ts";
import { ReadTurns } from "./read_turns.ts";
import { END_REASON, type EndReason, RequestScope } from "./request_scope.ts";
import type { SiteState } from "./site_state.ts";
import { type Truncation, TRUNCATION_CAUSE } from "./truncation.ts";

/** Hard limit of the header size, in bytes; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Shortest header line: a name of one character, a colon, CR and LF. */
const MIN_LINE_BYTES = 4;
/** How often connections are checked for header timeouts, in milliseconds. */
const HEADER_TIMEOUT_CHECK_MS = 500;
/** Timeouts until a configuration is known, in milliseconds. */
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Timeout for receiving a complete request with its body, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000;
/** Time without progress after which a stop doesn't wait for a body, in ms. */
const MIN_STALLED_MS = 1_000;
/** Connections that the kernel queues until they are accepted. */
const LISTEN_BACKLOG = 1_024;

/** Options of {@link Ingress}. */
export interface IngressOptions {
  readonly wire: WireAdapter;
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  readonly runRequest: (request: ArrivedRequest) => Promise<void>;
  /** Whether unread responses share the budget of bodies and answers. */
  readonly isContended: () => boolean;
  /** Resources of the VM; those of a small one if unset. */
  readonly vmLimits?: callerConnections.VmLimits;
  /** Planned from the resources of the VM if unset; for tests. */
  readonly budget?: bufferBudget.BufferBudgetOptions;
}

/** A request whose response is not closed. */
interface OpenRequest {
  readonly writer: AnswerWriter;
  readonly account: bufferBudget.BufferAccount;
}

/**
 * Accepts connections of callers and reads their requests.
 *
 * The HTTP parser of Node.js is strict, which prevents request smuggling: it rejects
 * a request with two Content-Length headers, or with a Content-Length and chunked
 * encoding, and closes the connection.
 */
export class Ingress {
  readonly #options: IngressOptions;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #closes = new ConnectionCloses<Socket>();
  readonly #turns = new ReadTurns();
  /** Requests whose responses are not closed yet. */
  readonly #requests = new Map<RequestScope, OpenRequest>();
  readonly #budget: bufferBudget.BufferBudget;
  #acceptedTotal = 0;
  /** Monotonic time at which the VM began to stop; undefined before. */
  #drainingSince: number | undefined;

  /** @param options Handler, configuration and log. */
  constructor(options: IngressOptions) {
    this.#options = options;
    const capacity = callerConnections.planCallerCapacity(
      options.vmLimits ?? callerConnections.DEFAULT_VM_LIMITS,
    );
    this.#budget = new bufferBudget.BufferBudget(
      options.budget ?? { limitBytes: capacity.maxBufferedBytes },
    );
    this.#connections = new CallerConnections({
      maxConnections: capacity.maxConnections,
      maxHeadBytes: capacity.maxHeadBytes,
      turns: this.#turns,
      getLimits: () => this.#getStrayLimits(),
      handleClosed: (counts) => this.#recordClosed(counts),
    });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      noDelay: true,
    }, (request, response) => {
      void this.#handleRequest(request, response);
    });
    this.#server.maxHeadersCount = MAX_HEADER_BYTES / MIN_LINE_BYTES;
    // Node.js reads its limits when it handles the event.
    this.#server.prependListener("connection", () => this.#applyLimits());
    this.#server.on("connection", (socket) => {
      this.#acceptedTotal += 1;
      this.#connections.add(socket);
    });
    this.#server.on(
      "clientError",
      (error: NodeJS.ErrnoException, socket) =>
        this.#connections.handleClientError(error, socket as Socket),
    );
    // Tunnels (CONNECT) and protocol upgrades are not supported.
    this.#server.on("connect", (_request, socket) => socket.destroy());
    this.#server.on("upgrade", (_request, socket) => socket.destroy());
  }

  /** Number of requests that have no final answer yet. */
  get activeRequests(): number {
    return this.#requests.size;
  }

  /** The same without those whose bodies stall, of which nothing has run. */
  get progressingRequests(): number {
    return [...this.#requests.values()]
      .filter(({ account }) => account.stalledMs < MIN_STALLED_MS).length;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Number of connections that were accepted so far. */
  get acceptedTotal(): number {
    return this.#acceptedTotal;
  }

  /** What is held for callers and endpoints. */
  get budget(): bufferBudget.BufferBudget {
    return this.#budget;
  }

  /** Starts listening. */
  start(host: string, port: number): Promise<void> {
    this.#connections.start();
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /** The port in use; for tests that listen on port 0. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Closes each connection after its next answer, so that callers reconnect. */
  startDraining(): void {
    this.#drainingSince ??= performance.now();
  }

  /**
   * Ends requests whose answers have not begun; each gets the answer that holds for
   * its state.
   *
   * @returns Number of requests that were ended.
   */
  endUnanswered(reason: EndReason): number {
    const unanswered = [...this.#requests].filter(([, { writer }]) =>
      !writer.hasStarted
    );
    return endScopes(unanswered.map(([scope]) => scope), reason);
  }

  /**
   * Ends all requests; streams that have begun break off, others get the answer that
   * holds for their state.
   *
   * @returns Number of requests that were ended.
   */
  endRequests(reason: EndReason): number {
    return endScopes([...this.#requests.keys()], reason);
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening and closes every connection at once. */
  destroy(): void {
    this.#server.close();
    for (const { writer } of this.#requests.values()) {
      writer.abort({ cause: TRUNCATION_CAUSE.exit });
    }
    this.#connections.destroy();
  }

  async #handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    const arrived = this.#connections.mayAddRequest(socket)
      ? this.#closes.addRequest(socket)
      : undefined;
    if (arrived === undefined) {
      // Bytes that stay unread would reset the connection before its last answer.
      request.resume();
      return;
    }
    const scope = new RequestScope();
    let mustClose = false;
    const account = this.#openAccount(
      request,
      () => writer.abort({ cause: TRUNCATION_CAUSE.unread }),
    );
    const writer = new AnswerWriter(response, {
      account: this.#options.isContended() ? account : undefined,
      answerAccount: account,
      handleHead: () => {
        mustClose ||= this.#drainingSince !== undefined;
        if (mustClose && this.#closes.mayAnnounce(arrived)) {
          response.setHeader("connection", "close");
        }
      },
      handleTruncation: (truncation) =>
        this.#recordTruncation(request, { writer, scope, truncation }),
    });
    const { rawHeaders } = request;
    account.add(
      bufferBudget.BUFFER_KIND.head,
      REQUEST_BYTES + countHeadBytes(rawHeaders) +
        rawHeaders.length * HEADER_STRING_BYTES,
    );
    this.#requests.set(scope, { writer, account });
    this.#connections.addResponse(response, () => {
      this.#requests.delete(scope);
      account.close();
      if (!response.writableFinished) scope.end(END_REASON.callerDisconnected);
    });
    this.#applyLimits();
    const body = await this.#readBody(request, { account, scope });
    if (body.kind === "failed") {
      const isFull = body.failure.code === "QUEUE_FULL";
      if (isFull && this.#connections.isPipelined(socket)) {
        return this.#connections.closePipelined(socket);
      }
      mustClose = true;
      writer.writeFailure(body.failure);
      this.#recordRefusal(request, body.failure);
      request.resume();
      return;
    }
    if (response.destroyed) return;
    try {
      await this.#options.runRequest({
        method: request.method ?? "GET",
        path: request.url ?? "/",
        host: request.headers.host ?? "",
        rawHeaders: request.rawHeaders,
        body: hasBody(request) ? body.bytes : undefined,
        caller: this.#options.wire.readCaller(request.headers),
        scope,
        writer,
      });
    } catch (error) {
      this.#handleInternalError(request, writer, scope, error);
    }
  }

  /** Records connections that were closed before or instead of a request. */
  #recordClosed(counts: CloseCounts): void {
    const { events, metrics } = this.#options;
    for (const [cause, count] of Object.entries(counts)) {
      metrics.count("caller_connections_closed_total", { cause }, count);
    }
    events.write(EVENT.connectionsClosed, {
      ...counts,
      open: this.#connections.size,
      heldBytes: this.#budget.heldBytes,
    });
  }

  /** Opens the account of a request; it closes with the response. */
  #openAccount(
    request: IncomingMessage,
    abort: () => void,
  ): bufferBudget.BufferAccount {
    return this.#budget.openAccount(({ unreadBytes, unreadMs }) => {
      this.#options.events.write(EVENT.responseEvicted, {
        requestId: this.#options.wire.readCaller(request.headers).requestId,
        unreadBytes,
        unreadMs: Math.round(unreadMs),
        heldBytes: this.#budget.heldBytes,
      });
      abort();
    });
  }

  /** Records that this VM ended an answer that had begun. */
  #recordTruncation(
    request: IncomingMessage,
    { writer, scope, truncation: { cause, reason } }: {
      readonly writer: AnswerWriter;
      readonly scope: RequestScope;
      readonly truncation: Truncation;
    },
  ): void {
    const { events, metrics, wire } = this.#options;
    metrics.count("responses_truncated_total", { cause });
    // An eviction has a log line of its own.
    if (cause === TRUNCATION_CAUSE.unread) return;
    events.write(EVENT.responseTruncated, {
      requestId: wire.readCaller(request.headers).requestId,
      cause,
      reason,
      ageMs: Math.round(scope.ageMs),
      silentMs: Math.round(writer.silentMs),
      unreadBytes: writer.unreadBytes,
      stoppingMs: this.#drainingSince === undefined
        ? undefined
        : Math.round(performance.now() - this.#drainingSince),
    });
  }

  #applyLimits(): void {
    const limits = this.#options.site.table?.limits;
    if (limits === undefined) return;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    // Node.js drops further lines without a word; a head with more is refused.
    this.#server.maxHeadersCount = Math.ceil(
      limits.maxHeaderBytes / MIN_LINE_BYTES,
    );
  }

  #getStrayLimits(): callerConnections.StrayLimits {
    this.#applyLimits();
    const { headersTimeout, keepAliveTimeout } = this.#server;
    return {
      maxHeaderBytes: MAX_HEADER_BYTES,
      headerTimeoutMs: headersTimeout,
      idleTimeoutMs: keepAliveTimeout,
    };
  }

  /** Reads the body into memory, unless it exceeds a limit. */
  #readBody(
    request: IncomingMessage,
    { account, scope }: {
      readonly account: bufferBudget.BufferAccount;
      readonly scope: RequestScope;
    },
  ): Promise<BodyResult> {
    const reader = new BodyReader(request, {
      budget: this.#budget,
      account,
      turns: this.#turns,
      maxBytes: this.#options.site.table?.limits.maxBodyBytes,
    });
    const reading = this.#connections.readBody(request, reader);
    const refusal = this.#checkRequestHead(request);
    if (refusal !== undefined) reader.fail(refusal);
    scope.addEndListener((reason) => {
      if (reason === END_REASON.stopping) reader.fail(buildStoppingRefusal());
    });
    return reading;
  }

  #checkRequestHead(request: IncomingMessage): codes.Failure | undefined {
    if (!request.url?.startsWith("/")) {
      return codes.createFailure(
        "INVALID_REQUEST",
        "The request target must be a path that starts with /",
      );
    }
    const limits = this.#options.site.table?.limits;
    if (limits === undefined) return undefined;
    const headerBytes = countHeadBytes(request.rawHeaders);
    if (headerBytes > limits.maxHeaderBytes) {
      return codes.createFailure(
        "HEADERS_TOO_LARGE",
        `Headers of ${headerBytes} bytes exceed ${limits.maxHeaderBytes} bytes`,
      );
    }
    const length = Number(request.headers["content-length"] ?? 0);
    return length > limits.maxBodyBytes
      ? createSizeFailure(length, limits.maxBodyBytes)
      : undefined;
  }

  #handleInternalError(
    request: IncomingMessage,
    writer: AnswerWriter,
    scope: RequestScope,
    error: unknown,
  ): void {
    const failure = codes.createFailure(
      "INTERNAL",
      "Internal error of the gateway",
    );
    if (writer.hasStarted) {
      writer.abort({ cause: TRUNCATION_CAUSE.internalError });
    } else writer.writeFailure(failure);
    scope.end(END_REASON.done);
    const reason = error instanceof Error ? error.stack : String(error);
    this.#recordRefusal(request, { ...failure, message: reason ?? "" });
  }

  #recordRefusal(request: IncomingMessage, failure: codes.Failure): void {
    this.#options.events.write(EVENT.requestRefused, {
      requestId: this.#options.wire.readCaller(request.headers).requestId,
      host: request.headers.host,
      path: request.url,
      code: failure.code,
      reason: failure.message,
    });
  }
}

/** Ends requests that still run; those with a complete answer are left. */
function endScopes(
  scopes: readonly RequestScope[],
  reason: EndReason,
): number {
  const running = scopes.filter(({ endedBy }) => endedBy === undefined);
  for (const scope of running) scope.end(reason);
  return running.length;
}

/** Added to each name and value: a colon, a space and CR LF for every pair. */
const HEADER_SEPARATOR_BYTES = 2;
/** Memory that a request takes beside its head and body, in bytes. */
const REQUEST_BYTES = 8_192;
/** Memory that a name or value takes beside its text, copies included, in bytes. */
const HEADER_STRING_BYTES = 128;

/** Returns the bytes of a head as its caller sent it, without the first line. */
function countHeadBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length, 0) +
    rawHeaders.length * HEADER_SEPARATOR_BYTES;
}

function hasBody(request: IncomingMessage): boolean {
  return request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
}
