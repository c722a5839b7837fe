/**
 * Opens a connection to an endpoint through another VM.
 *
 * @module
 */
import * as answerHeads from "@sardinestep/answer_heads";
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { request as openRequest } from "node:http";
import type { Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results-es";
import { IoTimeout } from "./io_timeout.ts";
import { RELAY_ANSWER, type RelayAnswer } from "./relay_table.ts";

/** Options of {@link openTunnel}. */
export interface TunnelOptions {
  /** Address of the relay's tunnel server. */
  readonly relay: Address;
  /** Address of the endpoint. */
  readonly target: Address;
  readonly timeoutMs: number;
  /** RPC address of this VM, at which the relay announces its stop. */
  readonly callerRpc?: Address;
  /** Ends the attempt. */
  readonly signal?: AbortSignal;
}

/** Why there is no tunnel. */
export type TunnelFailure = Exclude<
  RelayAnswer,
  typeof RELAY_ANSWER.established
>;

/** Names the RPC address of the VM that asks for a tunnel. */
export const CALLER_HEADER = "x-vm-rpc";
const STATUS_OK = 200;
/** Longest answer of a relay, in bytes; it has no body. */
const MAX_HEAD_BYTES = 16_384;
/** The relay did not reach the target. */
export const STATUS_UNREACHABLE = 502;
/** The relay accepts no tunnel now. */
export const STATUS_REFUSED = 503;

/**
 * Opens a tunnel with HTTP CONNECT.
 *
 * @param options The relay and the endpoint.
 * @returns A socket whose other end is the endpoint; nothing was sent on it yet.
 * @example
 * ```ts
 * const tunnel = await openTunnel({
 *   relay: "10.0.0.2:7755",
 *   target: "10.1.0.9:8080",
 *   timeoutMs: 100,
 * });
 * ```
 */
export function openTunnel(
  options: TunnelOptions,
): Promise<Result<Socket, TunnelFailure>> {
  const { relay, target, timeoutMs, callerRpc, signal } = options;
  return new Promise((resolve) => {
    const sent = openRequest({
      ...rpc.parseAddress(relay),
      method: "CONNECT",
      path: target,
      headers: callerRpc === undefined ? {} : { [CALLER_HEADER]: callerRpc },
      agent: false,
      maxHeaderSize: MAX_HEAD_BYTES,
    });
    const heads = new answerHeads.HeadChecker();
    heads.start();
    const checkHead = (bytes: Uint8Array) => {
      if (heads.check(bytes) !== undefined) giveUp();
    };
    let headBytes = 0;
    // The parser skips spaces and empty lines without a limit.
    const countHead = ({ length }: Uint8Array) => {
      headBytes += length;
      if (headBytes > MAX_HEAD_BYTES) giveUp();
    };
    const finish = (result: Result<Socket, TunnelFailure>) => {
      timeout.cancel();
      signal?.removeEventListener("abort", giveUp);
      sent.socket?.off("data", checkHead).off("data", countHead);
      if (result.isErr()) sent.destroy();
      resolve(result);
    };
    const giveUp = () => finish(Err(RELAY_ANSWER.silent));
    const timeout = new IoTimeout(giveUp, timeoutMs);
    if (signal?.aborted) return giveUp();
    signal?.addEventListener("abort", giveUp);
    sent.on("error", giveUp);
    sent.once("socket", (socket) => {
      // The parser acts on a head as soon as its listener gets it.
      socket.prependListener("data", checkHead);
      socket.on("data", countHead);
    });
    sent.once("connect", (response, socket: Socket) => {
      // The bytes that came with the head are not counted.
      headBytes = -Infinity;
      if (response.statusCode === STATUS_OK) return finish(Ok(socket));
      socket.destroy();
      finish(Err(
        response.statusCode === STATUS_UNREACHABLE
          ? RELAY_ANSWER.unreachable
          : RELAY_ANSWER.refused,
      ));
    });
    sent.end();
  });
}
