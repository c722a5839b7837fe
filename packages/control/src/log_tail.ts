/**
 * Reads one stream of the log continuously.
 *
 * @module
 */
import type * as ports from "@sardinestep/ports";
import type { Offset } from "@sardinestep/types";
import { setTimeout as sleep } from "node:timers/promises";

const MAX_RECORDS_PER_READ = 500;
/** How long the log holds a read open while there are no new records. */
const LONG_POLL_MS = 1_000;
/** If a read takes longer, the connection is lost or the log is down. */
const READ_TIMEOUT_MS = 2_000;
/** First pause after a failed read; doubles up to the longest one. */
const MIN_RETRY_PAUSE_MS = 50;
/** Short enough that service resumes within a second after an outage. */
const MAX_RETRY_PAUSE_MS = 800;

/** A record with the oldest offset that the log retained when it was read. */
export interface TailRecord extends ports.LogRecord {
  readonly firstOffset: Offset;
}

/** The stream that a {@link LogTail} reads, and its callbacks. */
export interface LogTailOptions {
  readonly log: ports.LogPort;
  readonly stream: string;
  /** Called once for every record, in offset order. */
  readonly onRecord: (record: TailRecord) => void;
  /** Called for a page without records; all before `firstOffset` is trimmed. */
  readonly onEmpty?: (firstOffset: Offset) => void;
  /** Called with an exception of `onRecord`; the record is then skipped. */
  readonly onRecordError: (error: unknown) => void;
  /** Called when the log becomes reachable or unreachable. */
  readonly onReachabilityChange: (isReachable: boolean) => void;
}

/** Reads a stream from its first retained record until closed. */
export class LogTail {
  readonly #options: LogTailOptions;
  #nextOffset: Offset = 0;
  #firstOffset: Offset = 0;
  #isReachable = false;
  #isCaughtUp = false;
  #isClosed = false;

  constructor(options: LogTailOptions) {
    this.#options = options;
  }

  /** Whether the last read was answered. */
  get isReachable(): boolean {
    return this.#isReachable;
  }

  /** Whether the end of the stream has been reached at least once. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp;
  }

  /** Offset of the last delivered record; -1 before the first. */
  get readThrough(): Offset {
    return this.#nextOffset - 1;
  }

  /** Starts reading. */
  start(): void {
    void this.#readUntilClosed();
  }

  /** Stops reading; the result of a read in progress is ignored. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Delivers a record that this process has just appended, without reading it
   * back. Ignored unless every record before it was delivered.
   *
   * @param receipt Offset and time of the append.
   * @param value The appended value.
   */
  applyAppended(receipt: ports.AppendReceipt, value: unknown): void {
    if (receipt.offset !== this.#nextOffset) return;
    this.#deliver({ ...receipt, value });
  }

  async #readUntilClosed(): Promise<void> {
    let retryPauseMs = MIN_RETRY_PAUSE_MS;
    while (!this.#isClosed) {
      const isAnswered = await this.#readPage();
      this.#setReachable(isAnswered);
      if (isAnswered) {
        retryPauseMs = MIN_RETRY_PAUSE_MS;
        continue;
      }
      await sleep(retryPauseMs);
      retryPauseMs = Math.min(retryPauseMs * 2, MAX_RETRY_PAUSE_MS);
    }
  }

  async #readPage(): Promise<boolean> {
    const page = await this.#options.log.read(this.#options.stream, {
      from: this.#nextOffset,
      limit: MAX_RECORDS_PER_READ,
      // The first read after an outage must detect its end without delay.
      waitMs: this.#isReachable ? LONG_POLL_MS : 0,
      timeoutMs: READ_TIMEOUT_MS,
    });
    if (page.isErr() || this.#isClosed) return false;
    this.#applyPage(page.value);
    return true;
  }

  #applyPage(page: ports.LogPage): void {
    this.#firstOffset = page.firstOffset;
    for (const record of page.records) {
      // Some were delivered by `applyAppended` while the read was in progress.
      if (record.offset >= this.#nextOffset) this.#deliver(record);
    }
    if (page.records.length === 0) this.#options.onEmpty?.(page.firstOffset);
    const isAllTrimmed = page.records.length === 0 &&
      page.firstOffset > this.#nextOffset;
    if (isAllTrimmed) this.#nextOffset = page.firstOffset;
    if (this.#nextOffset >= page.endOffset) this.#isCaughtUp = true;
  }

  #deliver(record: ports.LogRecord): void {
    this.#nextOffset = record.offset + 1;
    const firstOffset = this.#firstOffset;
    // An exception for one record would end the read loop, and this process
    // would keep its outdated state for good.
    try {
      this.#options.onRecord({ ...record, firstOffset });
    } catch (error) {
      this.#options.onRecordError(error);
    }
  }

  #setReachable(isReachable: boolean): void {
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    this.#options.onReachabilityChange(isReachable);
  }
}
