/**
 * Requests to endpoints, one at a time on each connection.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import type { Dispatcher } from "undici";
import buildConnector from "undici/lib/core/connect.js";
import Client from "undici/lib/dispatcher/client.js";
import { buildTimedConnect } from "./timed_connect.ts";

/** A request to an endpoint. */
export interface PoolRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body?: Uint8Array;
  /** A kept connection that was idle for longer is not used, in milliseconds. */
  readonly maxIdleMs: number;
}

/** Why there is no whole answer. */
export interface PoolFailure {
  /** `notSent`: the connection provably carried nothing of the request. */
  readonly kind: "notSent" | "lost";
  readonly message: string;
  /** The other side closed or reset the connection under the request. */
  readonly isDisconnect: boolean;
}

/** Receives an answer as it comes. */
export interface AnswerSink {
  /** The request is on its way on a connection. */
  handleSent?(): void;
  handleHead(status: number, headers: ReadonlyMap<string, string>): void;
  handleData(chunk: Uint8Array): void;
  handleEnd(): void;
  handleFailure(failure: PoolFailure): void;
}

/** A request that is under way. */
export interface PoolCall {
  /** Ends it; the connection is closed, so the endpoint notices. */
  cancel(): void;
  /** Stops reading until {@link resume}, so that a slow reader holds it back. */
  pause(): void;
  resume(): void;
}

/**
 * Longest handshake, in milliseconds. Zones are under 3 ms apart; after a lost
 * packet the next try of the kernel comes after a second, too late for a caller,
 * while a new connection is there at once.
 */
const CONNECT_TIMEOUT_MS = 150;
/** How long an idle connection is kept, in milliseconds. */
const KEEP_IDLE_MS = 4_000;
/** Idle connections to one address; an endpoint accepts some hundred in all. */
const MAX_IDLE_PER_ADDRESS = 8;

const connectInTime = buildTimedConnect(
  buildConnector({ timeout: 0 }),
  CONNECT_TIMEOUT_MS,
);

/** Statuses whose answers have no body, and so need no length. */
const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** Codes of errors by which a connection ends from the other side. */
const DISCONNECT_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** What the library takes beside the options that it types. */
interface NamedDispatch extends Dispatcher.DispatchOptions {
  readonly servername: string;
}

/** A connection and what has happened on it. */
class PoolConnection {
  readonly client: Client;
  idleSince = 0;
  isBroken = false;

  constructor(address: Address) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_IDLE_MS,
      connect: connectInTime,
    });
    this.client.on("disconnect", () => this.close());
  }

  close(): void {
    this.isBroken = true;
    if (!this.client.destroyed) void this.client.destroy();
  }
}

/**
 * Keeps connections to endpoints.
 *
 * Guards against answers that belong to another request: each connection carries
 * one request at a time, and one on which anything unexpected happened (bytes
 * without a request, an answer that was cut, a reset) is closed and never used
 * again. A late second answer that arrives in place of the next one is told by
 * the id that it echoes; the caller of this class compares it.
 *
 * An answer without length never counts as whole: a process that dies is closed by
 * its kernel just as one that has said everything, so the end proves nothing. It
 * shows as the beginning of an answer that looks complete.
 */
export class HttpPool {
  readonly #idle = new Map<Address, PoolConnection[]>();
  #opened = 0;

  /** Connections opened since the start. */
  get openedTotal(): number {
    return this.#opened;
  }

  /** Sends a request; the sink gets exactly one end or failure. */
  send(request: PoolRequest, sink: AnswerSink): PoolCall {
    const connection = this.#takeConnection(request);
    const exchange = new PoolExchange(connection, sink, () => {
      this.#keepConnection(request.address, connection);
    });
    try {
      const options: NamedDispatch = {
        // For TLS only. Without a name the library works one out by a pattern
        // whose compilation takes a tenth of a start.
        servername: request.address,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body === undefined ? null : Buffer.from(
          request.body.buffer,
          request.body.byteOffset,
          request.body.byteLength,
        ),
      };
      connection.client.dispatch(options, exchange);
    } catch (error) {
      exchange.onError(error as Error);
    }
    return exchange;
  }

  /** Closes every idle connection. */
  close(): void {
    for (const kept of this.#idle.values()) {
      for (const connection of kept) connection.close();
    }
    this.#idle.clear();
  }

  #takeConnection(request: PoolRequest): PoolConnection {
    const kept = this.#idle.get(request.address) ?? [];
    const now = performance.now();
    while (kept.length > 0) {
      const newest = kept.at(-1)!;
      if (!newest.isBroken && now - newest.idleSince > request.maxIdleMs) break;
      kept.pop();
      if (!newest.isBroken) return newest;
    }
    this.#opened += 1;
    return new PoolConnection(request.address);
  }

  #keepConnection(address: Address, connection: PoolConnection): void {
    if (connection.isBroken) return;
    const kept = (this.#idle.get(address) ?? []).filter((one) => !one.isBroken);
    connection.idleSince = performance.now();
    kept.push(connection);
    if (kept.length > MAX_IDLE_PER_ADDRESS) kept.shift()!.close();
    this.#idle.set(address, kept);
  }
}

/** Hands one answer from the library to a sink. */
class PoolExchange implements Dispatcher.DispatchHandlers, PoolCall {
  readonly #connection: PoolConnection;
  readonly #sink: AnswerSink;
  readonly #keep: () => void;
  #isSent = false;
  #isOver = false;
  #isPaused = false;
  #hasLength = false;
  #resume: () => void = () => {};

  constructor(
    connection: PoolConnection,
    sink: AnswerSink,
    keep: () => void,
  ) {
    this.#connection = connection;
    this.#sink = sink;
    this.#keep = keep;
  }

  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#connection.close();
  }

  pause(): void {
    this.#isPaused = true;
  }

  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#resume();
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.#isOver) return abort();
    this.#isSent = true;
    this.#sink.handleSent?.();
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#isOver || status < 200) return true;
    this.#resume = resume;
    const headers = buildHeaderMap(raw);
    this.#hasLength = headers.has("content-length") ||
      headers.has("transfer-encoding") || STATUS_WITHOUT_BODY.has(status);
    this.#sink.handleHead(status, headers);
    return !this.#isPaused;
  }

  onData(chunk: Buffer): boolean {
    if (!this.#isOver) this.#sink.handleData(chunk);
    return !this.#isPaused;
  }

  onComplete(): void {
    if (this.#isOver) return;
    if (!this.#hasLength) {
      return this.#fail(
        new Error("An answer without length has no end that proves it whole"),
      );
    }
    this.#isOver = true;
    this.#keep();
    this.#sink.handleEnd();
  }

  onError(error: Error): void {
    if (!this.#isOver) this.#fail(error);
  }

  #fail(error: Error): void {
    this.#isOver = true;
    this.#connection.close();
    this.#sink.handleFailure({
      kind: this.#isSent ? "lost" : "notSent",
      message: error.message,
      isDisconnect: this.#isSent && isDisconnect(error),
    });
  }
}

function isDisconnect(error: Error): boolean {
  return DISCONNECT_CODES.has((error as NodeJS.ErrnoException).code ?? "");
}

/** Names in lower case; values of a repeated header are joined by commas. */
function buildHeaderMap(raw: readonly Buffer[]): Map<string, string> {
  const headers = new Map<string, string>();
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i]!.toString("latin1").toLowerCase();
    const value = raw[i + 1]!.toString("latin1");
    const before = headers.get(name);
    headers.set(name, before === undefined ? value : `${before}, ${value}`);
  }
  return headers;
}
