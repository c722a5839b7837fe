/**
 * An HTTP server with switchable network faults, on which all fakes are built.
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
 * How a fake is unreachable.
 *
 * - `none`: it answers.
 * - `refuse`: connections are refused, also for its own admin paths.
 * - `hang`: requests are accepted and never answered; admin paths work.
 * - `reset`: each request closes its connection; admin paths work.
 */
export const OUTAGE = {
  none: "none",
  refuse: "refuse",
  hang: "hang",
  reset: "reset",
} as const;
export type Outage = (typeof OUTAGE)[keyof typeof OUTAGE];

const KEEP_ALIVE_MS = 60_000;

/** Handles a request, or returns false to pass it on to the routes. */
export type RawHandler = (
  incoming: IncomingMessage,
  outgoing: ServerResponse,
) => boolean;

/** Options of {@link FakeServer}. */
export interface FakeServerOptions {
  /** Such as `127.0.0.1:7100`; port 0 selects a free port. */
  readonly listen: Address;
  readonly routes: Hono;
  /** Handler of the hot path, called before the routes. */
  readonly handleRaw?: RawHandler;
}

/** An HTTP server on one address with switchable faults. */
export class FakeServer {
  readonly routes: Hono;
  readonly #handleRaw: RawHandler;
  readonly #handleRoutes: ReturnType<typeof getRequestListener>;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silentSockets = new WeakSet<Socket>();
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

  /** Address it listens on, with the actual port. */
  get address(): Address {
    return `${this.#host}:${this.#port}`;
  }

  /** Starts to listen; rejects if the address is in use. */
  async start(): Promise<void> {
    this.#server.listen(this.#port, this.#host);
    await once(this.#server, "listening");
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Starts or ends an outage; the end of `hang` drops the open connections. */
  async setOutage(outage: Outage): Promise<void> {
    if (outage === this.#outage) return;
    const previous = this.#outage;
    this.#outage = outage;
    if (outage === OUTAGE.refuse) await this.#stopListening();
    else if (previous === OUTAGE.refuse) await this.start();
    else if (previous === OUTAGE.hang) this.dropConnections();
  }

  /** Closes every open connection. */
  dropConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Stops all traffic on the open connections for good; new ones work. */
  setConnectionsSilent(): void {
    for (const socket of this.#sockets) this.#silentSockets.add(socket);
  }

  /** Whether traffic on this connection was stopped. */
  isSilent(socket: Socket | null): boolean {
    return socket !== null && this.#silentSockets.has(socket);
  }

  /** Closes the server and its connections. */
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
    // A connection reset by the peer is not an error of the fake.
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
