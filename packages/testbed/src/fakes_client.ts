/**
 * Client for the fakes of a running deployment: their faults and counters.
 *
 * @module
 */
import type { ZoneId } from "@sardinestep/types";
import { type DeploymentAddresses, removeScheme } from "./deployment_plan.ts";

/** Counters of a worker; `FakeEndpointCounters` documents all of them. */
export interface WorkerCounters {
  readonly address: string;
  readonly service: string;
  readonly zone: ZoneId;
  readonly calls: number;
  readonly fellOver: number;
  readonly maxConcurrentWhileCold: number;
  readonly [counter: string]: unknown;
}

/** Runs under one key, in order. */
export interface KeyRuns {
  readonly count: number;
  /** Operation of each run; empty for model stages. */
  readonly operations: readonly string[];
  /** Hash of the input of each run. */
  readonly digests: readonly string[];
}

type KeyRunsByKey = Readonly<Record<string, KeyRuns>>;

const ADMIN_TIMEOUT_MS = 5_000;

/** Calls the admin paths of the fakes; see docs/PROTOCOLS.md. */
export class FakesClient {
  readonly #addresses: DeploymentAddresses;

  constructor(addresses: DeploymentAddresses) {
    this.#addresses = addresses;
  }

  /** Sets faults of the log. */
  async setLogFaults(faults: unknown): Promise<void> {
    await this.#call(removeScheme(this.#addresses.logUrl), "faults", faults);
  }

  /** Sets faults of the VM list. */
  async setVmListFaults(faults: unknown): Promise<void> {
    await this.#call(removeScheme(this.#addresses.vmListUrl), "faults", faults);
  }

  /** Sets faults of a worker. */
  async setWorkerFaults(endpointId: string, faults: unknown): Promise<void> {
    await this.#call(this.#getAddress(endpointId), "faults", faults);
  }

  /** Reads the counters of the log. */
  async readLogCounters(): Promise<Record<string, number>> {
    const address = removeScheme(this.#addresses.logUrl);
    return await this.#call(address, "counters") as Record<string, number>;
  }

  /** Reads the counters of every worker. */
  async readWorkerCounters(): Promise<readonly WorkerCounters[]> {
    const { adminUrl } = this.#addresses;
    const workers = await callAdmin(`${adminUrl}/admin/endpoints`);
    return workers as readonly WorkerCounters[];
  }

  /** Reads the runs by key over all workers. */
  async readRunsByKey(): Promise<KeyRunsByKey> {
    const runs = await callAdmin(`${this.#addresses.adminUrl}/admin/runs`);
    return runs as KeyRunsByKey;
  }

  /** Counts the runs of each key at the given workers. */
  async countRunsAtWorkers(
    endpointIds: readonly string[],
  ): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const endpointId of endpointIds) {
      const runs = await this.#call(this.#getAddress(endpointId), "runs");
      for (const [key, { count }] of Object.entries(runs as KeyRunsByKey)) {
        counts.set(key, (counts.get(key) ?? 0) + count);
      }
    }
    return counts;
  }

  #getAddress(endpointId: string): string {
    const address = this.#addresses.workers.get(endpointId);
    if (!address) throw new Error(`Cannot find worker "${endpointId}"`);
    return address;
  }

  async #call(
    address: string,
    action: string,
    body?: unknown,
  ): Promise<unknown> {
    const { adminUrl } = this.#addresses;
    return await callAdmin(`${adminUrl}/admin/at/${address}/${action}`, body);
  }
}

async function callAdmin(url: string, body?: unknown): Promise<unknown> {
  const answer = await fetch(url, {
    method: body === undefined ? "GET" : "POST",
    body: body === undefined ? undefined : JSON.stringify(body),
    headers: { "content-type": "application/json" },
    signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
  });
  const text = await answer.text();
  if (!answer.ok) throw new Error(`Cannot call "${url}": ${text}`);
  return text === "" ? undefined : JSON.parse(text);
}
