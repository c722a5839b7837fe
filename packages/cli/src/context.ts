/**
 * External dependencies of the commands; tests replace them and need no sockets.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { CliSettings } from "@sardinestep/settings";
import type { Address } from "@sardinestep/types";
import type { Result } from "ts-results-es";

/** Makes RPC calls to control and entry processes. */
export interface RpcClient {
  call<M extends rpc.MethodName>(
    address: Address,
    method: M,
    params: rpc.Methods[M]["params"],
    options: { readonly timeoutMs: number },
  ): Promise<Result<rpc.Methods[M]["result"], rpc.RpcError>>;
}

/** External dependencies of every command. */
export interface Environment {
  readonly rpcClient: RpcClient;
  /** Author of a publication, unless the command line names another one. */
  readonly author: string;
  /** Returns a new UUIDv7. */
  readonly createRecordId: () => string;
  /** Prints a line of progress while a command runs. */
  readonly printProgress: (line: string) => void;
}

/** The environment with the validated settings. */
export interface Context extends Environment {
  readonly settings: CliSettings;
}
