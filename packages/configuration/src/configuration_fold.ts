/**
 * The configuration stream folded into the version in force.
 *
 * Two states are kept apart, and that is why every reader judges alike:
 *
 * - the judged state comes from the log alone. Whether a publish is accepted
 *   depends on the records before it and on nothing else;
 * - the adopted version comes from a neighbour and only decides what is in
 *   force here until the log has caught up.
 *
 * A fold that adopted version 7 while its judged state is 5 still judges the
 * publish with base 5 as the accepted version 6 and the next one as version 7,
 * exactly as its neighbour did; `current` stays at 7 meanwhile. If the adopted
 * version took part in judging, that publish with base 5 would be rejected here
 * and accepted elsewhere, and all later versions would differ. An adopted
 * version can't differ from the judged one of the same number, since it was
 * judged from the same log by the neighbour that first passed it on.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { Result } from "ts-results-es";
import {
  AcceptanceHistory,
  type HistoryEntry,
  type PublishJudgement,
} from "./acceptance_history.ts";
import { parseConfigurationRecord } from "./record_schema.ts";
import type { ConfigurationRecord, VersionedConfiguration } from "./record.ts";
import { type PlacedRecord, ReadBuffer, type Renewal } from "./read_buffer.ts";

/** A record of the stream as read. */
export interface PlacedValue {
  readonly offset: Offset;
  /** The log service's time. */
  readonly time: number;
  readonly value: unknown;
}

/** What a {@link ConfigurationFold} needs from outside. */
export interface ConfigurationFoldOptions {
  /** Tells what is wrong with a configuration; must be the same everywhere. */
  readonly check: (value: unknown) => Result<unknown, string[]>;
}

/** Moment and chance for {@link ConfigurationFold.planRenewal}. */
export interface PlanRenewalOptions {
  /** The log's time, as well as it is known. */
  readonly now: number;
  /** How long the log keeps a record. */
  readonly retentionMs: number;
  /** A number in [0, 1) drawn for this call. */
  readonly random: number;
}

/** What stands in force by the log alone; version 0 is none. */
interface JudgedState extends VersionedConfiguration {
  /**
   * The log's time of the oldest record that a new reader must be able to read
   * in order to come to this state.
   */
  readonly anchorTime: number;
}

/** A judged state with the offset at which it holds, for a neighbour. */
export interface JudgedSnapshot extends JudgedState {
  readonly seenThrough: Offset;
}

/** Share of the kept time after which a renewal may be written. */
const RENEWAL_MAY_START = 0.5;
/** Share of the kept time from which every process writes one. */
const RENEWAL_MUST_START = 0.75;
/** The offset at which an untrimmed stream begins. */
const STREAM_START = 0;
const NO_CONFIGURATION = {
  version: 0,
  author: "",
  note: "",
  configuration: null,
} as const;

/**
 * Folds the configuration stream.
 *
 * @example
 * ```ts
 * const fold = new ConfigurationFold({ check });
 * fold.apply({ offset, time, value }, page.firstOffset);
 * fold.judge(recordId);
 * ```
 */
export class ConfigurationFold {
  readonly #check: ConfigurationFoldOptions["check"];
  readonly #history = new AcceptanceHistory();
  /** Also kept while judging, for the places of records behind renewals. */
  readonly #buffer = new ReadBuffer();
  /** Undefined until the state at some offset is known without a gap. */
  #judged: JudgedState | undefined;
  /** The version that judging started from; older ones were not seen. */
  #startVersion = 0;
  #adopted: VersionedConfiguration | undefined;
  #readThrough = STREAM_START - 1;
  #bad = 0;

  constructor(options: ConfigurationFoldOptions) {
    this.#check = options.check;
  }

  /** The offset of the last record that was applied; -1 before the first. */
  get readThrough(): Offset {
    return this.#readThrough;
  }

  /** Records without a known shape. */
  get badCount(): number {
    return this.#bad;
  }

  /** Whether records are judged; otherwise a usable renewal is waited for. */
  get isJudging(): boolean {
    return this.#judged !== undefined;
  }

  /** The configuration in force; undefined before the first. */
  get current(): VersionedConfiguration | undefined {
    const judged = this.#judged ? formatVersioned(this.#judged) : undefined;
    const adopted = this.#adopted;
    const isJudgedNewer = (judged?.version ?? 0) >= (adopted?.version ?? 0);
    const newest = isJudgedNewer ? judged : adopted;
    return newest && newest.version > 0 ? newest : undefined;
  }

  /** Published records as judged at their offsets, the newest last. */
  get history(): readonly HistoryEntry[] {
    return this.#history.entries;
  }

  /**
   * Applies one record. Records that were applied already are passed over.
   *
   * Failure guarded: a reader that starts, or wakes up, after records expired
   * has not seen every publish. If it judged on, it could take the loser of an
   * old race for the winner. It keeps what it reads and judges it only from a
   * renewal that tells the state at an offset from which nothing is missing.
   *
   * @param record The record as read.
   * @param firstRetainedOffset The oldest offset kept when it was read.
   */
  apply(record: PlacedValue, firstRetainedOffset: Offset): void {
    if (record.offset <= this.#readThrough) return;
    this.#updateReach(firstRetainedOffset, record.time);
    this.#readThrough = record.offset;
    const parsed = parseConfigurationRecord(record.value);
    if (parsed.isErr()) {
      this.#bad += 1;
      return;
    }
    const { offset, time } = record;
    const placed = { offset, time, record: parsed.value };
    this.#buffer.add(placed);
    if (this.#judged) this.#applyJudged(placed);
    else this.#applyBuffer();
  }

  /**
   * Takes a neighbour's version if it is higher than the one in force.
   *
   * @param versioned What the neighbour has in force.
   * @returns Whether it is in force here now.
   */
  adopt(versioned: VersionedConfiguration): boolean {
    if (versioned.version <= (this.current?.version ?? 0)) return false;
    if (this.#check(versioned.configuration).isErr()) return false;
    this.#adopted = versioned;
    return true;
  }

  /** What a neighbour needs in order to judge on from here. */
  get snapshot(): JudgedSnapshot | undefined {
    if (!this.#judged || this.#readThrough < STREAM_START) return undefined;
    return { ...this.#judged, seenThrough: this.#readThrough };
  }

  /**
   * Judges on from a neighbour's state, as from a renewal.
   *
   * Failure guarded: the log is down for longer than it keeps records while all
   * VMs are replaced. Each has the version in force from a neighbour, but none
   * could ever judge again, and no operator could publish. Use it while the log
   * does not answer, or when reading it has not led to judging: publishes
   * before the snapshot are not in this reader's history.
   *
   * @param snapshot A neighbour's {@link ConfigurationFold.snapshot}.
   * @returns Whether records are judged from it now.
   */
  adoptSnapshot(snapshot: JudgedSnapshot): boolean {
    if (this.#judged) return false;
    const { seenThrough, ...judged } = snapshot;
    if (seenThrough > this.#readThrough) {
      this.#readThrough = seenThrough;
      this.#buffer.startFrom(seenThrough + 1);
    }
    const records = this.#buffer.findFrom(seenThrough);
    if (!records) return false;
    this.#startJudging(judged, records);
    return true;
  }

  /**
   * Tells how a published record was judged.
   *
   * @param recordId The publisher's name of the record.
   * @returns `unseen` also for what is too old for the kept history.
   */
  judge(recordId: string): PublishJudgement {
    return this.#history.judge(recordId);
  }

  /**
   * Plans a renewal when the log is about to drop what new readers build on.
   *
   * Only what was judged from the log is renewed, with the offset up to which
   * that holds; a process that was paused writes an old offset, which new
   * readers refuse. Chance spreads the processes: with nine asking every
   * second, the first one writes soon after half of the kept time and the
   * others then read its record.
   *
   * @param options Moment, kept time and a random number.
   * @returns The record to append, or undefined.
   */
  planRenewal(options: PlanRenewalOptions): Renewal | undefined {
    const { snapshot } = this;
    if (!snapshot) return undefined;
    const age = (options.now - snapshot.anchorTime) / options.retentionMs;
    const span = RENEWAL_MUST_START - RENEWAL_MAY_START;
    const chance = (age - RENEWAL_MAY_START) / span;
    if (options.random >= chance) return undefined;
    return {
      kind: "renewal",
      ...formatVersioned(snapshot),
      seenThrough: snapshot.seenThrough,
    };
  }

  /** Notices whether records were trimmed before they were read. */
  #updateReach(firstRetainedOffset: Offset, time: number): void {
    const hasGap = firstRetainedOffset > this.#readThrough + 1;
    if (!hasGap) {
      const isAtStart = this.#readThrough < STREAM_START;
      if (isAtStart) this.#judged = { ...NO_CONFIGURATION, anchorTime: time };
      return;
    }
    this.#setAdopted();
    this.#judged = undefined;
    this.#buffer.startFrom(firstRetainedOffset);
  }

  /** What was in force stays in force although judging stops. */
  #setAdopted(): void {
    const { current } = this;
    if (current) this.#adopted = current;
  }

  #applyBuffer(): void {
    const replay = this.#buffer.planReplay();
    if (!replay) return;
    const { renewal, records, anchorTime } = replay;
    const { version, author, note, configuration } = renewal;
    this.#startJudging(
      { version, author, note, configuration, anchorTime },
      records,
    );
  }

  #startJudging(state: JudgedState, records: readonly PlacedRecord[]): void {
    this.#startVersion = state.version;
    this.#judged = state;
    for (const record of records) this.#applyJudged(record);
  }

  #applyJudged(placed: PlacedRecord): void {
    match(placed.record)
      .with({ kind: "publish" }, (record) => this.#applyPublish(placed, record))
      .with({ kind: "renewal" }, () => this.#applyRenewal(placed))
      .exhaustive();
  }

  #applyPublish(
    { offset, time }: PlacedRecord,
    record: Extract<ConfigurationRecord, { kind: "publish" }>,
  ): void {
    const judged = this.#judged;
    if (!judged) return;
    const judgement = this.#checkPublish(record, judged);
    // A first copy of this record may have been accepted before the version
    // that this reader starts from; to its publisher nothing is said then.
    const isCertain = record.base >= this.#startVersion;
    this.#history.add({ offset, time, record, judgement, isCertain });
    if (judgement.kind !== "accepted") return;
    const { author, note, configuration } = record;
    this.#judged = {
      version: judgement.version,
      author,
      note,
      configuration,
      anchorTime: judged.anchorTime,
    };
  }

  #checkPublish(
    record: Extract<ConfigurationRecord, { kind: "publish" }>,
    judged: JudgedState,
  ): PublishJudgement {
    if (record.base !== judged.version) {
      const { version: inForce, author } = judged;
      return { kind: "lost", inForce, author };
    }
    const checked = this.#check(record.configuration);
    if (checked.isErr()) return { kind: "invalid", faults: checked.error };
    return { kind: "accepted", version: judged.version + 1 };
  }

  /**
   * A renewal changes nothing in force; it only moves the point from which a
   * new reader can build, to the first record after what its writer had read.
   */
  #applyRenewal(placed: PlacedRecord): void {
    const anchorTime = this.#buffer.findAnchorTime(placed);
    if (!this.#judged || anchorTime === undefined) return;
    const newest = Math.max(this.#judged.anchorTime, anchorTime);
    this.#judged = { ...this.#judged, anchorTime: newest };
  }
}

function formatVersioned(
  state: VersionedConfiguration,
): VersionedConfiguration {
  const { version, author, note, configuration } = state;
  return { version, author, note, configuration };
}
