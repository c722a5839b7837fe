/**
 * Errors of calls between the system's own processes.
 *
 * @module
 */

/**
 * - `not_sent`: no connection, so the other process did nothing.
 * - `lost`: the connection broke after sending; it may have acted.
 * - `timeout`: no answer in time; it may have acted.
 * - `failed`: the other process answered with an error.
 */
export type RpcErrorKind = "not_sent" | "lost" | "timeout" | "failed";

/** Why a call gave no result. */
export interface RpcError {
  readonly kind: RpcErrorKind;
  readonly message: string;
}
