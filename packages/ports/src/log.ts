/**
 * The platform's append-only log service.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** Where and when the log service placed a record. */
export interface AppendReceipt {
  readonly offset: Offset;
  /** The log service's own time of the append. */
  readonly time: number;
}

/** A record as read back. */
export interface LogRecord extends AppendReceipt {
  readonly value: unknown;
}

/** A span of a stream. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that the service still keeps. */
  readonly firstOffset: Offset;
  /** The offset that the next append will take at the earliest. */
  readonly endOffset: Offset;
}

/** Limits of an append. */
export interface AppendOptions {
  readonly timeoutMs: number;
}

/** What part of a stream to read, and how long to wait for news. */
export interface ReadOptions {
  readonly from: Offset;
  readonly limit: number;
  /** How long the service may hold the call while there is no record. */
  readonly waitMs: number;
  readonly timeoutMs: number;
}

/** Appends to and reads from streams of JSON records. */
export interface LogPort {
  /** Appends one record. An append that is `answer_lost` may be in the log. */
  append(
    stream: string,
    value: unknown,
    options: AppendOptions,
  ): Promise<Result<AppendReceipt, PortError>>;
  /** Reads records from an offset on; a trimmed offset starts at the first kept. */
  read(
    stream: string,
    options: ReadOptions,
  ): Promise<Result<LogPage, PortError>>;
  close(): Promise<void>;
}
