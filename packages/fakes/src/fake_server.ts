/**
 * A listening stand-in whose network can fail in the ways that a real one does.
 *
 * @module
 */
import { getRequestListener } from "@hono/node-server";
import type { Address } from "@sardinestep/types";
import type { Hono } from "hono";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/**
 * How a stand-in is out of reach.
 *
 * - `none`: it answers.
 * - `refuse`: connects fail, and so does its own admin address.
 * - `hang`: requests are taken and never answered; admin works.
 * - `reset`: connections break on each request; admin works.
 */
export const OUTAGE = {
  none: "none",
  refuse: "refuse",
  hang: "hang",
  reset: "reset",
} as const;
export type Outage = (typeof OUTAGE)[keyof typeof OUTAGE];

const KEEP_ALIVE_MS = 60_000;

/** Handles a request itself, or returns false to leave it to the routes. */
export type RawHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => boolean;

/** What a {@link FakeServer} serves. */
export interface FakeServerOptions {
  /** Such as `127.0.0.1:7100`; port 0 takes a free one. */
  readonly listen: Address;
  readonly routes: Hono;
  /** The hot path, asked before the routes. */
  readonly handleRaw?: RawHandler;
}

/** An HTTP server on one address. */
export class FakeServer {
  readonly routes: Hono;
  readonly #handleRaw: RawHandler;
  readonly #handleRoutes: ReturnType<typeof getRequestListener>;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();
  readonly #host: string;
  #port: number;
  #outage: Outage = OUTAGE.none;

  constructor(options: FakeServerOptions) {
    const [host, port] = options.listen.split(":");
    this.routes = options.routes;
    this.#host = host;
    this.#port = Number(port);
    this.#handleRaw = options.handleRaw ?? (() => false);
    this.#handleRoutes = getRequestListener(this.routes.fetch, {
      overrideGlobalObjects: false,
    });
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS });
    this.#server.on("connection", (socket) => this.#addSocket(socket));
    this.#server.on("request", (incoming, outgoing) => {
      this.#handleRequest(incoming, outgoing);
    });
  }

  /** Where it listens, with the port that was taken. */
  get address(): Address {
    return `${this.#host}:${this.#port}`;
  }

  /** Listens; rejects when the address is taken. */
  async start(): Promise<void> {
    this.#server.listen(this.#port, this.#host);
    await once(this.#server, "listening");
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Begins or ends an outage; what hangs is broken off when it ends. */
  async setOutage(outage: Outage): Promise<void> {
    if (outage === this.#outage) return;
    const before = this.#outage;
    this.#outage = outage;
    if (outage === OUTAGE.refuse) await this.#stopListening();
    else if (before === OUTAGE.refuse) await this.start();
    else if (before === OUTAGE.hang) this.dropConnections();
  }

  /** Breaks every open connection. */
  dropConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Makes every open connection silent for good; new ones work. */
  setConnectionsSilent(): void {
    for (const socket of this.#sockets) this.#silent.add(socket);
  }

  /** Tells whether nothing goes through this connection any more. */
  isSilent(socket: Socket | null): boolean {
    return socket !== null && this.#silent.has(socket);
  }

  /** Ends the server and its connections. */
  async close(): Promise<void> {
    if (this.#server.listening) await this.#stopListening();
  }

  async #stopListening(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    this.dropConnections();
    await closed;
  }

  #addSocket(socket: Socket): void {
    socket.setNoDelay(true);
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    // A peer that breaks a connection is no error of the stand-in.
    socket.on("error", () => socket.destroy());
  }

  #handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): void {
    if (this.isSilent(incoming.socket)) return;
    if (!incoming.url?.startsWith("/admin/")) {
      if (this.#outage === OUTAGE.hang) return;
      if (this.#outage === OUTAGE.reset) {
        incoming.socket.destroy();
        return;
      }
    }
    if (this.#handleRaw(incoming, outgoing)) return;
    void this.#handleRoutes(incoming, outgoing);
  }
}
