/**
 * Errors of RPC calls between processes of the system.
 *
 * @module
 */

/**
 * - `not_sent`: there was no connection, so the remote process did nothing.
 * - `lost`: the connection broke after sending; the remote process may have acted.
 * - `timeout`: no response in time; the remote process may have acted.
 * - `failed`: the remote process responded with an error.
 */
export type RpcErrorKind = "not_sent" | "lost" | "timeout" | "failed";

/** Why a call returned no result. */
export interface RpcError {
  readonly kind: RpcErrorKind;
  readonly message: string;
}
