/**
 * The entry's connection to a control process: receives updates and sends claims.
 *
 * @module
 */
import type * as claims from "@sardinestep/claims";
import type * as logger from "@sardinestep/logger";
import * as rpc from "@sardinestep/rpc";
import type { Address } from "@sardinestep/types";
import { setTimeout as sleep } from "node:timers/promises";

/** Reconnect delay; short, since updates are missed while disconnected. */
const RECONNECT_DELAY_MS = 200;
/**
 * How often an entry that uses another VM's control polls its own VM's control.
 * Short, since its own control considers it down meanwhile.
 */
const OWN_CONTROL_POLL_MS = 250;
const SUBSCRIBE_TIMEOUT_MS = 2_000;
/** Minimum time for a claim: one append to the log and one read. */
const MIN_CLAIM_TIMEOUT_MS = 20;
/** Maximum time that a claim waits for the log before it is abandoned. */
const MAX_CLAIM_TIMEOUT_MS = 5_000;
const RECORD_RETRY_MS = 100;
/** Records sent in one call; each is a small message. */
const MAX_RECORDS_PER_CALL = 500;
/** Records queued for a control; each is a few hundred bytes. */
const MAX_PENDING_RECORDS = 50_000;
const UNSETTLED_RETRY_MS = 2_000;

/** Configuration and callbacks of a {@link ControlLink}. */
export interface ControlLinkOptions {
  readonly identity: rpc.Identity;
  /** The control of the local VM first, then those of other VMs. */
  readonly controls: readonly Address[];
  readonly onUpdate: (update: rpc.Notifications["news"]) => void;
  readonly logger: logger.Logger;
}

/** A subscribed connection; `closed` resolves when it ends. */
interface Subscription {
  readonly closed: Promise<void>;
}

/**
 * Maintains one connection to a control process and fails over to the next one.
 *
 * When the local VM's control fails, the entry continues with its last state and
 * receives updates from another VM's control within a few hundred milliseconds.
 */
export class ControlLink {
  readonly #options: ControlLinkOptions;
  #controls: readonly Address[];
  #connection: rpc.Connection | undefined;
  #isOwnControl = false;
  #isClosed = false;
  #pendingRecords: claims.ClaimRecord[] = [];
  #isSendingRecords = false;
  /** Records dropped because the queue was full. */
  droppedRecords = 0;

  constructor(options: ControlLinkOptions) {
    this.#options = options;
    this.#controls = options.controls;
  }

  /** Whether a control process is connected. */
  get isConnected(): boolean {
    return this.#connection?.isOpen ?? false;
  }

  /** Whether the connected control is the one of the local VM. */
  get isOwnControlConnected(): boolean {
    return this.isConnected && this.#isOwnControl;
  }

  /** Number of outcomes and releases that no control has accepted yet. */
  get pendingRecords(): number {
    return this.#pendingRecords.length;
  }

  /** Starts to maintain the connection. */
  start(): void {
    void this.#keepConnected();
  }

  /** Appends the controls of other VMs to the configured ones. */
  setFallbackControls(addresses: readonly Address[]): void {
    const configured = this.#options.controls;
    const added = addresses.filter((address) => !configured.includes(address));
    this.#controls = [...configured, ...added];
  }

  /**
   * Sends a claim and waits for its verdict. When the connection is lost, the same
   * record is sent to the next control: duplicates of a claim have no effect.
   */
  async claim(
    record: claims.ClaimRecord,
    timeoutMs: number,
  ): Promise<rpc.ClaimVerdict> {
    const endAt = performance.now() + Math.min(timeoutMs, MAX_CLAIM_TIMEOUT_MS);
    while (performance.now() + MIN_CLAIM_TIMEOUT_MS < endAt) {
      const remainingMs = endAt - performance.now();
      const params = { record, boundMs: remainingMs };
      const verdict = await this.#connection?.call("claim", params, {
        timeoutMs: remainingMs,
      });
      if (verdict?.isOk()) return verdict.value;
      await sleep(Math.min(RECONNECT_DELAY_MS, remainingMs));
    }
    return { kind: "unsettled", retryAfterMs: UNSETTLED_RETRY_MS };
  }

  /** Queues releases and outcomes until a control has accepted them. */
  recordLater(records: readonly claims.ClaimRecord[]): void {
    const freeCapacity = MAX_PENDING_RECORDS - this.#pendingRecords.length;
    this.#pendingRecords.push(...records.slice(0, freeCapacity));
    this.droppedRecords += Math.max(0, records.length - freeCapacity);
    if (!this.#isSendingRecords) void this.#sendRecords();
  }

  /** Waits until the queue is empty or the timeout has passed. */
  async waitForPendingRecords(timeoutMs: number): Promise<void> {
    const endAt = performance.now() + timeoutMs;
    while (this.pendingRecords > 0 && performance.now() < endAt) {
      await sleep(RECORD_RETRY_MS);
    }
  }

  /** Calls a method of the connected control; undefined on any failure. */
  async call<M extends rpc.MethodName>(
    method: M,
    params: rpc.Methods[M]["params"],
    timeoutMs: number,
  ): Promise<rpc.Methods[M]["result"] | undefined> {
    const result = await this.#connection?.call(method, params, { timeoutMs });
    return result?.isOk() ? result.value : undefined;
  }

  /** Closes the connection and stops reconnecting. */
  close(): void {
    this.#isClosed = true;
    this.#connection?.close();
  }

  async #keepConnected(): Promise<void> {
    for (let attempt = 0; !this.#isClosed; attempt += 1) {
      const address = this.#controls[attempt % this.#controls.length];
      if (!address) return;
      const subscription = await this.#connect(address);
      if (!subscription) {
        await sleep(RECONNECT_DELAY_MS);
        continue;
      }
      this.#isOwnControl = address === this.#controls[0];
      const endPromises = this.#isOwnControl
        ? [subscription.closed]
        : [subscription.closed, this.#waitForOwnControl()];
      await Promise.race(endPromises);
      this.#connection?.close();
      this.#connection = undefined;
      attempt = -1;
    }
  }

  /** Resolves when the local VM's control responds again. */
  async #waitForOwnControl(): Promise<void> {
    const ownControl = this.#controls[0];
    while (ownControl && this.isConnected) {
      await sleep(OWN_CONTROL_POLL_MS);
      const limit = { timeoutMs: RECONNECT_DELAY_MS };
      const answer = await rpc.callOnce(ownControl, "ping", {}, limit);
      if (answer.isOk()) return;
    }
  }

  /** Connects and subscribes; returns undefined on failure. */
  async #connect(address: Address): Promise<Subscription | undefined> {
    let resolveClosed = () => {};
    const closed = new Promise<void>((resolve) => resolveClosed = resolve);
    const opened = await rpc.openConnection(address, {
      onStateUpdate: this.#options.onUpdate,
      onClosed: () => resolveClosed(),
    });
    if (opened.isErr()) return undefined;
    const connection = opened.value;
    const state = await connection.call("subscribe", this.#options.identity, {
      timeoutMs: SUBSCRIBE_TIMEOUT_MS,
    });
    if (state.isErr()) {
      connection.close();
      return undefined;
    }
    this.#connection = connection;
    this.#options.logger.info(
      "control_connected",
      `Connected to control "${address}"`,
    );
    this.#options.onUpdate(state.value);
    return { closed };
  }

  async #sendRecords(): Promise<void> {
    this.#isSendingRecords = true;
    while (this.#pendingRecords.length > 0 && !this.#isClosed) {
      const records = this.#pendingRecords.slice(0, MAX_RECORDS_PER_CALL);
      const accepted = await this.call(
        "recordLater",
        { records },
        SUBSCRIBE_TIMEOUT_MS,
      );
      if (accepted) this.#pendingRecords.splice(0, records.length);
      else await sleep(RECORD_RETRY_MS);
    }
    this.#isSendingRecords = false;
  }
}
