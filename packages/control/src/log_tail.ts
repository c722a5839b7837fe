/**
 * Follows one stream of the log.
 *
 * @module
 */
import type * as ports from "@sardinestep/ports";
import type { Offset } from "@sardinestep/types";
import { setTimeout as sleep } from "node:timers/promises";

const READ_LIMIT = 500;
/** The log holds a read open for so long while there is no news. */
const LONG_POLL_MS = 1_000;
/** A read that takes longer has lost its connection, or the log is down. */
const READ_TIMEOUT_MS = 2_000;
/** First pause after a failed read; doubles up to the longest one. */
const MIN_PAUSE_MS = 50;
/** Short enough that service resumes within a second after an outage. */
const MAX_PAUSE_MS = 800;

/** A record with the oldest offset that was kept when it was read. */
export interface TailRecord extends ports.LogRecord {
  readonly firstOffset: Offset;
}

/** What a tail reads and whom it tells. */
export interface LogTailOptions {
  readonly log: ports.LogPort;
  readonly stream: string;
  /** Told of every record once, in order of offset. */
  readonly onRecord: (record: TailRecord) => void;
  /**
   * Told when a page held no records: everything before `firstOffset` is trimmed.
   */
  readonly onEmpty?: (firstOffset: Offset) => void;
  /** Told of an exception of `onRecord`; reading goes on behind the record. */
  readonly onFault: (error: unknown) => void;
  /** Told when the log begins or ceases to answer. */
  readonly onReachable: (isReachable: boolean) => void;
}

/** Reads a stream from its first kept record on, for as long as it is open. */
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

  /** Whether the end of the stream was reached once. */
  get isCaughtUp(): boolean {
    return this.#isCaughtUp;
  }

  /** The offset of the last record that was handed on; -1 before the first. */
  get readThrough(): Offset {
    return this.#nextOffset - 1;
  }

  /** Begins to read. */
  start(): void {
    void this.#readAll();
  }

  /** Ends after the read that is under way. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Hands on a record that this process has just appended, if every record
   * before it was handed on. That saves the time of reading it back.
   *
   * @param receipt Where the log placed it.
   * @param value The record.
   */
  applyAppended(receipt: ports.AppendReceipt, value: unknown): void {
    if (receipt.offset !== this.#nextOffset) return;
    this.#handOn({ ...receipt, value });
  }

  async #readAll(): Promise<void> {
    let pauseMs = MIN_PAUSE_MS;
    while (!this.#isClosed) {
      const isRead = await this.#readOnce();
      this.#setReachable(isRead);
      if (isRead) {
        pauseMs = MIN_PAUSE_MS;
        continue;
      }
      await sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
    }
  }

  async #readOnce(): Promise<boolean> {
    const page = await this.#options.log.read(this.#options.stream, {
      from: this.#nextOffset,
      limit: READ_LIMIT,
      // The first read after an outage must tell at once that it is over.
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
      // Some were handed on while the read was under way.
      if (record.offset >= this.#nextOffset) this.#handOn(record);
    }
    if (page.records.length === 0) this.#options.onEmpty?.(page.firstOffset);
    const isAllTrimmed = page.records.length === 0 &&
      page.firstOffset > this.#nextOffset;
    if (isAllTrimmed) this.#nextOffset = page.firstOffset;
    if (this.#nextOffset >= page.endOffset) this.#isCaughtUp = true;
  }

  #handOn(record: ports.LogRecord): void {
    this.#nextOffset = record.offset + 1;
    const firstOffset = this.#firstOffset;
    // Guard against a fault in one record's handling: it would end the reading,
    // and this process would go on for good with what it knew until then.
    try {
      this.#options.onRecord({ ...record, firstOffset });
    } catch (error) {
      this.#options.onFault(error);
    }
  }

  #setReachable(isReachable: boolean): void {
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    this.#options.onReachable(isReachable);
  }
}
