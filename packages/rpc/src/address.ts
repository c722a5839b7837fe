/**
 * TCP addresses as text.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";

/** Host and port as Node.js takes them. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Takes an address apart.
 *
 * @param address An IP number and a port, such as `127.0.0.1:7000`.
 * @returns Host and port.
 * @throws {Error} When there is no port.
 * @example
 * ```ts
 * parseAddress("[::1]:7000"); // { host: "::1", port: 7000 }
 * ```
 */
export function parseAddress(address: Address): HostAndPort {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  if (colon < 0 || !Number.isInteger(port)) {
    throw new Error(`Cannot read address "${address}": expected IP:port`);
  }
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port };
}
