/**
 * Monitors that no process reverts to an older configuration version.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type * as testbed from "@sardinestep/testbed";

const POLL_INTERVAL_MS = 50;
const STATUS_TIMEOUT_MS = 1_000;

/** Polls the configuration version of every process until it is closed. */
export class VersionMonitor {
  readonly #deployment: testbed.Deployment;
  readonly #highest = new Map<string, number>();
  readonly #violations: testbed.Violation[] = [];
  readonly #timer: NodeJS.Timeout;
  #isPolling = false;

  constructor(deployment: testbed.Deployment) {
    this.#deployment = deployment;
    this.#timer = setInterval(() => void this.#poll(), POLL_INTERVAL_MS);
  }

  /** Stops polling and returns a violation for every observed decrease. */
  close(): testbed.Violation[] {
    clearInterval(this.#timer);
    return this.#violations;
  }

  /**
   * Skips a poll while the previous one runs: replies of overlapping polls can
   * arrive out of order, such as after a process was frozen, and would look like
   * a version decrease.
   */
  async #poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      await this.#pollStatuses();
    } finally {
      this.#isPolling = false;
    }
  }

  async #pollStatuses(): Promise<void> {
    for (const vm of this.#deployment.vms) {
      for (const address of [vm.entryRpc, vm.controlRpc]) {
        const status = await rpc.callOnce(address, "status", {}, {
          timeoutMs: STATUS_TIMEOUT_MS,
        });
        if (status.isOk()) this.#compare(status.value);
      }
    }
  }

  #compare(
    { instance, configVersion, vmId, process }: rpc.ProcessStatus,
  ): void {
    const before = this.#highest.get(instance) ?? 0;
    if (configVersion < before) {
      const detail = `${process} of ${vmId}: ${before} to ${configVersion}`;
      this.#violations.push({ guarantee: "never reverts", detail });
    }
    this.#highest.set(instance, Math.max(before, configVersion));
  }
}
