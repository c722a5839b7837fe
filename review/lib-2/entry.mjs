/**
 * The platform's entry: asks each gateway once a second whether it is ready, takes one
 * out after two misses, and uses all of a zone's gateways if fewer than half are in.
 */
import { setTimeout as wait } from "node:timers/promises";
import { getStatus } from "./site.mjs";

const CHECK_INTERVAL_MS = 1_000;
const MISSES = 2;

export class Entry {
  #gateways;
  #misses = new Map();
  #isStopped = false;
  #next = 0;

  constructor(gateways) {
    this.#gateways = gateways;
  }

  start() {
    for (const gateway of this.#gateways) void this.#check(gateway);
  }

  stop() {
    this.#isStopped = true;
  }

  /** Picks the gateway for a new connection of a client. */
  pick() {
    const inRotation = this.#gateways.filter(({ vmId }) =>
      (this.#misses.get(vmId) ?? 0) < MISSES
    );
    const isHalf = inRotation.length >= this.#gateways.length / 2;
    const used = isHalf ? inRotation : this.#gateways;
    this.#next += 1;
    return used[this.#next % used.length];
  }

  async #check({ vmId, listen }) {
    while (!this.#isStopped) {
      const isReady = await getStatus(listen.ready, "/api/readyz") === 200;
      const misses = this.#misses.get(vmId) ?? 0;
      this.#misses.set(vmId, isReady ? 0 : misses + 1);
      await wait(CHECK_INTERVAL_MS);
    }
  }
}
