/**
 * Listening for other processes.
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
  /** The address it listens on, with the port that was given to port 0. */
  readonly address: Address;
  /** Stops listening and ends every connection. */
  close(): Promise<void>;
}

/**
 * Listens for other processes and answers their calls.
 *
 * @param address Where to listen; port 0 takes any free port.
 * @param options Handlers and limits of each connection.
 * @returns The listening server.
 * @throws {Error} When the address is taken.
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
    address: formatAddress(server),
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

function formatAddress(server: Server): Address {
  const bound = server.address();
  if (bound === null || typeof bound === "string") return "";
  const host = bound.family === "IPv6" ? `[${bound.address}]` : bound.address;
  return `${host}:${bound.port}`;
}
