/**
 * What commands use from outside, so that tests need no sockets.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { CliSettings } from "@sardinestep/settings";
import type { Address } from "@sardinestep/types";
import type { Result } from "ts-results-es";

/** Makes one call to a process of the system. */
export interface Caller {
  call<M extends rpc.MethodName>(
    address: Address,
    method: M,
    params: rpc.Methods[M]["params"],
    options: { readonly timeoutMs: number },
  ): Promise<Result<rpc.Methods[M]["result"], rpc.RpcError>>;
}

/** What every command gets from outside. */
export interface Environment {
  readonly caller: Caller;
  /** Who publishes, unless the command line names someone else. */
  readonly author: string;
  /** Makes a UUIDv7. */
  readonly createRecordId: () => string;
  /** Tells a person what is going on while a command runs. */
  readonly printProgress: (line: string) => void;
}

/** The environment with the checked settings. */
export interface Context extends Environment {
  readonly settings: CliSettings;
}
