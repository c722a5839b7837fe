/**
 * The HTTP server that callers connect to.
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

/** Serves the callers' routes at one address. */
export class CallersServer {
  readonly #server: Server;

  /** @param options What the routes call. */
  constructor(options: HttpRoutesOptions) {
    const { fetch } = createHttpRoutes(options);
    // The adaptor makes a plain HTTP server unless it is told otherwise.
    this.#server = createAdaptorServer({ fetch }) as Server;
    handleClientErrors(this.#server, options.countRefusal);
  }

  /**
   * Begins to listen.
   *
   * @param address IP number and port.
   * @throws {Error} When the address is taken.
   */
  async listen(address: Address): Promise<void> {
    const { host, port } = rpc.parseAddress(address);
    this.#server.listen(port, host);
    await once(this.#server, "listening");
  }

  /** Ends every connection. */
  async close(): Promise<void> {
    if (!this.#server.listening) return;
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }
}
