/**
 * Relays connections of other VMs to endpoints.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { buildTarget, type Connector } from "./timed_connect.ts";
import {
  CALLER_HEADER,
  STATUS_REFUSED,
  STATUS_UNREACHABLE,
} from "./tunnel_client.ts";

/** Options of {@link openTunnelServer}. */
export interface TunnelServerOptions {
  /** Connects directly, with a timeout: a tunnel has one hop. */
  readonly connect: Connector;
  /** Whether a tunnel to an address may be opened now. */
  readonly mayOpen: (target: Address) => boolean;
}

/** A listening tunnel server. */
export interface TunnelServer {
  /**
   * Number of open tunnels. Each may carry a request, since a stream may pause: only
   * the VM that opened a tunnel knows, and closes it when it carries none.
   */
  readonly size: number;
  /** Number of tunnels opened so far. */
  readonly openedTotal: number;
  /** RPC addresses of the VMs that have tunnels open, as they gave them. */
  getCallers(): ReadonlySet<Address>;
  /** Stops listening and closes every tunnel. */
  close(): void;
}

/**
 * Most tunnels of a VM. Each takes two of its descriptors, which are 4,096 at least.
 */
export const MAX_TUNNELS = 1_000;
/** Time without bytes after which the kernel probes a connection, in ms. */
const KEEP_ALIVE_DELAY_MS = 5_000;

interface Tunnel {
  /** RPC address of the VM that opened it, if it gave one. */
  readonly callerRpc: Address | undefined;
  readonly caller: Socket;
  readonly endpoint: Socket;
}

/**
 * Listens for HTTP CONNECT requests of other VMs.
 *
 * @param address Address to bind.
 * @param options How endpoints are reached, and which.
 * @throws {Error} When the address is already in use.
 * @example
 * ```ts
 * const server = await openTunnelServer("127.0.0.1:7755", {
 *   connect,
 *   mayOpen: (target) => endpoints.has(target),
 * });
 * ```
 */
export async function openTunnelServer(
  address: Address,
  options: TunnelServerOptions,
): Promise<TunnelServer> {
  const server = createServer((_request, response) => {
    response.writeHead(STATUS_NOT_FOUND).end();
  });
  const tunnels = new TunnelSet(server, options);
  const { host, port } = rpc.parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, () => {
      server.off("error", reject);
      resolve();
    });
  });
  return tunnels;
}

const STATUS_NOT_FOUND = 404;

interface TunnelRequest {
  /** Address of the endpoint. */
  readonly target: Address;
  readonly caller: Socket;
  readonly callerRpc: Address | undefined;
}

class TunnelSet implements TunnelServer {
  readonly #server: Server;
  readonly #options: TunnelServerOptions;
  readonly #tunnels = new Set<Tunnel>();
  /** Connections on which no tunnel is open yet. */
  readonly #pending = new Set<Socket>();
  openedTotal = 0;

  constructor(server: Server, options: TunnelServerOptions) {
    this.#server = server;
    this.#options = options;
    server.on(
      "connect",
      ({ url = "", headers }, socket: Socket) => {
        const callerRpc = headers[CALLER_HEADER]?.toString();
        this.#handle({ target: url, caller: socket, callerRpc });
      },
    );
  }

  get size(): number {
    return this.#tunnels.size;
  }

  getCallers(): ReadonlySet<Address> {
    const addresses = [...this.#tunnels].map(({ callerRpc }) => callerRpc);
    return new Set(addresses.filter((address) => address !== undefined));
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const socket of this.#pending) socket.destroy();
    for (const { caller } of this.#tunnels) caller.destroy();
  }

  #handle(asked: TunnelRequest): void {
    const { target, caller } = asked;
    caller.on("error", () => caller.destroy());
    const isFull = this.#tunnels.size + this.#pending.size >= MAX_TUNNELS;
    if (isFull || !this.#options.mayOpen(target)) {
      return sendStatus(caller, STATUS_REFUSED);
    }
    this.#connect(asked);
  }

  #connect(asked: TunnelRequest): void {
    const { target, caller } = asked;
    this.#pending.add(caller);
    this.#options.connect(buildTarget(target), (...[error, endpoint]) => {
      this.#pending.delete(caller);
      if (error !== null) return sendStatus(caller, STATUS_UNREACHABLE);
      if (caller.destroyed) return void endpoint.destroy();
      if (!this.#options.mayOpen(target)) {
        endpoint.destroy();
        return sendStatus(caller, STATUS_REFUSED);
      }
      this.#openTunnel(asked, endpoint as Socket);
    });
  }

  #openTunnel({ caller, callerRpc }: TunnelRequest, endpoint: Socket): void {
    const tunnel: Tunnel = { callerRpc, caller, endpoint };
    this.#tunnels.add(tunnel);
    this.openedTotal += 1;
    this.#forward(tunnel, "caller");
    this.#forward(tunnel, "endpoint");
    caller.write("HTTP/1.1 200 OK\r\n\r\n");
  }

  #forward(tunnel: Tunnel, from: "caller" | "endpoint"): void {
    const isCaller = from === "caller";
    const source = isCaller ? tunnel.caller : tunnel.endpoint;
    const target = isCaller ? tunnel.endpoint : tunnel.caller;
    source.setNoDelay(true);
    source.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    // A reset is passed on as one: an answer that it cuts off must not look complete.
    source.on("error", () => target.resetAndDestroy());
    // The sockets of an HTTP server stay half open.
    if (isCaller) source.on("end", () => source.destroy());
    source.on("close", () => {
      this.#tunnels.delete(tunnel);
      if (isCaller) target.destroy();
      else target.destroySoon();
    });
    source.pipe(target);
  }
}

function sendStatus(socket: Socket, status: number): void {
  if (socket.destroyed) return;
  socket.end(`HTTP/1.1 ${status} Tunnel\r\nContent-Length: 0\r\n\r\n`);
}
