/**
 * Bounded pools of connections, one for each address.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { Err } from "ts-results-es";
import { Client, Pool } from "undici";
import type { PortError } from "../error.ts";
import { Exchange, type HttpRequest, type HttpResult } from "./exchange.ts";

/** Connections to one address; a stage pool bears fewer calls at once. */
export const DEFAULT_CONNECTIONS_PER_ADDRESS = 128;
/** Addresses with a pool at once; an idle one is closed for a new one. */
export const DEFAULT_MAX_ADDRESSES = 1024;
const KEEP_ALIVE_MS = 30_000;
const CLOSED: PortError = { kind: "not_sent", message: "Adapter is closed" };

/** Bounds and news of {@link HttpConnections}. */
export interface HttpConnectionsOptions {
  readonly connectionsPerAddress?: number;
  readonly maxAddresses?: number;
  /** Called when the last open connection to an address broke from outside. */
  readonly onDisconnect?: (address: Address) => void;
}

/** Sends requests over pooled keep-alive connections or a fresh one. */
export class HttpConnections {
  readonly #pools = new Map<Address, Pool>();
  readonly #fresh = new Set<Client>();
  readonly #options: HttpConnectionsOptions;
  #isClosed = false;

  constructor(options: HttpConnectionsOptions = {}) {
    this.#options = options;
  }

  /** Sends over a pooled connection. */
  async send(address: Address, request: HttpRequest): Promise<HttpResult> {
    if (this.#isClosed) return Err(CLOSED);
    const exchange = new Exchange(request);
    this.#getPool(address).dispatch(buildDispatch(request), exchange);
    return await exchange.result;
  }

  /**
   * Sends over a new connection, used for this request alone: a path that has
   * died shows as a failed connect, which proves that nothing ran.
   */
  async sendFresh(address: Address, request: HttpRequest): Promise<HttpResult> {
    if (this.#isClosed) return Err(CLOSED);
    const exchange = new Exchange(request);
    const client = new Client(buildOrigin(address), buildClientOptions());
    this.#fresh.add(client);
    client.dispatch(buildDispatch(request), exchange);
    try {
      return await exchange.result;
    } finally {
      this.#fresh.delete(client);
      await client.destroy();
    }
  }

  /** Ends all connections; calls that still run fail, later ones are not sent. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const all = [...this.#pools.values(), ...this.#fresh];
    this.#pools.clear();
    await Promise.all(all.map((dispatcher) => dispatcher.destroy()));
  }

  #getPool(address: Address): Pool {
    const known = this.#pools.get(address);
    if (known) return known;
    this.#dropIdlePool();
    const pool = new Pool(buildOrigin(address), {
      ...buildClientOptions(),
      connections: this.#options.connectionsPerAddress ??
        DEFAULT_CONNECTIONS_PER_ADDRESS,
    });
    this.#pools.set(address, pool);
    this.#startWatch(address, pool);
    return pool;
  }

  /** One piece of news for each time that all connections broke. */
  #startWatch(address: Address, pool: Pool): void {
    let isConnected = false;
    pool.on("connect", () => isConnected = true);
    pool.on("disconnect", (_origin, _targets, error) => {
      // UND_ERR_INFO marks what this side ended itself: idle or given up.
      if (error.code === "UND_ERR_INFO" || pool.stats.connected > 0) return;
      if (!isConnected || this.#pools.get(address) !== pool) return;
      isConnected = false;
      this.#options.onDisconnect?.(address);
    });
  }

  #dropIdlePool(): void {
    const max = this.#options.maxAddresses ?? DEFAULT_MAX_ADDRESSES;
    if (this.#pools.size < max) return;
    for (const [address, pool] of this.#pools) {
      if (pool.stats.size > 0) continue;
      this.#pools.delete(address);
      void pool.destroy();
      return;
    }
  }
}

function buildOrigin(address: Address): string {
  return `http://${address}`;
}

/** No pipelining: a request never waits behind another one's answer. */
function buildClientOptions() {
  return {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // The exchange's own timer is finer than undici's.
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

function buildDispatch(request: HttpRequest) {
  const headers = request.body === undefined
    ? request.headers
    : { "content-type": "application/json", ...request.headers };
  return {
    method: request.method,
    path: request.path,
    headers: headers ?? null,
    body: request.body ?? null,
  };
}
