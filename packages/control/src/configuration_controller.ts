/**
 * Replicates the configuration from the log and publishes new versions to it.
 *
 * @module
 */
import * as configuration from "@sardinestep/configuration";
import * as ports from "@sardinestep/ports";
import type * as rpc from "@sardinestep/rpc";
import * as settings from "@sardinestep/settings";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { Err, Ok, type Result } from "ts-results-es";
import { LogTail } from "./log_tail.ts";

const APPEND_TIMEOUT_MS = 2_000;
/** A publish that is not read back within this time is reported as unknown. */
const PUBLISH_TIMEOUT_MS = 6_000;
const PUBLISH_POLL_MS = 20;
/** Pause before a failed append of a publish is retried. */
const APPEND_RETRY_PAUSE_MS = 200;
const RENEWAL_INTERVAL_MS = 1_000;

type PublishRecord = Extract<
  configuration.ConfigurationRecord,
  { kind: "publish" }
>;

/** Settings and dependencies of a {@link ConfigurationController}. */
export interface ConfigurationControllerOptions {
  readonly log: ports.LogPort;
  readonly logRetentionMs: number;
  readonly drawRandom: () => number;
  /** Called with an exception thrown while a record was applied. */
  readonly onRecordError: (error: unknown) => void;
  /** Called with every new version in force. */
  readonly onChange: (versioned: configuration.VersionedConfiguration) => void;
}

/** Follows the configuration stream, publishes to it and renews its records. */
export class ConfigurationController {
  readonly #options: ConfigurationControllerOptions;
  readonly #stateMachine: configuration.ConfigurationStateMachine;
  readonly #tail: LogTail;
  readonly #renewalTimer: NodeJS.Timeout;
  #reportedVersion = 0;

  constructor(options: ConfigurationControllerOptions) {
    this.#options = options;
    this.#stateMachine = new configuration.ConfigurationStateMachine({
      check: checkConfiguration,
    });
    this.#tail = new LogTail({
      log: options.log,
      stream: configuration.CONFIGURATION_STREAM,
      onRecord: ({ firstOffset, ...record }) => {
        this.#stateMachine.apply(record, firstOffset);
        this.#reportChange();
      },
      onReachabilityChange: () => {},
      onRecordError: options.onRecordError,
    });
    this.#renewalTimer = setInterval(
      () => void this.#renew(),
      RENEWAL_INTERVAL_MS,
    );
  }

  /** The configuration in force at this process; undefined before the first. */
  get current(): configuration.VersionedConfiguration | undefined {
    return this.#stateMachine.current;
  }

  /** Offset of the last record read from the configuration stream. */
  get readThrough(): number {
    return this.#tail.readThrough;
  }

  /** Starts to read the configuration stream. */
  start(): void {
    this.#tail.start();
  }

  /** Stops reading and renewing. */
  close(): void {
    this.#tail.close();
    clearInterval(this.#renewalTimer);
  }

  /** Adopts a neighbour's version if it is higher than the one in force. */
  adopt(versioned: configuration.VersionedConfiguration): void {
    if (this.#stateMachine.adopt(versioned)) this.#reportChange();
  }

  /** Whether publishes are judged; if not, a neighbour's snapshot is needed. */
  get isJudging(): boolean {
    return this.#stateMachine.isJudging;
  }

  /** State from which a neighbour can continue; undefined if not judging. */
  get snapshot(): configuration.JudgedSnapshot | undefined {
    return this.#stateMachine.snapshot;
  }

  /**
   * Continues judging from a neighbour's state where the log alone is not
   * enough: it is unreachable, or all its retained records were read without a
   * usable state.
   */
  adoptSnapshot(snapshot: configuration.JudgedSnapshot): void {
    const isReading = this.#tail.isReachable && !this.#tail.isCaughtUp;
    if (isReading || this.#stateMachine.isJudging) return;
    if (this.#stateMachine.adoptSnapshot(snapshot)) this.#reportChange();
  }

  /** Returns the published records as judged at their offsets, newest last. */
  getHistory(): readonly rpc.HistoryRow[] {
    return this.#stateMachine.history;
  }

  /**
   * Publishes a configuration and returns how it was judged once it is read
   * back.
   *
   * After a lost answer the same record may be published again, at this or
   * another control: only its first copy can be accepted, and each call returns
   * the verdict of that copy.
   */
  async publish(record: PublishRecord): Promise<rpc.PublishVerdict> {
    const earlyVerdict = this.#judgeWithoutAppend(record);
    if (earlyVerdict) return earlyVerdict;
    const endAt = performance.now() + PUBLISH_TIMEOUT_MS;
    let mayBeInLog = false;
    while (performance.now() < endAt) {
      const appended = await this.#append(record);
      mayBeInLog ||= appended.isOk() || ports.mayHaveActed(appended.error);
      if (!appended.isErr()) return await this.#waitForVerdict(record, endAt);
      const verdict = this.#getVerdict(record);
      if (verdict) return verdict;
      await sleep(APPEND_RETRY_PAUSE_MS);
    }
    return mayBeInLog
      ? await this.#waitForVerdict(record, performance.now())
      : { kind: "log_unavailable" };
  }

  /** Versions only grow, so a record with an old base has lost already. */
  #judgeWithoutAppend(record: PublishRecord): rpc.PublishVerdict | undefined {
    const knownVerdict = this.#getVerdict(record);
    if (knownVerdict) return knownVerdict;
    const checked = checkConfiguration(record.configuration);
    if (checked.isErr()) return { kind: "invalid", faults: checked.error };
    const inForce = this.current;
    if (!inForce || record.base >= inForce.version) return undefined;
    // An earlier copy of this record may be the version in force; a control
    // that only adopted that version cannot tell.
    if (!this.#stateMachine.isJudging) return undefined;
    return { kind: "lost", inForce: inForce.version, author: inForce.author };
  }

  async #append(
    record: configuration.ConfigurationRecord,
  ): Promise<Result<ports.AppendReceipt, ports.PortError>> {
    const stream = configuration.CONFIGURATION_STREAM;
    const appended = await this.#options.log.append(stream, record, {
      timeoutMs: APPEND_TIMEOUT_MS,
    });
    if (appended.isOk()) this.#tail.applyAppended(appended.value, record);
    return appended;
  }

  async #waitForVerdict(
    record: PublishRecord,
    endAt: number,
  ): Promise<rpc.PublishVerdict> {
    for (;;) {
      const verdict = this.#getVerdict(record);
      if (verdict) return verdict;
      if (performance.now() >= endAt) return { kind: "unknown" };
      await sleep(PUBLISH_POLL_MS);
    }
  }

  #getVerdict(record: PublishRecord): rpc.PublishVerdict | undefined {
    return match(this.#stateMachine.getJudgement(record.recordId))
      .with({ kind: "accepted" }, ({ version }) => ({
        kind: "accepted" as const,
        version,
      }))
      .with({ kind: "lost" }, ({ inForce, author }) => ({
        kind: "lost" as const,
        inForce,
        author,
      }))
      .with({ kind: "invalid" }, ({ faults }) => ({
        kind: "invalid" as const,
        faults,
      }))
      .with({ kind: "unseen" }, () => undefined)
      .exhaustive();
  }

  #reportChange(): void {
    const { current } = this.#stateMachine;
    if (!current || current.version <= this.#reportedVersion) return;
    this.#reportedVersion = current.version;
    this.#options.onChange(current);
  }

  async #renew(): Promise<void> {
    if (!this.#tail.isReachable || !this.#tail.isCaughtUp) return;
    const renewal = this.#stateMachine.planRenewal({
      now: Date.now(),
      retentionMs: this.#options.logRetentionMs,
      random: this.#options.drawRandom(),
    });
    if (renewal) await this.#append(renewal);
  }
}

/** Checks a configuration; must return the same faults at every reader. */
function checkConfiguration(value: unknown): Result<unknown, string[]> {
  const parsed = settings.parseConfiguration(value);
  if (parsed.isOk()) return Ok(parsed.value);
  return Err(parsed.error.map((fault) => settings.formatFault(fault)));
}
