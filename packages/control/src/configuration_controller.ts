/**
 * Brings the configuration that is in force to every entry.
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
/** How long a publish waits to be read back before it is called unknown. */
const PUBLISH_BOUND_MS = 6_000;
const PUBLISH_POLL_MS = 20;
/** How often a failed append of a publish is tried again. */
const APPEND_PAUSE_MS = 200;
const RENEWAL_INTERVAL_MS = 1_000;

type PublishRecord = Extract<
  configuration.ConfigurationRecord,
  { kind: "publish" }
>;

/** What the controller works with. */
export interface ConfigurationControllerOptions {
  readonly log: ports.LogPort;
  readonly logRetentionMs: number;
  readonly drawRandom: () => number;
  /** Told of an exception in the handling of a record. */
  readonly onFault: (error: unknown) => void;
  /** Told of every new version in force. */
  readonly onChange: (versioned: configuration.VersionedConfiguration) => void;
}

/** Follows the configuration stream, publishes to it and renews its records. */
export class ConfigurationController {
  readonly #options: ConfigurationControllerOptions;
  readonly #fold: configuration.ConfigurationFold;
  readonly #tail: LogTail;
  readonly #renewalTimer: NodeJS.Timeout;
  #announcedVersion = 0;

  constructor(options: ConfigurationControllerOptions) {
    this.#options = options;
    this.#fold = new configuration.ConfigurationFold({
      check: checkConfiguration,
    });
    this.#tail = new LogTail({
      log: options.log,
      stream: configuration.CONFIGURATION_STREAM,
      onRecord: ({ firstOffset, ...record }) => {
        this.#fold.apply(record, firstOffset);
        this.#announce();
      },
      onReachable: () => {},
      onFault: options.onFault,
    });
    this.#renewalTimer = setInterval(
      () => void this.#renew(),
      RENEWAL_INTERVAL_MS,
    );
  }

  /** The configuration in force here; undefined before the first. */
  get current(): configuration.VersionedConfiguration | undefined {
    return this.#fold.current;
  }

  /** The last offset of the configuration stream that was read. */
  get readThrough(): number {
    return this.#tail.readThrough;
  }

  /** Begins to follow the configuration stream. */
  start(): void {
    this.#tail.start();
  }

  /** Ends. */
  close(): void {
    this.#tail.close();
    clearInterval(this.#renewalTimer);
  }

  /** Takes a neighbour's version if it is higher. */
  adopt(versioned: configuration.VersionedConfiguration): void {
    if (this.#fold.adopt(versioned)) this.#announce();
  }

  /** Whether records are judged; otherwise a neighbour's snapshot is needed. */
  get isJudging(): boolean {
    return this.#fold.isJudging;
  }

  /** What a neighbour needs in order to judge on from here. */
  get snapshot(): configuration.JudgedSnapshot | undefined {
    return this.#fold.snapshot;
  }

  /**
   * Judges on from a neighbour's state, where the log alone does not lead there:
   * it does not answer, or all that is kept of it has been read in vain.
   */
  adoptSnapshot(snapshot: configuration.JudgedSnapshot): void {
    const isReading = this.#tail.isReachable && !this.#tail.isCaughtUp;
    if (isReading || this.#fold.isJudging) return;
    if (this.#fold.adoptSnapshot(snapshot)) this.#announce();
  }

  /** Published records as judged at their offsets, the newest last. */
  getHistory(): readonly rpc.HistoryRow[] {
    return this.#fold.history;
  }

  /**
   * Publishes a configuration and tells how it was judged once it is read back.
   *
   * The same record may be published again after a lost answer, here or at
   * another control: only its first copy can be accepted, and every copy is told
   * what became of that one.
   */
  async publish(record: PublishRecord): Promise<rpc.PublishVerdict> {
    const early = this.#judgeEarly(record);
    if (early) return early;
    const endAt = performance.now() + PUBLISH_BOUND_MS;
    let mayBeInLog = false;
    while (performance.now() < endAt) {
      const appended = await this.#append(record);
      mayBeInLog ||= appended.isOk() || ports.mayHaveActed(appended.error);
      if (!appended.isErr()) return await this.#waitForVerdict(record, endAt);
      const verdict = this.#getVerdict(record);
      if (verdict) return verdict;
      await sleep(APPEND_PAUSE_MS);
    }
    return mayBeInLog
      ? await this.#waitForVerdict(record, performance.now())
      : { kind: "log_unavailable" };
  }

  /** Judges what needs no append: versions only grow, so an old base has lost. */
  #judgeEarly(record: PublishRecord): rpc.PublishVerdict | undefined {
    const known = this.#getVerdict(record);
    if (known) return known;
    const checked = checkConfiguration(record.configuration);
    if (checked.isErr()) return { kind: "invalid", faults: checked.error };
    const inForce = this.current;
    if (!inForce || record.base >= inForce.version) return undefined;
    // A copy of this very record may be what made the version in force; a
    // control that only adopted that version can't tell.
    if (!this.#fold.isJudging) return undefined;
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
    return match(this.#fold.judge(record.recordId))
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

  #announce(): void {
    const { current } = this.#fold;
    if (!current || current.version <= this.#announcedVersion) return;
    this.#announcedVersion = current.version;
    this.#options.onChange(current);
  }

  async #renew(): Promise<void> {
    if (!this.#tail.isReachable || !this.#tail.isCaughtUp) return;
    const renewal = this.#fold.planRenewal({
      now: Date.now(),
      retentionMs: this.#options.logRetentionMs,
      random: this.#options.drawRandom(),
    });
    if (renewal) await this.#append(renewal);
  }
}

/** Tells what is wrong with a configuration, the same at every reader. */
function checkConfiguration(value: unknown): Result<unknown, string[]> {
  const parsed = settings.parseConfiguration(value);
  if (parsed.isOk()) return Ok(parsed.value);
  return Err(parsed.error.map((fault) => settings.formatFault(fault)));
}
