/**
 * The connections of callers, from their accept to their close.
 *
 * @module
 */
import * as callerConnections from "@sardinestep/caller_connections";
import * as codes from "@sardinestep/codes";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { BodyReader } from "./body_reader.ts";
import type { ReadTurns } from "./read_turns.ts";

/** Interval of checks for bytes without a request, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** Most requests of a connection that have no answer yet. */
const MAX_PIPELINED = 64;
/** Bytes that are read behind a broken request; a close is seen until then. */
const MAX_BROKEN_BYTES = 65_536;
/** Time for a caller to read its refusal while it still sends a body, in ms. */
const LINGER_MS = 1_000;
/** The same in bytes, of what it sends. */
const MAX_LINGER_BYTES = 8 * 1_048_576;
/** Retry delay for callers of a VM that has no descriptors left, in seconds. */
const REFUSED_RETRY_AFTER_S = 0.5;
const MS_PER_SECOND = 1_000;

/** Why a connection was closed before or instead of a request. */
export const CLOSE_CAUSE = {
  /** Callers hold as many connections, heads or requests in a row as they may. */
  excess: "excess",
  /** Bytes behind its last request are none. */
  stray: "stray",
  /** Its bytes can't be parsed, or exceed a limit. */
  invalid: "invalid",
  /** A head or a body took too long. */
  slow: "slow",
} as const;
/** A value of {@link CLOSE_CAUSE}. */
export type CloseCause = typeof CLOSE_CAUSE[keyof typeof CLOSE_CAUSE];

/** Numbers of connections by the cause of their close. */
export type CloseCounts = Readonly<Partial<Record<CloseCause, number>>>;

/** Options of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  readonly maxConnections: number;
  readonly turns: ReadTurns;
  /** Most bytes of incomplete heads, of all connections. */
  readonly maxHeadBytes: number;
  /** Limits of the configuration in force, or of the time before it. */
  readonly getLimits: () => callerConnections.StrayLimits;
  /** Called at intervals with the connections that were closed since. */
  readonly handleClosed: (counts: CloseCounts) => void;
}

/** Answers to bytes that are no request, by the error of Node.js. */
const CLIENT_ERROR_STATUSES: ReadonlyMap<string, string> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", "408 Request Timeout"],
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
]);

interface TrackedConnection {
  /** Closes each of its open responses. */
  readonly closeHandlers: Set<() => void>;
  /** Monotonic time since which it has no request. */
  idleSince: number;
  /** Whether a request has arrived on it. */
  isUsed: boolean;
  /** Bytes received up to the end of the last request. */
  requestBytes: number;
  /** Reads the body of the newest request; undefined if none is incomplete. */
  reader?: BodyReader;
  /** Bytes received up to the error behind which no request follows. */
  brokenBytes?: number;
  /** Whether it is read no more. */
  isMuted?: boolean;
  /** Whether what it holds is needed, so that it closes without a wait. */
  mustFree?: boolean;
}

/** Keeps the connections of callers within their limits. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #connections = new Map<Socket, TrackedConnection>();
  /** Bytes of incomplete heads, the one that began first in front. */
  readonly #heads = new Map<Socket, number>();
  #headBytes = 0;
  #checkTimer: NodeJS.Timeout | undefined;
  #closeCounts: Partial<Record<CloseCause, number>> = {};

  /** @param options Limits, and what is called when a connection is closed. */
  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Starts the checks for bytes without a request. */
  start(): void {
    this.#checkTimer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    this.#checkTimer.unref();
  }

  /** Closes every connection at once. */
  destroy(): void {
    clearInterval(this.#checkTimer);
    for (const socket of this.#connections.keys()) socket.destroy();
  }

  /** Adds a connection that was accepted; another may close for it. */
  add(socket: Socket): void {
    const closeHandlers = new Set<() => void>();
    this.#connections.set(socket, {
      closeHandlers,
      idleSince: performance.now(),
      isUsed: false,
      requestBytes: 0,
    });
    // Heads have to be counted as they arrive, before a timer could.
    socket.on("data", ({ length }) => this.#countHead(socket, length));
    socket.once("close", () => {
      this.#drop(socket);
      // Node.js closes only the response that is being written.
      process.nextTick(() => {
        for (const handle of [...closeHandlers]) handle();
      });
    });
    if (this.size > this.#options.maxConnections) this.#closeExcess(socket);
    this.#options.turns.addUnproven(socket);
  }

  /** Whether another request of a connection is read; if not, the connection closes. */
  mayAddRequest(socket: Socket): boolean {
    const tracked = this.#connections.get(socket);
    if (tracked === undefined) return false;
    if (tracked.closeHandlers.size < MAX_PIPELINED) return true;
    this.closePipelined(socket);
    return false;
  }

  /** Whether requests before the newest one of a connection have no answer yet. */
  isPipelined(socket: Socket): boolean {
    return (this.#connections.get(socket)?.closeHandlers.size ?? 0) > 1;
  }

  /**
   * Closes a connection with requests in a row: one that is refused would be held until
   * those before it are answered.
   */
  closePipelined(socket: Socket): void {
    this.#countClose(CLOSE_CAUSE.excess);
    this.#drop(socket);
    socket.destroy();
  }

  /** Calls a function once when a response is closed, or its connection is. */
  addResponse(response: ServerResponse, handleClose: () => void): void {
    const { socket } = response.req;
    const connection = this.#connections.get(socket);
    const handle = () => {
      connection?.closeHandlers.delete(handle);
      response.off("close", handle);
      handleClose();
      if (connection?.closeHandlers.size !== 0) return;
      connection.idleSince = performance.now();
      if (connection.brokenBytes === undefined) return;
      if (connection.mustFree) socket.destroySoon();
      else closeGently(socket);
    };
    if (connection !== undefined) connection.isUsed = true;
    connection?.closeHandlers.add(handle);
    response.once("close", handle);
  }

  /** Reads a body; bytes that break the request end the reading. */
  async readBody(
    request: IncomingMessage,
    reader: BodyReader,
  ): ReturnType<BodyReader["read"]> {
    const { socket } = request;
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.reader = reader;
    const result = await reader.read();
    if (connection !== undefined) {
      connection.reader = undefined;
      connection.requestBytes = socket.bytesRead;
    }
    this.#setHeadBytes(socket, 0);
    if (result.kind === "failed") {
      if (connection !== undefined) connection.brokenBytes ??= socket.bytesRead;
      if (connection?.mustFree !== true) dropRest(request);
    }
    return result;
  }

  /**
   * Closes a connection whose bytes are no request, after the answers to those before:
   * Node.js would answer in the place of one that runs.
   */
  handleClientError({ code }: NodeJS.ErrnoException, socket: Socket): void {
    const isOpen = socket.writable && !socket.readableEnded &&
      code !== "ECONNRESET";
    if (!isOpen) return void socket.destroy();
    const connection = this.#connections.get(socket);
    if (connection?.brokenBytes !== undefined) {
      // Bytes that stay in the kernel cost nothing.
      const bytes = socket.bytesRead - connection.brokenBytes;
      if (bytes > MAX_BROKEN_BYTES) {
        connection.isMuted = true;
        socket.pause();
      }
      return;
    }
    const isSlow = code === "ERR_HTTP_REQUEST_TIMEOUT";
    this.#countClose(isSlow ? CLOSE_CAUSE.slow : CLOSE_CAUSE.invalid);
    if (connection === undefined || connection.closeHandlers.size === 0) {
      return this.#refuse(
        socket,
        CLIENT_ERROR_STATUSES.get(code ?? "") ?? "400 Bad Request",
      );
    }
    connection.brokenBytes = socket.bytesRead;
    connection.reader?.failIncomplete(createBrokenFailure(code));
  }

  /** Closes a connection that has no request, with a status; none is read any more. */
  #refuse(socket: Socket, status: string): void {
    this.#drop(socket);
    closeWith(socket, status);
  }

  /**
   * Closes a connection to free what it holds. A status would stand in the place of the
   * answer to a request that runs.
   */
  #release(socket: Socket): void {
    this.#countClose(CLOSE_CAUSE.excess);
    const tracked = this.#connections.get(socket);
    const use = tracked === undefined ? undefined : getUse(tracked);
    switch (use?.kind) {
      case "reading":
        return this.#releaseReading(socket);
      case "running":
        this.#drop(socket);
        return void socket.destroy();
      case "unused":
      case "idle":
      case undefined:
        return this.#refuse(socket, REFUSED_STATUS);
    }
  }

  /** Ends a request that is incomplete; its connection closes without a wait. */
  #releaseReading(socket: Socket): void {
    this.#setHeadBytes(socket, 0);
    const tracked = this.#connections.get(socket);
    if (tracked?.reader?.failIncomplete(createExcessFailure()) !== true) return;
    tracked.brokenBytes = socket.bytesRead;
    tracked.isMuted = true;
    tracked.mustFree = true;
    socket.pause();
  }

  #closeExcess(newest: Socket): void {
    const others = [...this.#connections]
      .filter(([socket]) => socket !== newest)
      .map(([socket, tracked]) => ({
        connection: socket,
        use: getUse(tracked),
      }));
    const picked = callerConnections.pickExcess(others, performance.now());
    this.#release(picked ?? newest);
  }

  #drop(socket: Socket): void {
    this.#connections.delete(socket);
    this.#setHeadBytes(socket, 0);
  }

  /**
   * Counts what has arrived of a head, or of trailers; the oldest ones close if all are
   * too large.
   */
  #countHead(socket: Socket, arrivedBytes: number): void {
    const tracked = this.#connections.get(socket);
    if (tracked === undefined) return;
    const { reader, brokenBytes, requestBytes } = tracked;
    if (tracked.isMuted) return void socket.pause();
    reader?.recordArrival(arrivedBytes);
    const strayBytes = reader?.strayBytes ?? socket.bytesRead - requestBytes;
    if (brokenBytes !== undefined) return this.#setHeadBytes(socket, 0);
    this.#setHeadBytes(socket, strayBytes);
    if (reader === undefined && strayBytes > 0) {
      this.#options.turns.addUnproven(socket);
    }
    while (this.#headBytes > this.#options.maxHeadBytes) {
      const [oldest] = this.#heads.keys();
      if (oldest === undefined) return;
      this.#release(oldest);
    }
  }

  #setHeadBytes(socket: Socket, bytes: number): void {
    this.#headBytes += bytes - (this.#heads.get(socket) ?? 0);
    if (bytes === 0) this.#heads.delete(socket);
    else this.#heads.set(socket, bytes);
  }

  #countClose(cause: CloseCause): void {
    this.#closeCounts[cause] = (this.#closeCounts[cause] ?? 0) + 1;
  }

  #check(): void {
    this.#closeStray();
    if (Object.keys(this.#closeCounts).length === 0) return;
    this.#options.handleClosed(this.#closeCounts);
    this.#closeCounts = {};
  }

  #closeStray(): void {
    const limits = this.#options.getLimits();
    const now = performance.now();
    for (const [socket, tracked] of [...this.#connections]) {
      if (tracked.brokenBytes !== undefined) continue;
      const fate = callerConnections.decideFate({
        use: getUse(tracked),
        strayBytes: socket.bytesRead - tracked.requestBytes,
      }, { limits, now });
      switch (fate.kind) {
        case "open":
          break;
        case "refuse":
          this.#countClose(CLOSE_CAUSE.stray);
          this.#refuse(socket, "400 Bad Request");
          break;
        case "timeOut":
          this.#countClose(CLOSE_CAUSE.slow);
          this.#refuse(socket, "408 Request Timeout");
          break;
        case "closeAfterAnswers":
          this.#countClose(CLOSE_CAUSE.stray);
          tracked.brokenBytes = socket.bytesRead;
          tracked.isMuted = true;
          socket.pause();
          break;
      }
    }
  }
}

const REFUSED_STATUS =
  `503 Service Unavailable\r\nRetry-After: ${REFUSED_RETRY_AFTER_S}`;

/** Reads on behind a request that is refused, so that its caller gets the refusal. */
function dropRest(request: IncomingMessage): void {
  const { socket } = request;
  const maxBytes = socket.bytesRead + MAX_LINGER_BYTES;
  socket.destroySoon = () => closeGently(socket);
  request.on("data", () => {
    if (socket.bytesRead > maxBytes) request.pause();
  });
}

/**
 * Closes a connection once its caller has had time to read the last answer: a close
 * with unread bytes resets the connection.
 */
function closeGently(socket: Socket): void {
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}

/** Writes a status in place of an answer, and closes the connection. */
function closeWith(socket: Socket, status: string): void {
  socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  socket.destroySoon();
}

function getUse(tracked: TrackedConnection): callerConnections.ConnectionUse {
  const { reader, closeHandlers, isUsed, idleSince: since } = tracked;
  // Requests before the one that is read may run.
  if (reader !== undefined && closeHandlers.size === 1) {
    return { kind: "reading", stalledMs: reader.stalledMs };
  }
  if (closeHandlers.size > 0) return { kind: "running" };
  return { kind: isUsed ? "idle" : "unused", since };
}

function createExcessFailure(): codes.Failure {
  return codes.createFailure("QUEUE_FULL", "Callers hold too much", {
    retryAfterMs: REFUSED_RETRY_AFTER_S * MS_PER_SECOND,
  });
}

function createBrokenFailure(code: string | undefined): codes.Failure {
  switch (code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return codes.createFailure(
        "CALLER_TOO_SLOW",
        "The body did not arrive in time",
      );
    case "HPE_HEADER_OVERFLOW":
      return codes.createFailure(
        "HEADERS_TOO_LARGE",
        "The trailers exceed the limit of a head",
      );
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return codes.createFailure(
        "BODY_TOO_LARGE",
        "The extensions of a chunk exceed the limit",
      );
    default:
      return codes.createFailure(
        "INVALID_REQUEST",
        `The body can't be parsed: ${code}`,
      );
  }
}
