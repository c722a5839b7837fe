/**
 * Parsing of TCP addresses.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { isIP } from "node:net";

/** Host and port as accepted by the `node:net` functions. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address into host and port.
 *
 * @param address An IP address and a port, such as `127.0.0.1:7000`.
 * @returns The host, without IPv6 brackets, and the port.
 * @throws {Error} When the port is missing or not an integer.
 * @example
 * ```ts
 * parseAddress("[::1]:7000"); // { host: "::1", port: 7000 }
 * ```
 */
export function parseAddress(address: Address): HostAndPort {
  const colonIndex = address.lastIndexOf(":");
  const port = Number(address.slice(colonIndex + 1));
  if (colonIndex < 0 || !Number.isInteger(port)) {
    throw new Error(`Cannot parse address "${address}": expected IP:port`);
  }
  const host = address.slice(0, colonIndex).replace(/^\[|\]$/g, "");
  return { host, port };
}

const MAX_PORT = 65_535;

/**
 * Whether a connection can be opened to an address: an IP address and a port, both in
 * the form in which they are used, so that no other address is reached.
 *
 * @param text A text from outside of the process.
 * @example
 * ```ts
 * isAddress("10.0.0.1:7000"); // true
 * isAddress("10.0.0.01:70000"); // false
 * ```
 */
export function isAddress(text: string): boolean {
  const colonIndex = text.lastIndexOf(":");
  const host = text.slice(0, Math.max(0, colonIndex));
  const portText = text.slice(colonIndex + 1);
  const port = Number(portText);
  const isPort = Number.isInteger(port) && port > 0 && port <= MAX_PORT &&
    String(port) === portText;
  const isBracketed = host.startsWith("[") && host.endsWith("]");
  return isPort &&
    (isBracketed ? isIP(host.slice(1, -1)) === 6 : isIP(host) === 4);
}
