/**
 * One TCP connection that carries JSON-RPC 2.0 both ways, a JSON text a line.
 *
 * @module
 */
import * as jsonRpc from "json-rpc-2.0";
import type { Socket } from "node:net";
import split2 from "split2";
import { Err, Ok, type Result } from "ts-results-es";
import type { RpcError } from "./error.ts";
import type { MethodName, Methods, Notifications } from "./methods.ts";

/** Longest accepted message; a configuration of 32,000 customers fits. */
const MAX_MESSAGE_CHARACTERS = 64 * 1_048_576;
/** Unsent bytes above which a reader counts as stuck: it could not hold them. */
const MAX_UNSENT_BYTES = 128 * 1_048_576;
const DEFAULT_PING_INTERVAL_MS = 500;
const DEFAULT_SILENT_AFTER_MS = 2_000;
/**
 * Share of the interval between two looks after which a connection is pinged.
 * Guards against a live one that is cut: quiet for just under an interval it was
 * not pinged, and at the next look it had been quiet for two, beyond what counts as
 * silent. It showed as calls to leaders of other zones that failed after a second.
 */
const QUIET_SHARE = 0.5;
const CLOSED_MESSAGE = "Connection closed";

/** Handlers of the methods that one side answers. */
export type Handlers = {
  readonly [M in MethodName]?: (
    params: Methods[M]["params"],
    connection: Connection,
  ) => Promise<Methods[M]["result"]> | Methods[M]["result"];
};

/** How a connection behaves. */
export interface ConnectionOptions {
  readonly handlers?: Handlers;
  readonly onNews?: (news: Notifications["news"]) => void;
  readonly onClosed?: (reason: string) => void;
  /** How often the connection is looked at; a quiet one is pinged. */
  readonly pingIntervalMs?: number;
  /**
   * The connection counts as silent when nothing was received for so long; more
   * than one and a half of the interval, so that a ping is out before.
   */
  readonly silentAfterMs?: number;
}

/** Limits of one call. */
export interface CallOptions {
  readonly timeoutMs: number;
}

/**
 * A connection after it was made.
 *
 * Guard against connections that go silent for good (something between the two
 * ends has lost track of them, no FIN or RST arrives): both ends ping a quiet
 * connection, and an end that hears nothing for {@link
 * ConnectionOptions.silentAfterMs} destroys it, which fails all waiting calls at
 * once. It holds since any live peer answers pings from its event loop.
 */
export class Connection {
  readonly #socket: Socket;
  readonly #options: ConnectionOptions;
  readonly #rpc: jsonRpc.JSONRPCServerAndClient;
  readonly #pingTimer: NodeJS.Timeout;
  #heardAt = performance.now();
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
    const interval = options.pingIntervalMs ?? DEFAULT_PING_INTERVAL_MS;
    this.#pingTimer = setInterval(() => this.#checkSilence(), interval);
    this.#pingTimer.unref();
  }

  /** Whether calls can still be made. */
  get isOpen(): boolean {
    return !this.#closed;
  }

  /** Calls a method of the other side. */
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
      return Err(this.#classify(error));
    }
  }

  /** Sends news without waiting for an answer. */
  sendNews(news: Notifications["news"]): void {
    if (!this.#closed) this.#rpc.notify("news", news);
  }

  /** Ends the connection; calls still waiting fail as `lost`. */
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
    server.addMethod("news", (news) => this.#options.onNews?.(news));
    for (
      const [name, handler] of Object.entries(this.#options.handlers ?? {})
    ) {
      const answer = handler as (params: unknown, from: Connection) => unknown;
      server.addMethod(name, (params: unknown) => answer(params, this));
    }
  }

  #readLines(): void {
    const lines = split2({ maxLength: MAX_MESSAGE_CHARACTERS });
    lines.on("data", (line: string) => this.#handleLine(line));
    lines.on("error", () => this.close("Received an oversized message"));
    this.#socket.pipe(lines);
  }

  #handleLine(line: string): void {
    this.#heardAt = performance.now();
    const message = parseMessage(line);
    if (message === undefined) return this.close("Received malformed JSON");
    this.#rpc.receiveAndSend(message).catch((error) =>
      this.#handleUnsent(error)
    );
  }

  /**
   * Guards against the end of the process where the other side is gone before its
   * call was answered: the answer has nowhere to go, and the library rejects with
   * what {@link #write} threw. The other side sees its call as lost.
   */
  #handleUnsent(error: unknown): void {
    if (this.#closed) return;
    this.close(error instanceof Error ? error.message : String(error));
  }

  #write(message: unknown): void {
    if (this.#closed) throw new Error(this.#closeReason);
    this.#socket.write(`${JSON.stringify(message)}\n`);
    const isStuck = this.#socket.writableLength > MAX_UNSENT_BYTES;
    if (isStuck) this.close("The other side reads too slowly");
  }

  #checkSilence(): void {
    const quietMs = performance.now() - this.#heardAt;
    const silentAfter = this.#options.silentAfterMs ?? DEFAULT_SILENT_AFTER_MS;
    const interval = this.#options.pingIntervalMs ?? DEFAULT_PING_INTERVAL_MS;
    if (quietMs > silentAfter) return this.close("Silent connection");
    if (quietMs < interval * QUIET_SHARE) return;
    this.#rpc.timeout(silentAfter).request("alive", {}).then(
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

  #classify(error: unknown): RpcError {
    const message = error instanceof Error ? error.message : String(error);
    if (message === TIMEOUT_MESSAGE) return createError("timeout", message);
    if (this.#closed) return createError("lost", message);
    return createError("failed", message);
  }
}

/** The library's own message when its time limit ran out. */
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
