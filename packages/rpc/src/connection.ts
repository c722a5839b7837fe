/**
 * Bidirectional JSON-RPC 2.0 over one TCP connection, one JSON text per line.
 *
 * @module
 */
import * as jsonRpc from "json-rpc-2.0";
import type { Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import type { RpcError } from "./error.ts";
import { LineBuffer } from "./line_buffer.ts";
import type { MethodName, Methods, Notifications } from "./methods.ts";

/** Longest accepted message; a configuration of 32,000 customers takes 5 MB. */
const MAX_MESSAGE_BYTES = 16 * 1_048_576;
/** Unsent bytes above which the remote side is too slow; it could not hold them. */
const MAX_UNSENT_BYTES = 128 * 1_048_576;
const DEFAULT_PING_INTERVAL_MS = 500;
const DEFAULT_SILENCE_TIMEOUT_MS = 2_000;
/**
 * Share of the ping interval after which an idle connection is pinged. With a
 * share of 1, a connection idle for just under one interval was not pinged, and at
 * the next check it had been idle for nearly two, beyond the silence timeout. The
 * healthy connection was closed, and calls to leaders of other zones failed after a
 * second.
 */
const PING_IDLE_RATIO = 0.5;
const CLOSED_MESSAGE = "Connection closed";

/** Handlers of the methods that this side serves. */
export type Handlers = {
  readonly [M in MethodName]?: (
    params: Methods[M]["params"],
    connection: Connection,
  ) => Promise<Methods[M]["result"]> | Methods[M]["result"];
};

/** Handlers and timeouts of a connection. */
export interface ConnectionOptions {
  readonly handlers?: Handlers;
  readonly onStateUpdate?: (update: Notifications["news"]) => void;
  readonly onClosed?: (reason: string) => void;
  /** Interval of the idle check; an idle connection is pinged. */
  readonly pingIntervalMs?: number;
  /**
   * The connection is closed as silent when nothing was received for this long.
   * Must exceed 1.5 ping intervals, so that a ping is sent first.
   */
  readonly silenceTimeoutMs?: number;
}

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/**
 * An established connection.
 *
 * Connections can go silent for good without a FIN or RST, when a device between
 * the two ends loses their state. Both ends therefore ping an idle connection, and
 * an end that receives nothing for {@link ConnectionOptions.silenceTimeoutMs}
 * destroys it, which fails all pending calls at once. This is safe because any live
 * peer answers pings from its event loop.
 */
export class Connection {
  readonly #socket: Socket;
  readonly #options: ConnectionOptions;
  readonly #rpc: jsonRpc.JSONRPCServerAndClient;
  readonly #pingTimer: NodeJS.Timeout;
  #lastReceivedAt = performance.now();
  #closed = false;
  #closeReason = CLOSED_MESSAGE;

  constructor(socket: Socket, options: ConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#rpc = this.#createRpc();
    socket.setNoDelay(true);
    socket.on("error", (error) => this.#handleClosed(error.message));
    socket.on("close", () => this.#handleClosed(this.#closeReason));
    this.#readLines();
    const pingIntervalMs = options.pingIntervalMs ?? DEFAULT_PING_INTERVAL_MS;
    this.#pingTimer = setInterval(() => this.#checkIdle(), pingIntervalMs);
    this.#pingTimer.unref();
  }

  /** Whether the connection still accepts calls. */
  get isOpen(): boolean {
    return !this.#closed;
  }

  /** Calls a method of the remote side. */
  async call<M extends MethodName>(
    method: M,
    params: Methods[M]["params"],
    options: CallOptions,
  ): Promise<Result<Methods[M]["result"], RpcError>> {
    if (this.#closed) return Err(createError("not_sent", this.#closeReason));
    try {
      const request = this.#rpc.timeout(options.timeoutMs).request(
        method,
        params,
      );
      return Ok(await request as Methods[M]["result"]);
    } catch (error) {
      return Err(this.#classifyError(error));
    }
  }

  /** Sends a state update without waiting for a response. */
  sendStateUpdate(update: Notifications["news"]): void {
    if (!this.#closed) this.#rpc.notify("news", update);
  }

  /** Closes the connection; pending calls fail as `lost`. */
  close(reason = CLOSED_MESSAGE): void {
    this.#closeReason = reason;
    this.#socket.destroy();
    this.#handleClosed(reason);
  }

  #createRpc(): jsonRpc.JSONRPCServerAndClient {
    const server = new jsonRpc.JSONRPCServer({ errorListener: () => {} });
    this.#addHandlers(server);
    const client = new jsonRpc.JSONRPCClient((message) => this.#write(message));
    return new jsonRpc.JSONRPCServerAndClient(server, client, {
      errorListener: () => {},
    });
  }

  #addHandlers(server: jsonRpc.JSONRPCServer): void {
    server.addMethod("alive", () => true);
    server.addMethod("news", (update) => this.#options.onStateUpdate?.(update));
    for (
      const [name, handler] of Object.entries(this.#options.handlers ?? {})
    ) {
      const handle = handler as (
        params: unknown,
        connection: Connection,
      ) => unknown;
      server.addMethod(name, (params: unknown) => handle(params, this));
    }
  }

  #readLines(): void {
    const buffer = new LineBuffer(MAX_MESSAGE_BYTES);
    this.#socket.on("data", (chunk) => {
      const step = buffer.addBytes(chunk);
      if (step.kind === "tooLong") {
        return this.close("Received an oversized message");
      }
      for (const line of step.lines) this.#handleLine(line);
    });
  }

  #handleLine(line: string): void {
    if (this.#closed) return;
    this.#lastReceivedAt = performance.now();
    const message = parseMessage(line);
    if (message === undefined) return this.close("Received malformed JSON");
    this.#rpc.receiveAndSend(message).catch((error) =>
      this.#handleSendError(error)
    );
  }

  /**
   * Prevents an unhandled rejection, which would end the process, when the remote
   * side disconnects before its call was answered: the library then rejects with
   * the error that {@link #write} threw. The remote side sees its call as lost.
   */
  #handleSendError(error: unknown): void {
    if (this.#closed) return;
    this.close(error instanceof Error ? error.message : String(error));
  }

  #write(message: unknown): void {
    if (this.#closed) throw new Error(this.#closeReason);
    this.#socket.write(`${JSON.stringify(message)}\n`);
    const isReaderTooSlow = this.#socket.writableLength > MAX_UNSENT_BYTES;
    if (isReaderTooSlow) this.close("Remote side reads too slowly");
  }

  get #idleMs(): number {
    return performance.now() - this.#lastReceivedAt;
  }

  #checkIdle(): void {
    const idleMs = this.#idleMs;
    const silenceTimeoutMs = this.#options.silenceTimeoutMs ??
      DEFAULT_SILENCE_TIMEOUT_MS;
    const pingIntervalMs = this.#options.pingIntervalMs ??
      DEFAULT_PING_INTERVAL_MS;
    if (idleMs > silenceTimeoutMs) {
      // After a pause of the process, what has arrived is read first.
      setImmediate(() => {
        const isSilent = !this.#closed && this.#idleMs > silenceTimeoutMs;
        if (isSilent) this.close("Silent connection");
      });
      return;
    }
    if (idleMs < pingIntervalMs * PING_IDLE_RATIO) return;
    this.#rpc.timeout(silenceTimeoutMs).request("alive", {}).then(
      () => {},
      () => {},
    );
  }

  #handleClosed(reason: string): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#closeReason = reason;
    clearInterval(this.#pingTimer);
    this.#rpc.rejectAllPendingRequests(reason);
    this.#options.onClosed?.(reason);
  }

  #classifyError(error: unknown): RpcError {
    const message = error instanceof Error ? error.message : String(error);
    if (message === TIMEOUT_MESSAGE) return createError("timeout", message);
    if (this.#closed) return createError("lost", message);
    return createError("failed", message);
  }
}

/** Message of the error with which the library reports a timeout. */
const TIMEOUT_MESSAGE = "Request timeout";

function createError(kind: RpcError["kind"], message: string): RpcError {
  return { kind, message };
}

function parseMessage(line: string): jsonRpc.JSONRPCRequest | undefined {
  try {
    const value = JSON.parse(line);
    return typeof value === "object" && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
