/**
 * Buffers the records of the stream: those that cannot be judged yet, and the
 * judged ones for their offsets and times.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { ConfigurationRecord } from "./record.ts";

/** A record that repeats the version in force. */
export type Renewal = Extract<ConfigurationRecord, { kind: "renewal" }>;

/** A parsed record with its offset and the log's time. */
export interface StreamRecord {
  readonly offset: Offset;
  readonly time: number;
  readonly record: ConfigurationRecord;
}

/** Start state and records with which a new reader starts judging. */
export interface ReplayPlan {
  readonly renewal: Renewal;
  /** Every record after the last one that the renewal's writer had read. */
  readonly records: readonly StreamRecord[];
  /** The log's time of the first of these records. */
  readonly anchorTime: number;
}

/** Operators change configuration by hand: tens of records per day. */
const MAX_RECORDS = 1_000;

/** Keeps records in offset order. */
export class ReadBuffer {
  #records: StreamRecord[] = [];
  /** Every record from this offset on was read and is kept. */
  #completeFrom: Offset = 0;

  /** Drops all records: nothing before `firstOffset` is readable any more. */
  resetTo(firstOffset: Offset): void {
    this.#records = [];
    this.#completeFrom = firstOffset;
  }

  /** Adds a record; beyond the limit the oldest one counts as not read. */
  add(streamRecord: StreamRecord): void {
    this.#records.push(streamRecord);
    if (this.#records.length <= MAX_RECORDS) return;
    const dropped = this.#records.shift();
    if (dropped) this.#completeFrom = dropped.offset + 1;
  }

  /**
   * Finds the first usable renewal: every record after its `seenThrough` must
   * be in the buffer. A process that was paused between reading and appending
   * writes an outdated `seenThrough`, after which an accepted publish may
   * already have expired; such a renewal is skipped.
   */
  planReplay(): ReplayPlan | undefined {
    for (const { offset, record } of this.#records) {
      if (record.kind !== "renewal") continue;
      if (!this.#isUsable(record, offset)) continue;
      const records = this.#findAfter(record.seenThrough);
      return { renewal: record, records, anchorTime: records[0].time };
    }
    return undefined;
  }

  /**
   * Returns the time of the oldest record that a new reader needs to start from
   * a renewal; undefined if the renewal is not usable, so that it has no
   * effect.
   */
  findAnchorTime(streamRecord: StreamRecord): number | undefined {
    const { offset, record } = streamRecord;
    if (record.kind !== "renewal" || !this.#isUsable(record, offset)) {
      return undefined;
    }
    return this.#findAfter(record.seenThrough)[0]?.time;
  }

  /** Returns every record after an offset; undefined if one may be missing. */
  findAllAfter(seenThrough: Offset): readonly StreamRecord[] | undefined {
    if (seenThrough + 1 < this.#completeFrom) return undefined;
    return this.#findAfter(seenThrough);
  }

  #isUsable(renewal: Renewal, offset: Offset): boolean {
    const { seenThrough } = renewal;
    return seenThrough + 1 >= this.#completeFrom && seenThrough < offset;
  }

  #findAfter(seenThrough: Offset): readonly StreamRecord[] {
    return this.#records.filter(({ offset }) => offset > seenThrough);
  }
}
