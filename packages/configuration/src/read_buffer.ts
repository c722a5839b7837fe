/**
 * Records that were read but can't be judged yet, and the places of those that
 * were.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import type { ConfigurationRecord } from "./record.ts";

/** A record that repeats the version in force. */
export type Renewal = Extract<ConfigurationRecord, { kind: "renewal" }>;

/** A record with its place. */
export interface PlacedRecord {
  readonly offset: Offset;
  readonly time: number;
  readonly record: ConfigurationRecord;
}

/** From where a new reader judges. */
export interface Replay {
  readonly renewal: Renewal;
  /** Everything after what the renewal's writer had read. */
  readonly records: readonly PlacedRecord[];
  readonly anchorTime: number;
}

/** Configuration changes by hand; a day has tens of records. */
const MAX_RECORDS = 1_000;

/** Keeps records in the order of their offsets. */
export class ReadBuffer {
  #records: PlacedRecord[] = [];
  /** Every record from this offset on was read. */
  #start: Offset = 0;

  /** Starts anew: nothing before `start` can be read any more. */
  startFrom(start: Offset): void {
    this.#records = [];
    this.#start = start;
  }

  /** Keeps a record; beyond the bound the oldest ones count as not read. */
  add(placed: PlacedRecord): void {
    this.#records.push(placed);
    if (this.#records.length <= MAX_RECORDS) return;
    const dropped = this.#records.shift();
    if (dropped) this.#start = dropped.offset + 1;
  }

  /**
   * Finds the first renewal that can be built on: everything after what its
   * writer had read must be here. A process that was paused between reading
   * and appending writes an older `seenThrough`, behind which an accepted
   * publish may already have expired; it is passed over.
   */
  planReplay(): Replay | undefined {
    for (const { offset, record } of this.#records) {
      if (record.kind !== "renewal") continue;
      if (!this.#isUsable(record, offset)) continue;
      const records = this.#findAfter(record.seenThrough);
      return { renewal: record, records, anchorTime: records[0].time };
    }
    return undefined;
  }

  /**
   * The time of the oldest record that a new reader needs for a renewal;
   * undefined when it can't be told, so that the renewal counts for nothing.
   */
  findAnchorTime(placed: PlacedRecord): number | undefined {
    const { offset, record } = placed;
    if (record.kind !== "renewal" || !this.#isUsable(record, offset)) {
      return undefined;
    }
    return this.#findAfter(record.seenThrough)[0]?.time;
  }

  /** Everything behind an offset, if all of it was read. */
  findFrom(seenThrough: Offset): readonly PlacedRecord[] | undefined {
    if (seenThrough + 1 < this.#start) return undefined;
    return this.#findAfter(seenThrough);
  }

  #isUsable(renewal: Renewal, offset: Offset): boolean {
    const { seenThrough } = renewal;
    return seenThrough + 1 >= this.#start && seenThrough < offset;
  }

  #findAfter(seenThrough: Offset): readonly PlacedRecord[] {
    return this.#records.filter(({ offset }) => offset > seenThrough);
  }
}
