/**
 * Why a VM ends an answer that has begun.
 *
 * @module
 */

/** What ended a response before its end. */
export const TRUNCATION_CAUSE = {
  /** The endpoint closed the connection, or its answer could not be used. */
  endpointFailed: "endpointFailed",
  /** No endpoint took up the stream after an attempt had failed. */
  resumeFailed: "resumeFailed",
  /** The VM exits. */
  exit: "exit",
  /** The caller's deadline or the route's timeout has passed. */
  deadline: "deadline",
  /** The caller did not read, and memory was needed. */
  unread: "unread",
  /** An error of the gateway itself. */
  internalError: "internalError",
} as const;
/** A value of {@link TRUNCATION_CAUSE}. */
export type TruncationCause =
  typeof TRUNCATION_CAUSE[keyof typeof TRUNCATION_CAUSE];

/** Why a response was ended before its end. */
export interface Truncation {
  readonly cause: TruncationCause;
  readonly reason?: string;
}
