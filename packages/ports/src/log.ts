/**
 * Port to the platform's append-only log service.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** Offset and time that the log service assigned to a record. */
export interface AppendReceipt {
  readonly offset: Offset;
  /** Time of the append, by the clock of the log service. */
  readonly time: number;
}

/** A record read from the log. */
export interface LogRecord extends AppendReceipt {
  readonly value: unknown;
}

/** Consecutive records of a stream, and the stream's bounds. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that the service retains. */
  readonly firstOffset: Offset;
  /** The lowest offset that the next append can get. */
  readonly endOffset: Offset;
}

/** Options of an append. */
export interface AppendOptions {
  readonly timeoutMs: number;
}

/** Which part of a stream to read, and how long to wait for new records. */
export interface ReadOptions {
  readonly from: Offset;
  readonly limit: number;
  /** Long-poll time: how long the service may wait for a record. */
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** Appends to and reads from streams of JSON records. */
export interface LogPort {
  /** Appends one record. After `answer_lost`, the record may still be in the log. */
  append(
    stream: string,
    value: unknown,
    options: AppendOptions,
  ): Promise<Result<AppendReceipt, PortError>>;
  /** Reads records from an offset, or from the first retained one if it was trimmed. */
  read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, PortError>>;
  close(): Promise<void>;
}
