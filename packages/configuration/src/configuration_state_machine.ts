/**
 * Derives the configuration in force from the configuration stream.
 *
 * It keeps two states apart, so that every reader judges each publish alike:
 *
 * - the judged state is computed from the log only. Whether a publish is
 *   accepted depends on the records before it and on nothing else;
 * - the adopted version comes from a neighbour and only determines what is in
 *   force at this process until it has caught up with the log.
 *
 * For example, the adopted version is 7 and the judged one 5. The publish with
 * base 5 is still accepted as version 6 and the next one as version 7, as at
 * the neighbour; `current` stays at 7 meanwhile. If the adopted version took
 * part in judging, the publish with base 5 would be rejected here and accepted
 * elsewhere, and all later versions would differ. An adopted version equals the
 * judged one of the same number, since the neighbour that first sent it had
 * judged it from the same log.
 *
 * @module
 */
import type { Offset } from "@sardinestep/types";
import { match } from "ts-pattern";
import type { Result } from "ts-results-es";
import {
  type HistoryEntry,
  PublishHistory,
  type PublishJudgement,
} from "./publish_history.ts";
import { parseConfigurationRecord } from "./record_schema.ts";
import type { ConfigurationRecord, VersionedConfiguration } from "./record.ts";
import { ReadBuffer, type Renewal, type StreamRecord } from "./read_buffer.ts";

/** A record of the stream as read, not parsed yet. */
export interface RawStreamRecord {
  readonly offset: Offset;
  /** The log service's time of the append. */
  readonly time: number;
  readonly value: unknown;
}

/** Dependencies of a {@link ConfigurationStateMachine}. */
export interface ConfigurationStateMachineOptions {
  /** Validates a configuration; must give the same result at every reader. */
  readonly check: (value: unknown) => Result<unknown, string[]>;
}

/** Inputs of {@link ConfigurationStateMachine.planRenewal}. */
export interface PlanRenewalOptions {
  /** The current time of the log, as an estimate. */
  readonly now: number;
  /** How long the log retains a record. */
  readonly retentionMs: number;
  /** A number in [0, 1) drawn for this call. */
  readonly random: number;
}

/** The version in force according to the log only; version 0 means none. */
interface JudgedState extends VersionedConfiguration {
  /**
   * The log's time of the oldest record that a new reader must read to reach
   * this state.
   */
  readonly anchorTime: number;
}

/** A judged state with the offset at which it is valid, sent to neighbours. */
export interface JudgedSnapshot extends JudgedState {
  readonly seenThrough: Offset;
}

/** Share of the retention time after which a process may write a renewal. */
const RENEWAL_EARLIEST_SHARE = 0.5;
/** Share of the retention time from which every process writes one. */
const RENEWAL_LATEST_SHARE = 0.75;
/** First offset of a stream that was not trimmed. */
const FIRST_OFFSET = 0;
const NO_CONFIGURATION = {
  version: 0,
  author: "",
  note: "",
  configuration: null,
} as const;

/**
 * State machine of the configuration stream: applies its records in offset
 * order.
 *
 * @example
 * ```ts
 * const stateMachine = new ConfigurationStateMachine({ check });
 * stateMachine.apply({ offset, time, value }, page.firstOffset);
 * stateMachine.getJudgement(recordId);
 * ```
 */
export class ConfigurationStateMachine {
  readonly #check: ConfigurationStateMachineOptions["check"];
  readonly #history = new PublishHistory();
  /** Also filled while judging, for the records after a renewal's `seenThrough`. */
  readonly #buffer = new ReadBuffer();
  /** Undefined until the state is known from records without a gap. */
  #judged: JudgedState | undefined;
  /** The version from which judging started; older ones were not seen. */
  #firstJudgedVersion = 0;
  #adopted: VersionedConfiguration | undefined;
  #readThrough = FIRST_OFFSET - 1;
  #invalidRecordCount = 0;

  constructor(options: ConfigurationStateMachineOptions) {
    this.#check = options.check;
  }

  /** Offset of the last applied record; -1 before the first. */
  get readThrough(): Offset {
    return this.#readThrough;
  }

  /** Number of records that do not match the schema. */
  get invalidRecordCount(): number {
    return this.#invalidRecordCount;
  }

  /** Whether records are judged; if not, a usable renewal is awaited. */
  get isJudging(): boolean {
    return this.#judged !== undefined;
  }

  /** The configuration in force; undefined before the first. */
  get current(): VersionedConfiguration | undefined {
    const judged = this.#judged ? pickVersioned(this.#judged) : undefined;
    const adopted = this.#adopted;
    const isJudgedNewer = (judged?.version ?? 0) >= (adopted?.version ?? 0);
    const newest = isJudgedNewer ? judged : adopted;
    return newest && newest.version > 0 ? newest : undefined;
  }

  /** Published records as judged at their offsets, newest last. */
  get history(): readonly HistoryEntry[] {
    return this.#history.entries;
  }

  /**
   * Applies one record; skips a record that was applied already.
   *
   * A reader that starts or resumes after records expired has not seen every
   * publish. If it judged, it could accept a publish that lost to an expired one.
   * So it buffers the records until it has a renewal and every record after the
   * renewal's `seenThrough`, and judges them from there.
   *
   * @param record The record as read.
   * @param firstRetainedOffset The oldest retained offset when it was read.
   */
  apply(record: RawStreamRecord, firstRetainedOffset: Offset): void {
    if (record.offset <= this.#readThrough) return;
    this.#checkForGap(firstRetainedOffset, record.time);
    this.#readThrough = record.offset;
    const parsed = parseConfigurationRecord(record.value);
    if (parsed.isErr()) {
      this.#invalidRecordCount += 1;
      return;
    }
    const { offset, time } = record;
    const streamRecord = { offset, time, record: parsed.value };
    this.#buffer.add(streamRecord);
    if (this.#judged) this.#judgeRecord(streamRecord);
    else this.#replayBuffer();
  }

  /**
   * Adopts a neighbour's version if it is valid and higher than the one in
   * force.
   *
   * @param versioned The version in force at the neighbour.
   * @returns Whether it was adopted.
   */
  adopt(versioned: VersionedConfiguration): boolean {
    if (versioned.version <= (this.current?.version ?? 0)) return false;
    if (this.#check(versioned.configuration).isErr()) return false;
    this.#adopted = versioned;
    return true;
  }

  /** State from which a neighbour can continue; undefined if not judging. */
  get snapshot(): JudgedSnapshot | undefined {
    if (!this.#judged || this.#readThrough < FIRST_OFFSET) return undefined;
    return { ...this.#judged, seenThrough: this.#readThrough };
  }

  /**
   * Continues judging from a neighbour's state, as from a renewal.
   *
   * Needed when the log is down for longer than its retention time while all
   * VMs are replaced: each has adopted the version in force, but without a
   * snapshot none could ever judge again, and no operator could publish. Use it
   * only while the log is unreachable or reading it has not led to judging,
   * since publishes before the snapshot are missing from this reader's history.
   *
   * @param snapshot A neighbour's {@link ConfigurationStateMachine.snapshot}.
   * @returns Whether judging has started from it.
   */
  adoptSnapshot(snapshot: JudgedSnapshot): boolean {
    if (this.#judged) return false;
    const { seenThrough, ...judged } = snapshot;
    if (seenThrough > this.#readThrough) {
      this.#readThrough = seenThrough;
      this.#buffer.resetTo(seenThrough + 1);
    }
    const records = this.#buffer.findAllAfter(seenThrough);
    if (!records) return false;
    this.#startJudging(judged, records);
    return true;
  }

  /**
   * Returns how a published record was judged.
   *
   * @param recordId The id chosen by the publisher.
   * @returns The judgement; `unseen` also for a record too old for the history.
   */
  getJudgement(recordId: string): PublishJudgement {
    return this.#history.getJudgement(recordId);
  }

  /**
   * Plans a renewal before the log trims the records that new readers start
   * from.
   *
   * Only the judged state is renewed, with the offset at which it is valid; a
   * process that was paused writes an outdated offset, which new readers
   * reject. Randomness spreads the processes: with nine of them checking every
   * second, the first one writes soon after half of the retention time, and the
   * others then read its record.
   *
   * @param options Current time, retention time and a random number.
   * @returns The record to append, or undefined.
   */
  planRenewal(options: PlanRenewalOptions): Renewal | undefined {
    const { snapshot } = this;
    if (!snapshot) return undefined;
    const ageShare = (options.now - snapshot.anchorTime) / options.retentionMs;
    const span = RENEWAL_LATEST_SHARE - RENEWAL_EARLIEST_SHARE;
    const probability = (ageShare - RENEWAL_EARLIEST_SHARE) / span;
    if (options.random >= probability) return undefined;
    return {
      kind: "renewal",
      ...pickVersioned(snapshot),
      seenThrough: snapshot.seenThrough,
    };
  }

  /**
   * Starts judging if the stream is read from its first offset; stops if records
   * were trimmed before they were read.
   */
  #checkForGap(firstRetainedOffset: Offset, time: number): void {
    const hasGap = firstRetainedOffset > this.#readThrough + 1;
    if (!hasGap) {
      const isAtStart = this.#readThrough < FIRST_OFFSET;
      if (isAtStart) this.#judged = { ...NO_CONFIGURATION, anchorTime: time };
      return;
    }
    this.#adoptCurrent();
    this.#judged = undefined;
    this.#buffer.resetTo(firstRetainedOffset);
  }

  /** Keeps the current version in force although judging stops. */
  #adoptCurrent(): void {
    const { current } = this;
    if (current) this.#adopted = current;
  }

  #replayBuffer(): void {
    const replay = this.#buffer.planReplay();
    if (!replay) return;
    const { renewal, records, anchorTime } = replay;
    const { version, author, note, configuration } = renewal;
    this.#startJudging(
      { version, author, note, configuration, anchorTime },
      records,
    );
  }

  #startJudging(state: JudgedState, records: readonly StreamRecord[]): void {
    this.#firstJudgedVersion = state.version;
    this.#judged = state;
    for (const record of records) this.#judgeRecord(record);
  }

  #judgeRecord(streamRecord: StreamRecord): void {
    match(streamRecord.record)
      .with(
        { kind: "publish" },
        (record) => this.#applyPublish(streamRecord, record),
      )
      .with({ kind: "renewal" }, () => this.#applyRenewal(streamRecord))
      .exhaustive();
  }

  #applyPublish(
    { offset, time }: StreamRecord,
    record: Extract<ConfigurationRecord, { kind: "publish" }>,
  ): void {
    const judged = this.#judged;
    if (!judged) return;
    const judgement = this.#checkPublish(record, judged);
    // An earlier copy of this record may have been accepted before the version
    // that this reader started from; its publisher then gets no judgement.
    const isConclusive = record.base >= this.#firstJudgedVersion;
    this.#history.add({ offset, time, record, judgement, isConclusive });
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
   * A renewal does not change the version in force. It only moves the point
   * from which a new reader can start to the first record after its
   * `seenThrough`.
   */
  #applyRenewal(streamRecord: StreamRecord): void {
    const anchorTime = this.#buffer.findAnchorTime(streamRecord);
    if (!this.#judged || anchorTime === undefined) return;
    const newest = Math.max(this.#judged.anchorTime, anchorTime);
    this.#judged = { ...this.#judged, anchorTime: newest };
  }
}

function pickVersioned(
  state: VersionedConfiguration,
): VersionedConfiguration {
  const { version, author, note, configuration } = state;
  return { version, author, note, configuration };
}
