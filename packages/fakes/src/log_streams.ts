/**
 * The records of a fake log, in memory and without network I/O.
 *
 * @module
 */
import type { AppendReceipt, LogPage, LogRecord } from "@sardinestep/ports";

interface Stream {
  firstOffset: number;
  records: LogRecord[];
  waiters: Set<() => void>;
}

/** Start and limit of a read of {@link LogStreams}. */
export interface PageOptions {
  readonly from: number;
  readonly limit: number;
}

/** Streams of records with offsets and limited retention. */
export class LogStreams {
  readonly #streams = new Map<string, Stream>();
  readonly #retentionMs: number;

  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /** Appends a record and notifies waiting readers. */
  append(name: string, value: unknown, now: number): AppendReceipt {
    const stream = this.#getStream(name);
    const offset = stream.firstOffset + stream.records.length;
    stream.records.push({ offset, time: now, value });
    for (const handleAppend of [...stream.waiters]) handleAppend();
    return { offset, time: now };
  }

  /** Returns the retained records from an offset on. */
  getPage(name: string, options: PageOptions, now: number): LogPage {
    const stream = this.#getStream(name);
    this.#dropExpired(stream, now);
    const start = Math.max(0, options.from - stream.firstOffset);
    return {
      records: stream.records.slice(start, start + options.limit),
      firstOffset: stream.firstOffset,
      endOffset: stream.firstOffset + stream.records.length,
    };
  }

  /** Drops all records below an offset. */
  dropBefore(name: string, offset: number): void {
    const stream = this.#getStream(name);
    const count = Math.min(
      Math.max(0, offset - stream.firstOffset),
      stream.records.length,
    );
    stream.records.splice(0, count);
    stream.firstOffset += count;
  }

  /** Resolves on the next append, or after `waitMs`. */
  waitForAppend(name: string, waitMs: number): Promise<void> {
    const { waiters } = this.#getStream(name);
    return new Promise((resolve) => {
      function handleAppend(): void {
        waiters.delete(handleAppend);
        clearTimeout(timer);
        resolve();
      }
      const timer = setTimeout(handleAppend, waitMs);
      timer.unref();
      waiters.add(handleAppend);
    });
  }

  #dropExpired(stream: Stream, now: number): void {
    const oldest = now - this.#retentionMs;
    let count = 0;
    while (stream.records[count]?.time < oldest) count += 1;
    if (count === 0) return;
    stream.records.splice(0, count);
    stream.firstOffset += count;
  }

  #getStream(name: string): Stream {
    const existing = this.#streams.get(name);
    if (existing) return existing;
    const stream = {
      firstOffset: 0,
      records: [],
      waiters: new Set<() => void>(),
    };
    this.#streams.set(name, stream);
    return stream;
  }
}
