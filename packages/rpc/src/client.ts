/**
 * RPC client that opens connections and reuses one per address.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import { isAddress, parseAddress } from "./address.ts";
import {
  type CallOptions,
  Connection,
  type ConnectionOptions,
} from "./connection.ts";
import type { RpcError } from "./error.ts";
import type { MethodName, Methods } from "./methods.ts";

/** Processes are a few milliseconds apart; a longer handshake means a dead path. */
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Options of {@link openConnection}. */
export interface OpenOptions extends ConnectionOptions {
  readonly connectTimeoutMs?: number;
}

/**
 * Opens a connection to another process.
 *
 * @param address Address that the process listens on.
 * @param options Handlers for calls from that process, and timeouts.
 * @returns The connection, or an error of kind `not_sent`.
 * @example
 * ```ts
 * const opened = await openConnection("127.0.0.1:7000");
 * ```
 */
export async function openConnection(
  address: Address,
  options: OpenOptions = {},
): Promise<Result<Connection, RpcError>> {
  // The address of a VM stays empty until it is known.
  if (!isAddress(address)) {
    const message = `Cannot connect to "${address}": expected IP:port`;
    return Err({ kind: "not_sent", message });
  }
  const socket = connect(parseAddress(address));
  const timeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
  const failure = await waitForConnect(socket, timeoutMs);
  if (failure === undefined) return Ok(new Connection(socket, options));
  socket.destroy();
  const message = `Cannot connect to "${address}": ${failure}`;
  return Err({ kind: "not_sent", message });
}

async function waitForConnect(
  socket: Socket,
  timeoutMs: number,
): Promise<string | undefined> {
  const signal = AbortSignal.timeout(timeoutMs);
  socket.on("error", () => {});
  try {
    await once(socket, "connect", { signal });
    return undefined;
  } catch (error) {
    if (signal.aborted) return `no connection within ${timeoutMs} ms`;
    return error instanceof Error ? error.message : String(error);
  }
}

/**
 * Makes one call on a new connection and closes it afterwards.
 *
 * @param address Address that the remote process listens on.
 * @param method Name of the method.
 * @param params Parameters of the method.
 * @param options Timeout of the call.
 * @returns The result, or why there is none.
 * @example
 * ```ts
 * const status = await callOnce("127.0.0.1:7000", "status", {}, { timeoutMs: 500 });
 * ```
 */
export async function callOnce<M extends MethodName>(
  address: Address,
  method: M,
  params: Methods[M]["params"],
  options: CallOptions,
): Promise<Result<Methods[M]["result"], RpcError>> {
  const opened = await openConnection(address, {
    connectTimeoutMs: options.timeoutMs,
  });
  if (opened.isErr()) return opened;
  const result = await opened.value.call(method, params, options);
  opened.value.close();
  return result;
}

/** Keeps one open connection per address and reopens it after it was closed. */
export class PeerConnections {
  readonly #options: OpenOptions;
  readonly #connections = new Map<Address, Connection>();
  readonly #opening = new Map<Address, Promise<Result<Connection, RpcError>>>();

  constructor(options: OpenOptions = {}) {
    this.#options = options;
  }

  /** Calls a method of the process at an address. */
  async call<M extends MethodName>(
    address: Address,
    method: M,
    params: Methods[M]["params"],
    options: CallOptions,
  ): Promise<Result<Methods[M]["result"], RpcError>> {
    const connection = await this.#getConnection(address);
    if (connection.isErr()) return connection;
    return await connection.value.call(method, params, options);
  }

  /** Closes every connection. */
  close(): void {
    for (const connection of this.#connections.values()) connection.close();
    this.#connections.clear();
  }

  async #getConnection(
    address: Address,
  ): Promise<Result<Connection, RpcError>> {
    const existing = this.#connections.get(address);
    if (existing?.isOpen) return Ok(existing);
    const pending = this.#opening.get(address);
    if (pending) return await pending;
    const opening = this.#open(address);
    this.#opening.set(address, opening);
    const opened = await opening;
    this.#opening.delete(address);
    return opened;
  }

  async #open(address: Address): Promise<Result<Connection, RpcError>> {
    const opened = await openConnection(address, {
      ...this.#options,
      onClosed: (reason) => {
        this.#connections.delete(address);
        this.#options.onClosed?.(reason);
      },
    });
    if (opened.isOk()) this.#connections.set(address, opened.value);
    return opened;
  }
}
