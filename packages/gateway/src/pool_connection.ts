/**
 * One connection to an endpoint.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import type * as endpointPaths from "@sardinestep/endpoint_paths";
import type { Address } from "@sardinestep/types";
import type { Socket } from "node:net";
import Client from "undici/lib/dispatcher/client.js";
import { AnswerMeter, MAX_HEAD_BYTES } from "./answer_framing.ts";

/** How long an idle connection stays open, in milliseconds. */
export const IDLE_CONNECTION_TIMEOUT_MS = 4_000;

/** A connection with its state in the pool. */
export class PoolConnection {
  /** Its place in the order in which the pool opened connections, from 1. */
  readonly number: number;
  /** The client of undici that has this connection alone. */
  readonly client: Client;
  /** Monotonic time at which the last request ended. */
  idleSince = 0;
  /** Monotonic time at which it was open, in milliseconds. */
  openedAt = Infinity;
  isClosed = false;
  /** Called after the parser took bytes. */
  handleParsed: () => void = () => {};
  /** Called if the head of an answer is none, before the parser takes it. */
  handleFault: (fault: answerHeads.HeadFault) => void = () => {};
  #socket: Socket | undefined;
  readonly #heads = new answerHeads.HeadChecker();
  #isDirect = false;
  /** Set when the connection ends. */
  #isResetAtEnd: Promise<boolean> | undefined;
  #isPaused = false;

  /**
   * @param address The endpoint.
   * @param connect Opens the connection.
   * @param number Its place in the order of connections.
   */
  constructor(
    address: Address,
    connect: endpointPaths.Connector,
    number: number,
  ) {
    this.number = number;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
      connect: ((options, callback) =>
        connect(options, (error, socket) => {
          this.#socket = socket ?? undefined;
          this.openedAt = performance.now();
          if (this.#socket !== undefined) this.#controlReading(this.#socket);
          this.#isDirect = socket !== null && socket !== undefined &&
            `${socket.remoteAddress}:${socket.remotePort}` === address;
          // A failure comes without a socket, which the types don't show.
          callback(error as null, socket as Socket);
        })) as endpointPaths.Connector,
    });
    // The parser has its own listener by then, so that this one is called after it.
    this.client.once("connect", () => {
      this.#socket?.on("readable", () => this.handleParsed());
    });
    this.client.on("disconnect", () => this.close());
  }

  /**
   * Finds out whether the endpoint closed the connection in order. undici hides a reset,
   * and a VM that relays a connection ends it too when it exits.
   */
  async checkEnd(): Promise<boolean> {
    const hasEnded = this.#isDirect && this.#socket?.readableEnded === true;
    return hasEnded && await this.#isResetAtEnd === false;
  }

  /** Whether the version of the answer is HTTP/1.0. */
  get isHttp10(): boolean {
    return this.#heads.isHttp10;
  }

  /** Takes what is read next for the start of an answer. */
  startAnswer(): void {
    this.#heads.start();
  }

  /** Whether the kernel has taken all that was written. */
  get isRequestWritten(): boolean {
    return this.#socket?.writableLength === 0;
  }

  /** Reads nothing more until {@link resumeReading}. */
  pauseReading(): void {
    this.#isPaused = true;
  }

  /** Reads what has arrived meanwhile, and goes on. */
  resumeReading(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#socket?.emit("readable");
  }

  /**
   * Lets undici find nothing to read while this connection is paused, or after a head
   * that is none. Its own pause ends the process with an assertion if the connection
   * ends or is reset meanwhile.
   */
  #controlReading(socket: Socket): void {
    const read = socket.read.bind(socket);
    socket.read = (size) => this.#isPaused ? null : this.#check(read(size));
    // Once its other listeners have run, nothing can be written any more.
    socket.prependListener("end", () => {
      this.#isResetAtEnd = checkReset(socket);
    });
  }

  #check(bytes: Uint8Array | null): Uint8Array | null {
    const fault = bytes === null ? undefined : this.#heads.check(bytes);
    if (fault === undefined) return bytes;
    this.handleFault(fault);
    return null;
  }

  /** Whether it carried a request before the current one. */
  get isReused(): boolean {
    return this.idleSince > 0;
  }

  /** The connection, once it is open. */
  get socket(): Socket | undefined {
    return this.#socket;
  }

  /** Closes the connection if anything arrives before its next request. */
  startIdle(): void {
    this.idleSince = performance.now();
    if (this.#socket === undefined) return;
    const meter = new AnswerMeter(this.#socket);
    this.handleParsed = () => {
      if (meter.framingBytes > 0) this.close();
    };
  }

  /** Closes the connection at once. */
  close(): void {
    this.isClosed = true;
    if (!this.client.destroyed) void this.client.destroy();
  }
}

const NO_BYTES = new Uint8Array();

/**
 * Finds out whether a connection that has ended was reset. If a reset arrives together
 * with the last bytes, libuv reports an end in order, but writes fail.
 */
function checkReset(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write(
      NO_BYTES,
      (error) => resolve(error !== undefined && error !== null),
    );
  });
}
