/**
 * Pushes state changes to the entries that are connected to this control.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { LoadReport } from "@sardinestep/types";

/** Load reports are sent in batches; they are out of date on arrival anyway. */
const LOAD_BATCH_INTERVAL_MS = 200;

/** Sends updates to every subscribed entry. */
export class EntryFeed {
  readonly #entries = new Map<rpc.Connection, rpc.Identity>();
  readonly #pendingLoads = new Map<string, LoadReport>();
  readonly #timer = setInterval(
    () => this.#sendLoads(),
    LOAD_BATCH_INTERVAL_MS,
  );

  /** Identities of the connected entries. */
  get identities(): rpc.Identity[] {
    for (const connection of this.#entries.keys()) {
      if (!connection.isOpen) this.#entries.delete(connection);
    }
    return [...this.#entries.values()];
  }

  /** Adds an entry; it receives all later updates. */
  add(connection: rpc.Connection, identity: rpc.Identity): void {
    this.#entries.set(connection, identity);
  }

  /** Sends an update at once. */
  send(update: rpc.Notifications["news"]): void {
    for (const connection of this.#entries.keys()) {
      if (connection.isOpen) connection.sendStateUpdate(update);
      else this.#entries.delete(connection);
    }
  }

  /** Adds a load report to the next batch. */
  addLoad(report: LoadReport): void {
    this.#pendingLoads.set(report.endpointId, report);
  }

  /** Stops sending batches. */
  close(): void {
    clearInterval(this.#timer);
  }

  #sendLoads(): void {
    if (this.#pendingLoads.size === 0) return;
    this.send({ loads: [...this.#pendingLoads.values()] });
    this.#pendingLoads.clear();
  }
}
