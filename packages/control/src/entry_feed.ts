/**
 * Feeds the entries that are connected to this control.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import type { LoadReport } from "@sardinestep/types";

/** Reports are sent on together at this pace; they lag anyway. */
const LOAD_INTERVAL_MS = 200;

/** Sends news to every subscribed entry. */
export class EntryFeed {
  readonly #entries = new Map<rpc.Connection, rpc.Identity>();
  readonly #loads = new Map<string, LoadReport>();
  readonly #timer = setInterval(() => this.#sendLoads(), LOAD_INTERVAL_MS);

  /** Entries that are connected now. */
  get identities(): rpc.Identity[] {
    for (const connection of this.#entries.keys()) {
      if (!connection.isOpen) this.#entries.delete(connection);
    }
    return [...this.#entries.values()];
  }

  /** Adds an entry; it gets all later news. */
  add(connection: rpc.Connection, identity: rpc.Identity): void {
    this.#entries.set(connection, identity);
  }

  /** Sends news at once. */
  send(news: rpc.Notifications["news"]): void {
    for (const connection of this.#entries.keys()) {
      if (connection.isOpen) connection.sendNews(news);
      else this.#entries.delete(connection);
    }
  }

  /** Sends a report with the next batch. */
  addLoad(report: LoadReport): void {
    this.#loads.set(report.endpointId, report);
  }

  /** Ends. */
  close(): void {
    clearInterval(this.#timer);
  }

  #sendLoads(): void {
    if (this.#loads.size === 0) return;
    this.send({ loads: [...this.#loads.values()] });
    this.#loads.clear();
  }
}
