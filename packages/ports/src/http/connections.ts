/**
 * Bounded HTTP connection pools, one per address.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { Err } from "ts-results-es";
import { Client, Pool } from "undici";
import type { PortError } from "../error.ts";
import { HttpExchange, type HttpRequest, type HttpResult } from "./exchange.ts";

/** Connections per address; a stage pool accepts fewer concurrent calls. */
export const DEFAULT_CONNECTIONS_PER_ADDRESS = 128;
/** Maximum number of pools; beyond it, a new pool replaces an idle one. */
export const DEFAULT_MAX_POOLS = 1024;
const KEEP_ALIVE_MS = 30_000;
const CLOSED: PortError = { kind: "not_sent", message: "Adapter is closed" };

/** Limits and callbacks of {@link HttpConnections}. */
export interface HttpConnectionsOptions {
  readonly connectionsPerAddress?: number;
  readonly maxPools?: number;
  /** Called when the last connection to an address breaks, unless closed locally. */
  readonly onDisconnect?: (address: Address) => void;
}

/** Sends a request on the connection that is being checked. */
export type SendOnConnection = (request: HttpRequest) => Promise<HttpResult>;

/**
 * Checks a new connection with requests of its own before the actual request is
 * sent on it. Returns an error if that request must not be sent.
 */
export type ConnectionCheck = (
  send: SendOnConnection,
) => Promise<PortError | undefined>;

/** Sends requests over pooled keep-alive connections or over new ones. */
export class HttpConnections {
  readonly #pools = new Map<Address, Pool>();
  readonly #unpooled = new Set<Client>();
  readonly #options: HttpConnectionsOptions;
  #isClosed = false;

  constructor(options: HttpConnectionsOptions = {}) {
    this.#options = options;
  }

  /** Sends a request over a pooled connection. */
  async send(address: Address, request: HttpRequest): Promise<HttpResult> {
    if (this.#isClosed) return Err(CLOSED);
    const exchange = new HttpExchange(request);
    this.#getPool(address).dispatch(buildDispatch(request), exchange);
    return await exchange.result;
  }

  /**
   * Sends a request over a new connection that is not reused. On a broken network
   * path the connect fails, which proves that nothing ran.
   */
  async sendOverNewConnection(
    address: Address,
    request: HttpRequest,
    check?: ConnectionCheck,
  ): Promise<HttpResult> {
    if (this.#isClosed) return Err(CLOSED);
    const client = new Client(buildOrigin(address), buildClientOptions());
    this.#unpooled.add(client);
    const send: SendOnConnection = (sentRequest) => {
      const exchange = new HttpExchange(sentRequest);
      client.dispatch(buildDispatch(sentRequest), exchange);
      return exchange.result;
    };
    try {
      const checkError = await check?.(send);
      return checkError ? Err(checkError) : await send(request);
    } finally {
      this.#unpooled.delete(client);
      await client.destroy();
    }
  }

  /** Closes all connections; running requests fail, later ones are not sent. */
  async close(): Promise<void> {
    this.#isClosed = true;
    const dispatchers = [...this.#pools.values(), ...this.#unpooled];
    this.#pools.clear();
    await Promise.all(dispatchers.map((dispatcher) => dispatcher.destroy()));
  }

  #getPool(address: Address): Pool {
    const existing = this.#pools.get(address);
    if (existing) return existing;
    this.#dropIdlePool();
    const pool = new Pool(buildOrigin(address), {
      ...buildClientOptions(),
      connections: this.#options.connectionsPerAddress ??
        DEFAULT_CONNECTIONS_PER_ADDRESS,
    });
    this.#pools.set(address, pool);
    this.#watchDisconnects(address, pool);
    return pool;
  }

  /** Reports once each time that all connections of a pool broke. */
  #watchDisconnects(address: Address, pool: Pool): void {
    let isConnected = false;
    pool.on("connect", () => isConnected = true);
    pool.on("disconnect", (_origin, _targets, error) => {
      // UND_ERR_INFO: closed by this side, because idle or aborted.
      if (error.code === "UND_ERR_INFO" || pool.stats.connected > 0) return;
      if (!isConnected || this.#pools.get(address) !== pool) return;
      isConnected = false;
      this.#options.onDisconnect?.(address);
    });
  }

  #dropIdlePool(): void {
    const maxPools = this.#options.maxPools ?? DEFAULT_MAX_POOLS;
    if (this.#pools.size < maxPools) return;
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

/** Without pipelining, so that no request waits for the response to another. */
function buildClientOptions() {
  return {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    // Disabled: the timer of the exchange is finer than undici's.
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
