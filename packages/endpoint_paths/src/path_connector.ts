/**
 * Connects to endpoints on the path that the path table plans.
 *
 * @module
 */
import type { Address } from "@sardinestep/types";
import type { Socket } from "node:net";
import { match } from "ts-pattern";
import type { buildConnector } from "undici";
import { IoTimeout } from "./io_timeout.ts";
import {
  LOST_AFTER_FAILURES,
  type PathChange,
  type PathPlan,
  type PathTable,
  RELAY_RESULT,
  type RelayResult,
} from "./path_table.ts";
import { type Relay, RELAY_ANSWER, type RelayTable } from "./relay_table.ts";
import { buildTarget, type Connector } from "./timed_connect.ts";
import { openTunnel } from "./tunnel_client.ts";

/** Options of {@link PathConnector}. */
export interface PathConnectorOptions {
  /** Connects directly, with a timeout of its own. */
  readonly connect: Connector;
  readonly paths: PathTable;
  readonly relays: RelayTable;
  /** Whether other VMs may relay connections to an address. */
  readonly isRelayable: (address: Address) => boolean;
  /** Gives the VMs that may relay connections. */
  readonly getRelays: () => readonly Relay[];
  /** RPC address of this VM. */
  readonly callerRpc?: Address;
  /** Longest time for a connection, in milliseconds. */
  readonly timeoutMs: number;
  /** Called when the direct path to an endpoint is lost or back. */
  readonly handleChange: (address: Address, change: PathChange) => void;
}

/** Relays that are asked for one connection. */
const MAX_RELAYS = 3;
/** Time for which an asked relay is alone, in milliseconds. */
const RELAY_STAGGER_MS = 25;

/**
 * Opens connections through other VMs where the direct path is lost.
 *
 * @example
 * ```ts
 * const connector = new PathConnector(options);
 * connector.connect({ hostname: "10.1.0.9", protocol: "http:", port: "8080" }, use);
 * ```
 */
export class PathConnector {
  readonly #options: PathConnectorOptions;

  /** @param options The direct path, and the VMs that may relay. */
  constructor(options: PathConnectorOptions) {
    this.#options = options;
  }

  /** Finds the VM that relays a connection; undefined if it is direct. */
  findRelay(socket: Socket): string | undefined {
    return relayBySocket.get(socket);
  }

  /** Opens a connection on the path that the table plans. */
  readonly connect: Connector = (target, callback) => {
    const { isRelayable, connect, paths } = this.#options;
    const address = `${target.hostname}:${target.port}`;
    if (!isRelayable(address)) return connect(target, callback);
    const plan = paths.plan(address, performance.now());
    new PathAttempt(this.#options, { target, address, plan, callback }).start();
  };

  /**
   * Learns whether the direct path to an endpoint is lost, with handshakes alone.
   * Relays are asked only if it gave no answer.
   */
  async checkPath(address: Address): Promise<void> {
    for (let i = 0; i < LOST_AFTER_FAILURES; i++) {
      if (await this.#isOpened(address, { kind: "direct" })) return;
    }
    await this.#isOpened(address, { kind: "relayed" });
  }

  /** Tries the direct path to an endpoint. */
  async probePath(address: Address): Promise<void> {
    await this.#isOpened(address, { kind: "direct" });
  }

  #isOpened(address: Address, plan: PathPlan): Promise<boolean> {
    const target = buildTarget(address);
    return new Promise((resolve) => {
      const callback: buildConnector.Callback = (...[error, socket]) => {
        socket?.destroy();
        resolve(error === null);
      };
      new PathAttempt(this.#options, { target, address, plan, callback })
        .start();
    });
  }
}

/** The VM of each connection that goes through one. */
const relayBySocket = new WeakMap<Socket, string>();

interface AttemptInput {
  readonly target: buildConnector.Options;
  readonly address: Address;
  readonly plan: PathPlan;
  readonly callback: buildConnector.Callback;
}

/** One connection to an endpoint. */
class PathAttempt {
  readonly #options: PathConnectorOptions;
  readonly #input: AttemptInput;
  readonly #timeout: IoTimeout;
  readonly #abort = new AbortController();
  #queue: Relay[] = [];
  #nextTimer: NodeJS.Timeout | undefined;
  /** Whether the plan lets relays be asked. */
  #mayAsk = false;
  #isAsking = false;
  #openTunnels = 0;
  #isDirectOpen = false;
  #isUnreachable = false;
  #isFinished = false;
  #error: Error;

  constructor(options: PathConnectorOptions, input: AttemptInput) {
    this.#options = options;
    this.#input = input;
    const { timeoutMs } = options;
    this.#error = new Error(
      `Connection was not established within ${timeoutMs} ms`,
    );
    this.#timeout = new IoTimeout(() => this.#fail(), timeoutMs);
  }

  start(): void {
    const { plan } = this.#input;
    this.#mayAsk = plan.kind === "race" || plan.kind === "relayed";
    match(plan)
      .with({ kind: "direct" }, () => this.#connectDirectly())
      .with({ kind: "race" }, ({ relayDelayMs }) => {
        this.#connectDirectly();
        if (relayDelayMs === 0) return this.#askRelays();
        this.#nextTimer = setTimeout(() => this.#askRelays(), relayDelayMs);
      })
      .with({ kind: "relayed" }, () => this.#askRelays())
      .with({ kind: "none" }, () => {
        this.#error = new Error("No VM has a path to the endpoint");
        setImmediate(() => this.#fail());
      })
      .exhaustive();
  }

  #connectDirectly(): void {
    const { paths, connect } = this.#options;
    const { target, address } = this.#input;
    this.#isDirectOpen = true;
    paths.recordDirectStart(address, performance.now());
    connect(target, (...[error, socket]) => {
      this.#isDirectOpen = false;
      const isEstablished = error === null;
      const change = paths.recordDirect(
        address,
        isEstablished,
        performance.now(),
      );
      this.#options.handleChange(address, change);
      if (isEstablished) return this.#succeed(socket as Socket);
      this.#error = error;
      if (this.#mayAsk && !this.#isFinished) this.#askRelays();
      this.#checkOver();
    });
  }

  #askRelays(): void {
    if (this.#isAsking || this.#isFinished) return;
    this.#isAsking = true;
    clearTimeout(this.#nextTimer);
    const { relays, getRelays } = this.#options;
    this.#queue = relays.pick(getRelays(), MAX_RELAYS, performance.now());
    this.#askNext();
  }

  #askNext(): void {
    clearTimeout(this.#nextTimer);
    if (this.#isFinished) return;
    const relay = this.#queue.shift();
    if (relay === undefined) return this.#checkOver();
    this.#nextTimer = setTimeout(() => this.#askNext(), RELAY_STAGGER_MS);
    void this.#askRelay(relay);
  }

  async #askRelay(relay: Relay): Promise<void> {
    const { relays, callerRpc, timeoutMs } = this.#options;
    this.#openTunnels += 1;
    const opened = await openTunnel({
      relay: relay.address,
      target: this.#input.address,
      callerRpc,
      timeoutMs,
      signal: this.#abort.signal,
    });
    this.#openTunnels -= 1;
    // An attempt that ended first gave the relay no time to answer.
    if (opened.isErr() && this.#isFinished) return;
    const answer = opened.isOk() ? RELAY_ANSWER.established : opened.error;
    relays.record(relay.vmId, answer, performance.now());
    if (answer === RELAY_ANSWER.unreachable) this.#isUnreachable = true;
    if (opened.isErr()) return this.#askNext();
    this.#recordRelayed(RELAY_RESULT.established);
    opened.value.setNoDelay(true);
    relayBySocket.set(opened.value, relay.vmId);
    this.#succeed(opened.value);
  }

  /** Fails the attempt when nothing is left that could succeed. */
  #checkOver(): void {
    const isOpen = this.#isDirectOpen || this.#openTunnels > 0 ||
      this.#queue.length > 0 || (this.#mayAsk && !this.#isAsking);
    if (!isOpen) this.#fail();
  }

  #succeed(socket: Socket): void {
    if (this.#isFinished) return void socket.destroy();
    this.#finish();
    this.#input.callback(null, socket);
  }

  #fail(): void {
    if (this.#isFinished) return;
    if (this.#isAsking) {
      this.#recordRelayed(
        this.#isUnreachable ? RELAY_RESULT.unreachable : RELAY_RESULT.noRelay,
      );
    }
    this.#finish();
    this.#input.callback(this.#error, null);
  }

  #finish(): void {
    this.#isFinished = true;
    clearTimeout(this.#nextTimer);
    this.#timeout.cancel();
    this.#abort.abort();
  }

  #recordRelayed(result: RelayResult): void {
    const { paths, handleChange } = this.#options;
    const { address } = this.#input;
    const change = paths.recordRelayed(address, result, performance.now());
    handleChange(address, change);
  }
}
