/**
 * The HTTP server for callers.
 *
 * @module
 */
import { createAdaptorServer } from "@hono/node-server";
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { once } from "node:events";
import type { Server } from "node:http";
import { handleClientErrors } from "./client_error.ts";
import { createHttpRoutes, type HttpRoutesOptions } from "./http_routes.ts";

/** Serves the routes for callers at one address. */
export class HttpServer {
  readonly #server: Server;

  /** @param options Handlers and limits of the routes. */
  constructor(options: HttpRoutesOptions) {
    const { fetch } = createHttpRoutes(options);
    // The adaptor creates a plain HTTP server by default, hence the cast.
    this.#server = createAdaptorServer({ fetch }) as Server;
    handleClientErrors(this.#server, options.countRefusal);
  }

  /**
   * Starts to listen.
   *
   * @param address IP address and port.
   * @throws {Error} If the address is in use.
   */
  async listen(address: Address): Promise<void> {
    const { host, port } = rpc.parseAddress(address);
    this.#server.listen(port, host);
    await once(this.#server, "listening");
  }

  /** Stops the server and closes every connection. */
  async close(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }
}
