/**
 * A whole deployment on loopback: one process for the fakes, and an entry and a
 * control process for each VM.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import { randomUUID } from "node:crypto";
import { findViolations, type Violation } from "./audit.ts";
import type { CallerResult } from "./caller.ts";
import {
  type AddressedVm,
  buildAddresses,
  buildControlSettings,
  buildEntrySettings,
  buildFakesSettings,
  countPorts,
  type DeploymentAddresses,
  type DeploymentPlan,
  findNonRepeatableOperations,
} from "./deployment_plan.ts";
import {
  findFreePorts,
  type ProcessLauncher,
  type Program,
  stopProgram,
  waitForOutput,
} from "./program.ts";
import { FakesClient } from "./fakes_client.ts";
import { waitFor } from "./wait.ts";

/** A VM with its two processes. */
export interface RunningVm extends AddressedVm {
  entry: Program;
  control: Program;
}

/** Options of {@link Deployment.start}. */
export interface StartDeploymentOptions {
  /** First of consecutive ports, entries first; free ports by default. */
  readonly firstPort?: number;
}

const READY_TIMEOUT_MS = 30_000;

/** A running deployment; inherits access to the faults and counters of its fakes. */
export class Deployment extends FakesClient {
  readonly #launcher: ProcessLauncher;
  readonly #plan: DeploymentPlan;
  readonly #addresses: DeploymentAddresses;
  readonly vms: readonly RunningVm[];
  readonly fakes: Program;

  private constructor(
    launcher: ProcessLauncher,
    plan: DeploymentPlan,
    addresses: DeploymentAddresses,
  ) {
    super(addresses);
    this.#launcher = launcher;
    this.#plan = plan;
    this.#addresses = addresses;
    const settings = buildFakesSettings(plan, addresses);
    this.fakes = launcher.start("sardinestep-fakes", { settings });
    this.vms = addresses.vms.map((vm) => ({
      ...vm,
      control: this.#startControl(vm),
      entry: this.#startEntry(vm),
    }));
  }

  /**
   * Starts all processes and waits until each entry is ready.
   *
   * @param launcher Starts and stops the processes.
   * @param plan What the deployment consists of.
   * @param options Optional fixed ports.
   * @returns The running deployment.
   */
  static async start(
    launcher: ProcessLauncher,
    plan: DeploymentPlan,
    options: StartDeploymentOptions = {},
  ): Promise<Deployment> {
    const ports = await pickPorts(countPorts(plan), options.firstPort);
    const addresses = buildAddresses(plan, ports);
    const deployment = new Deployment(launcher, plan, addresses);
    await deployment.#waitForControls();
    const verdict = await deployment.publish(plan.configuration, 0);
    if (verdict.kind !== "accepted") {
      throw new Error(
        `Cannot publish the configuration: ${JSON.stringify(verdict)}`,
      );
    }
    await deployment.waitUntilReady();
    return deployment;
  }

  /** URL of the fake log. */
  get logUrl(): string {
    return this.#addresses.logUrl;
  }

  /** URL of the fake VM list. */
  get vmListUrl(): string {
    return this.#addresses.vmListUrl;
  }

  /** URL of the shared admin server of all fakes. */
  get adminUrl(): string {
    return this.#addresses.adminUrl;
  }

  /** Address of each worker. */
  get workerAddresses(): ReadonlyMap<string, string> {
    return this.#addresses.workers;
  }

  /** Publishes a configuration through the first control that answers. */
  async publish(
    configuration: unknown,
    base: number,
    recordId: string = randomUUID(),
  ): Promise<rpc.PublishVerdict> {
    const record = {
      kind: "publish",
      recordId,
      base,
      author: "deployment",
      note: "",
      configuration,
    } as const;
    const limit = { timeoutMs: READY_TIMEOUT_MS };
    for (const { controlRpc } of this.vms) {
      const answer = await rpc.callOnce(controlRpc, "publish", record, limit);
      if (answer.isOk()) return answer.value;
    }
    return { kind: "unknown" };
  }

  /** Waits until each entry reports that it is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(this.vms.map((vm) => this.waitForEntry(vm)));
  }

  /** Waits until one entry reports that it is ready. */
  async waitForEntry(vm: RunningVm): Promise<void> {
    await waitFor(async () => {
      const answer = await fetch(`${vm.url}/readyz`);
      await answer.text();
      return answer.ok;
    }, {
      description: `entry of "${vm.vmId}", which printed: ${vm.entry.output()}`,
      timeoutMs: READY_TIMEOUT_MS,
    });
  }

  /** Sends a signal to a VM's processes and waits until they exit. */
  async stopVm(vm: RunningVm, signal: NodeJS.Signals): Promise<void> {
    await Promise.all([
      stopProgram(vm.entry, signal),
      stopProgram(vm.control, signal),
    ]);
  }

  /** Restarts the two stopped processes of a VM at the same addresses. */
  restartVm(vm: RunningVm): void {
    vm.control = this.#startControl(vm);
    vm.entry = this.#startEntry(vm);
  }

  /** Restarts the stopped entry of a VM at the same addresses. */
  restartEntry(vm: RunningVm): void {
    vm.entry = this.#startEntry(vm);
  }

  /** Counts the runs of each key at the workers of one service. */
  async countRunsOfService(
    service: string,
  ): Promise<ReadonlyMap<string, number>> {
    const workers = this.#plan.workers.filter((worker) =>
      worker.service === service
    );
    return await this.countRunsAtWorkers(
      workers.map((worker) => worker.endpointId),
    );
  }

  /**
   * Checks the answers that callers received against the runs of the workers.
   *
   * @param results Results that callers received.
   * @returns Every violated guarantee.
   */
  async audit(results: readonly CallerResult[]): Promise<Violation[]> {
    return findViolations({
      results,
      runs: await this.readRunsByKey(),
      workers: await this.readWorkerCounters(),
      nonRepeatableOperations: findNonRepeatableOperations(
        this.#plan.configuration,
      ),
      coldConcurrency: this.#getColdConcurrency(),
    });
  }

  /** Concurrent calls that a cold worker can take, by address. */
  #getColdConcurrency(): ReadonlyMap<string, number> {
    return new Map(
      this.#plan.workers.map((worker) => [
        this.workerAddresses.get(worker.endpointId) ?? "",
        worker.coldConcurrency,
      ]),
    );
  }

  async #waitForControls(): Promise<void> {
    const options = { timeoutMs: READY_TIMEOUT_MS };
    await Promise.all(
      this.vms.map(({ control }) => waitForOutput(control, "ready", options)),
    );
  }

  #startControl(vm: AddressedVm): Program {
    return this.#launcher.start("sardinestep-control", {
      name: `control-${vm.vmId}`,
      settings: buildControlSettings(vm, this.#plan, this.#addresses),
    });
  }

  #startEntry(vm: AddressedVm): Program {
    return this.#launcher.start("sardinestep-entry", {
      name: `entry-${vm.vmId}`,
      settings: buildEntrySettings(vm, this.#plan, this.#addresses),
    });
  }
}

async function pickPorts(count: number, firstPort?: number): Promise<number[]> {
  if (firstPort === undefined) return await findFreePorts(count);
  return Array.from({ length: count }, (_, index) => firstPort + index);
}
