/**
 * A connection pool for requests to endpoints, without pipelining.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import * as endpointPaths from "@sardinestep/endpoint_paths";
import type { Address } from "@sardinestep/types";
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import buildConnector from "undici/lib/core/connect.js";
import {
  AnswerMeter,
  isFramingExcessive,
  MAX_FRAMING_BYTES,
} from "./answer_framing.ts";
import { PoolConnection } from "./pool_connection.ts";

export { IDLE_CONNECTION_TIMEOUT_MS } from "./pool_connection.ts";

/** What is known of the process that sent an answer. */
export const PROCESS_STATE = {
  running: "running",
  /** Nothing accepts connections at its address, or they break. */
  ended: "ended",
  /** Another process reports at its address. */
  replaced: "replaced",
  unknown: "unknown",
} as const;
/** A value of {@link PROCESS_STATE}. */
export type ProcessState = typeof PROCESS_STATE[keyof typeof PROCESS_STATE];

/** A request to an endpoint. */
export interface PoolRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body?: Uint8Array;
  /** Connections that were idle for longer are not reused, in milliseconds. */
  readonly maxIdleMs: number;
  /** Opens a connection on which no answer to an earlier request can arrive. */
  readonly needsNewConnection?: boolean;
  /** Whether an idle connection may carry it; each may if unset. */
  readonly mayUse?: (connection: SendConnection) => boolean;
  /**
   * Finds out whether the process that answered still runs. Set if the answer may end
   * with its connection; the sink checks its end.
   */
  readonly checkProcess?: () => Promise<ProcessState>;
}

/** Why there is no complete answer. */
export interface PoolFailure {
  /** `notSent`: nothing of the request was written to a connection. */
  readonly kind: "notSent" | "lost";
  readonly message: string;
  /** The endpoint closed or reset the connection during the request. */
  readonly isDisconnect: boolean;
}

/** An open connection to which a request is written. */
export interface SendConnection {
  /** Monotonic time at which it was open, in milliseconds. */
  readonly openedAt: number;
  /** Whether it carried another request before. */
  readonly isReused: boolean;
  /** Its place in the order in which this VM opened connections. */
  readonly number: number;
}

/** Receives an answer as it arrives. */
export interface AnswerSink {
  /** The request is being written to an open connection. */
  handleSent?(connection: SendConnection): void;
  handleHead(status: number, headers: ReadonlyMap<string, string>): void;
  handleData(chunk: Uint8Array): void;
  /**
   * Whether the connection may carry another request after this answer, which is
   * complete; it may if unset. Called before {@link handleEnd}.
   */
  mayReuse?(): boolean;
  /** @param framing What showed where the body ends. */
  handleEnd(framing: answerHeads.Framing): void;
  handleFailure(failure: PoolFailure): void;
}

/** A request in progress. */
export interface PoolCall {
  /** Cancels the request and closes its connection, so the endpoint notices. */
  cancel(): void;
  /** Stops reading until {@link resume}, for backpressure from a slow reader. */
  pause(): void;
  resume(): void;
}

/**
 * Timeout of the TCP handshake, in milliseconds. Zones are less than 3 ms apart.
 * After packet loss the kernel retransmits only after a second, which is too late
 * for a caller, while a new connection is established at once.
 */
export const CONNECT_TIMEOUT_MS = 150;
/**
 * Maximum number of idle connections to one address; an endpoint accepts some
 * hundred connections in total.
 */
const MAX_IDLE_PER_ADDRESS = 8;

/** Opens connections over TCP, without a timeout. */
export const connectOverTcp: endpointPaths.Connector = buildConnector({
  timeout: 0,
});

/** Options of {@link HttpPool}. */
export interface HttpPoolOptions {
  /** Opens connections with a timeout; over TCP by default. */
  readonly connect?: endpointPaths.Connector;
  /** Whether a connection may carry another request; each may by default. */
  readonly mayReuse?: (socket: Socket) => boolean;
  /** Finds the VM that relays a connection; undefined if it is direct. */
  readonly findRelay?: (socket: Socket) => string | undefined;
}

/** Error codes for a connection that the endpoint closed or reset. */
const DISCONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Adds an option that undici supports but does not declare. */
interface DispatchOptionsWithServername extends Dispatcher.DispatchOptions {
  readonly servername: string;
}

/**
 * Keeps connections to endpoints open for reuse.
 *
 * To keep answers from reaching the wrong request, a connection carries one request
 * at a time, and is closed after anything unexpected (bytes without a request, a
 * truncated answer, a reset). A duplicate answer that arrives in place of the next
 * one can only be detected by the request id that it echoes; the caller of this
 * class compares it, and sends a request again only on connections that have not
 * carried it: neither the endpoint nor its address shows that, since a process that
 * starts again at its address may have another id.
 *
 * An answer that is delimited only by the end of its connection counts as complete
 * only if its content shows its end, as events do, and the process that sent it still
 * runs: the kernel closes the connections of a crashed process in the same way, so a
 * truncated answer would look complete. That its address accepts connections shows
 * nothing, since the endpoint may have started again by then.
 */
export class HttpPool {
  readonly #idleByAddress = new Map<Address, PoolConnection[]>();
  readonly #connect: endpointPaths.Connector;
  readonly #mayReuse: (socket: Socket) => boolean;
  readonly #findRelay: (socket: Socket) => string | undefined;
  #openedTotal = 0;

  /** @param options How connections are opened. */
  constructor(options: HttpPoolOptions = {}) {
    this.#connect = options.connect ?? endpointPaths.buildConnectorWithTimeout(
      connectOverTcp,
      CONNECT_TIMEOUT_MS,
    );
    this.#mayReuse = options.mayReuse ?? (() => true);
    this.#findRelay = options.findRelay ?? (() => undefined);
  }

  /** Number of connections opened so far. */
  get openedTotal(): number {
    return this.#openedTotal;
  }

  /**
   * Sends a request; never throws. Unless it is cancelled, the sink gets exactly one
   * `handleEnd` or `handleFailure` call.
   */
  send(request: PoolRequest, sink: AnswerSink): PoolCall {
    const { address } = request;
    if (!URL.canParse(`http://${address}`)) {
      const message = `Cannot connect to "${address}": expected IP:port`;
      sink.handleFailure({ kind: "notSent", message, isDisconnect: false });
      return NO_CALL;
    }
    const connection = this.#acquireConnection(request);
    const exchange = new PoolExchange(sink, {
      request,
      connection,
      findRelay: this.#findRelay,
      release: () => this.#returnConnection(request, connection),
      checkProcess: request.checkProcess ??
        (() => this.#checkListening(address)),
    });
    try {
      const options: DispatchOptionsWithServername = {
        // Only used for TLS. Without it, undici derives a name with a regular
        // expression whose compilation takes a tenth of the startup time.
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
    for (const address of [...this.#idleByAddress.keys()]) {
      this.closeIdle(address);
    }
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: Address): void {
    const idle = this.#idleByAddress.get(address) ?? [];
    this.#idleByAddress.delete(address);
    for (const connection of idle) connection.close();
  }

  /** Closes idle connections that may carry no other request. */
  closeUnusable(): void {
    for (const idle of this.#idleByAddress.values()) {
      for (const connection of idle) {
        if (!this.#isReusable(connection)) connection.close();
      }
    }
  }

  /** Resolves to `ended` if an address accepts no connection. */
  #checkListening(address: Address): Promise<ProcessState> {
    this.#openedTotal += 1;
    const { hostname, port } = new URL(`http://${address}`);
    const target = { hostname, host: address, port, protocol: "http:" };
    return new Promise((resolve) =>
      this.#connect(target, (error, socket) => {
        socket?.destroy();
        resolve(error === null ? PROCESS_STATE.unknown : PROCESS_STATE.ended);
      })
    );
  }

  #acquireConnection(request: PoolRequest): PoolConnection {
    const idle = this.#takeIdle(request);
    if (idle !== undefined) return idle;
    this.#openedTotal += 1;
    return new PoolConnection(
      request.address,
      this.#connect,
      this.#openedTotal,
    );
  }

  /** Takes the newest idle connection that may carry a request. */
  #takeIdle(request: PoolRequest): PoolConnection | undefined {
    if (request.needsNewConnection === true) return undefined;
    const idle = this.#idleByAddress.get(request.address) ?? [];
    const idleSince = performance.now() - request.maxIdleMs;
    for (let i = idle.length - 1; i >= 0; i--) {
      const connection = idle[i]!;
      const isTooOld = connection.idleSince < idleSince;
      if (isTooOld && !connection.isClosed) return undefined;
      const isReusable = this.#isReusable(connection);
      if (isReusable && request.mayUse?.(connection) === false) continue;
      idle.splice(i, 1);
      if (isReusable) return connection;
      connection.close();
    }
    return undefined;
  }

  #isReusable({ isClosed, socket }: PoolConnection): boolean {
    return !isClosed && (socket === undefined || this.#mayReuse(socket));
  }

  #returnConnection(
    { address, needsNewConnection }: PoolRequest,
    connection: PoolConnection,
  ): void {
    const { socket } = connection;
    // Another VM would hold a tunnel for a connection that served one call.
    const isSpare = needsNewConnection === true && socket !== undefined &&
      this.#findRelay(socket) !== undefined;
    if (isSpare || !this.#isReusable(connection)) return connection.close();
    const idle = (this.#idleByAddress.get(address) ?? []).filter((entry) =>
      !entry.isClosed
    );
    connection.startIdle();
    idle.push(connection);
    if (idle.length > MAX_IDLE_PER_ADDRESS) idle.shift()!.close();
    this.#idleByAddress.set(address, idle);
  }
}

/** A request that was not sent. */
const NO_CALL: PoolCall = {
  cancel: () => {},
  pause: () => {},
  resume: () => {},
};

/** What an exchange needs of its pool. */
interface ExchangeOptions {
  readonly request: PoolRequest;
  readonly connection: PoolConnection;
  readonly findRelay: (socket: Socket) => string | undefined;
  /** Called when the connection may be used again. */
  readonly release: () => void;
  readonly checkProcess: () => Promise<ProcessState>;
}

/** Passes one answer from undici to a sink. */
class PoolExchange implements Dispatcher.DispatchHandlers, PoolCall {
  readonly #request: PoolRequest;
  readonly #connection: PoolConnection;
  readonly #sink: AnswerSink;
  readonly #options: ExchangeOptions;
  #isSent = false;
  #isFinished = false;
  #isPaused = false;
  /** What was parsed since the sink paused. */
  #pending: (() => void)[] = [];
  #framing: answerHeads.Framing = answerHeads.FRAMING.connection;
  #meter: AnswerMeter | undefined;

  constructor(sink: AnswerSink, options: ExchangeOptions) {
    this.#request = options.request;
    this.#connection = options.connection;
    this.#sink = sink;
    this.#options = options;
  }

  cancel(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#connection.close();
  }

  pause(): void {
    this.#isPaused = true;
    this.#connection.pauseReading();
  }

  resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    const pending = this.#pending;
    this.#pending = [];
    for (const passOn of pending) this.#handle(passOn);
    if (!this.#isPaused) this.#connection.resumeReading();
  }

  onConnect(abort: (error?: Error) => void): void {
    if (this.#isFinished) return abort();
    this.#isSent = true;
    const { socket } = this.#connection;
    if (socket !== undefined) this.#meter = new AnswerMeter(socket);
    this.#connection.handleParsed = () => this.#checkFraming();
    this.#connection.handleFault = (fault) => this.#failHead(fault);
    this.#connection.startAnswer();
    this.#sink.handleSent?.(this.#connection);
  }

  onHeaders(status: number, raw: Buffer[]): boolean {
    if (this.#isFinished || status < 200) return true;
    const headers = answerHeads.buildHeaderMap(raw);
    const { isHttp10 } = this.#connection;
    const head = { status, headers, isHttp10 };
    const fault = answerHeads.checkFraming(head, this.#request);
    if (fault !== undefined) {
      this.#failHead(fault);
      return true;
    }
    this.#framing = answerHeads.findFraming(head, this.#request.method);
    this.#sink.handleHead(status, headers);
    return true;
  }

  onData(chunk: Buffer): boolean {
    this.#meter?.addBody(chunk.length);
    this.#handle(() => this.#sink.handleData(chunk));
    return true;
  }

  onComplete(trailers: unknown): void {
    // undici passes alternating names and values, unlike its types say.
    const fault = answerHeads.checkFields((trailers ?? []) as Buffer[]);
    // A socket that is destroyed no longer counts what it has not written.
    const isSent = this.#connection.isRequestWritten;
    this.#handle(() =>
      fault === undefined ? this.#complete(isSent) : this.#failHead(fault)
    );
  }

  /** Passes on a part of the answer, once the sink takes it. */
  #handle(passOn: () => void): void {
    if (this.#isPaused) this.#pending.push(passOn);
    else if (!this.#isFinished) passOn();
  }

  #complete(isSent: boolean): void {
    if (this.#framing === answerHeads.FRAMING.connection) {
      return void this.#endUnframed(isSent);
    }
    this.#isFinished = true;
    if (this.#sink.mayReuse?.() ?? true) this.#options.release();
    else this.#connection.close();
    this.#sink.handleEnd(this.#framing);
  }

  onError(error: Error): void {
    if (this.#isFinished) return;
    this.#fail(error.message, isDisconnect(error));
  }

  #failHead(fault: answerHeads.HeadFault): void {
    if (this.#isFinished) return;
    this.#fail(answerHeads.formatFault(fault), false);
  }

  #checkFraming(): void {
    if (this.#isFinished || this.#meter === undefined) return;
    if (!isFramingExcessive(this.#meter)) return;
    const message =
      `Answer has over ${MAX_FRAMING_BYTES} bytes that are not its body`;
    this.#fail(message, false);
  }

  /** Ends an answer that ended with its connection. */
  async #endUnframed(isSent: boolean): Promise<void> {
    if (!isSent) {
      const message =
        "Answer has no length, and its request was not sent to its end";
      return this.#fail(message, false);
    }
    const state = await this.#options.checkProcess();
    if (this.#isFinished) return;
    const isWhole = state === PROCESS_STATE.running &&
      await this.#connection.checkEnd();
    if (this.#isFinished) return;
    if (!isWhole) {
      const message =
        `Answer has no length, and the state of its process is ${state}`;
      const isDisconnected = state === PROCESS_STATE.ended ||
        state === PROCESS_STATE.replaced;
      return this.#fail(message, isDisconnected);
    }
    this.#isFinished = true;
    this.#connection.close();
    this.#sink.handleEnd(this.#framing);
  }

  #fail(message: string, isDisconnected: boolean): void {
    this.#isFinished = true;
    const { socket } = this.#connection;
    const relay = socket && this.#options.findRelay(socket);
    this.#connection.close();
    this.#sink.handleFailure({
      kind: this.#isSent ? "lost" : "notSent",
      message: relay === undefined ? message : `${message} (through ${relay})`,
      isDisconnect: this.#isSent && isDisconnected,
    });
  }
}

function isDisconnect(error: Error): boolean {
  return DISCONNECT_ERROR_CODES.has(
    (error as NodeJS.ErrnoException).code ?? "",
  );
}
