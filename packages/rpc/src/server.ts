/**
 * RPC server that accepts connections from other processes.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { parseAddress } from "./address.ts";
import { Connection, type ConnectionOptions } from "./connection.ts";

/** A listening server. */
export interface RpcServer {
  /** The bound address, with the assigned port if port 0 was requested. */
  readonly address: Address;
  /** Stops listening and closes every connection. */
  close(): Promise<void>;
}

/**
 * Listens on an address and handles calls from other processes.
 *
 * @param address Address to bind; port 0 selects any free port.
 * @param options Handlers and timeouts of each accepted connection.
 * @returns The listening server.
 * @throws {Error} When the address is already in use.
 * @example
 * ```ts
 * const server = await openServer("127.0.0.1:7000", { handlers });
 * ```
 */
export async function openServer(
  address: Address,
  options: ConnectionOptions,
): Promise<RpcServer> {
  const connections = new Set<Connection>();
  const server = createServer((socket) => {
    const connection: Connection = new Connection(socket, {
      ...options,
      onClosed: (reason) => {
        connections.delete(connection);
        options.onClosed?.(reason);
      },
    });
    connections.add(connection);
  });
  server.listen(parseAddress(address));
  await once(server, "listening");
  return {
    address: formatBoundAddress(server),
    close: () => closeServer(server, connections),
  };
}

async function closeServer(
  server: Server,
  connections: ReadonlySet<Connection>,
): Promise<void> {
  const closed = once(server, "close");
  server.close();
  for (const connection of [...connections]) connection.close();
  await closed;
}

function formatBoundAddress(server: Server): Address {
  const bound = server.address();
  if (bound === null || typeof bound === "string") return "";
  const host = bound.family === "IPv6" ? `[${bound.address}]` : bound.address;
  return `${host}:${bound.port}`;
}
