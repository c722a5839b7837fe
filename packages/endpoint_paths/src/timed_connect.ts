/**
 * A connect timeout that is more precise than that of undici.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { IoTimeout } from "./io_timeout.ts";

/** Opens a connection. */
export type Connector = buildConnector.connector;

/**
 * Builds what a connector needs to know of an address.
 *
 * @throws {Error} When it is not an address.
 * @example
 * ```ts
 * connect(buildTarget("10.1.0.9:8080"), use);
 * ```
 */
export function buildTarget(address: Address): buildConnector.Options {
  const { host, port } = rpc.parseAddress(address);
  return { hostname: host, protocol: "http:", port: String(port) };
}

/**
 * Adds a timeout to a connector of undici.
 *
 * undici checks its own timeout only twice a second, so a short one fires late. A
 * request to an unreachable endpoint would then move to another one only after half
 * of its latency objective.
 *
 * @param connect A connector without a timeout.
 * @param timeoutMs Longest time for the handshake, in milliseconds.
 */
export function buildConnectorWithTimeout(
  connect: buildConnector.connector,
  timeoutMs: number,
): buildConnector.connector {
  return (options, callback) => {
    let isFinished = false;
    const finish = (...result: Parameters<buildConnector.Callback>) => {
      if (isFinished) return void result[1]?.destroy();
      isFinished = true;
      timeout.cancel();
      // After a failure the socket is undefined, although its type says null.
      if (result[1]) result[1].setNoDelay(true);
      callback(...result);
    };
    const timeout = new IoTimeout(() => {
      finish(
        new Error(`Connection was not established within ${timeoutMs} ms`),
        null,
      );
      socket.destroy();
    }, timeoutMs);
    // The connector returns its socket, which its type does not declare.
    const socket = connect(options, finish) as unknown as Socket;
    return socket;
  };
}
