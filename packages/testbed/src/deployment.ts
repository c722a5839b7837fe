/**
 * A whole deployment on loopback: stand-ins, and an entry and a control for
 * each VM, all as processes of their own.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import type { EndpointRole, SiteId, VmId, ZoneId } from "@sardinestep/types";
import { randomUUID } from "node:crypto";
import {
  type Bench,
  findFreePorts,
  type Program,
  stopProgram,
  waitForOutput,
} from "./program.ts";
import { waitFor } from "./wait.ts";

/** A VM of the system. */
export interface PlannedVm {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
}

/** A worker, played by a stand-in. */
export interface PlannedWorker {
  readonly endpointId: string;
  readonly service: string;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
  /** Further settings of the stand-in, such as `serviceMs`. */
  readonly [setting: string]: unknown;
}

/** What a deployment consists of. */
export interface DeploymentPlan {
  readonly vms: readonly PlannedVm[];
  readonly workers: readonly PlannedWorker[];
  /** Published once the controls answer. */
  readonly configuration: unknown;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  readonly logSettings?: Readonly<Record<string, unknown>>;
  readonly vmListLagMs?: number;
}

/** A VM with its two processes. */
export interface RunningVm extends PlannedVm {
  readonly url: string;
  readonly entryRpc: string;
  readonly controlRpc: string;
  entry: Program;
  control: Program;
}

/** What a worker's stand-in counts; see the stand-in's own type. */
export interface WorkerCounters {
  readonly address: string;
  readonly service: string;
  readonly zone: ZoneId;
  readonly calls: number;
  readonly fellOver: number;
  readonly maxConcurrentWhileCold: number;
  readonly [counter: string]: unknown;
}

/** What ran under one key, in order. */
export interface KeyRuns {
  readonly count: number;
  /** Operation of each run; empty for model stages. */
  readonly operations: readonly string[];
  /** Hash of the input of each run. */
  readonly digests: readonly string[];
}

/** The part of a configuration that an audit reads. */
interface PlannedConfiguration {
  readonly base: {
    readonly pipelines: Readonly<
      Record<string, { readonly stages: readonly PlannedStage[] }>
    >;
  };
}

interface PlannedStage {
  readonly repeatable: boolean;
  readonly operation?: string;
}

type KeyRunsByKey = Readonly<Record<string, KeyRuns>>;

const LOOPBACK = "127.0.0.1";
const PORTS_A_VM = 3;
const PORTS_OF_PLATFORM = 4;
const READY_BOUND_MS = 30_000;
const ADMIN_TIMEOUT_MS = 5_000;

/** A running deployment. */
export class Deployment {
  readonly #bench: Bench;
  readonly #plan: DeploymentPlan;
  readonly vms: RunningVm[] = [];
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly storeUrl: string;
  /** Reaches all stand-ins' admin paths, also during their outages. */
  readonly adminUrl: string;
  /** Address of each worker. */
  readonly workerAddresses: ReadonlyMap<string, string>;
  fakes: Program | undefined;

  private constructor(
    bench: Bench,
    plan: DeploymentPlan,
    ports: readonly number[],
  ) {
    this.#bench = bench;
    this.#plan = plan;
    const addresses = ports.map((port) => `${LOOPBACK}:${port}`);
    const take = () => addresses.shift() ?? "";
    const placed = plan.vms.map((vm) => ({
      ...vm,
      url: `http://${take()}`,
      entryRpc: take(),
      controlRpc: take(),
    }));
    this.logUrl = `http://${take()}`;
    this.vmListUrl = `http://${take()}`;
    this.storeUrl = `http://${take()}`;
    this.adminUrl = `http://${take()}`;
    this.workerAddresses = new Map(
      plan.workers.map((worker) => [worker.endpointId, take()]),
    );
    this.fakes = this.#startFakes(placed);
    for (const vm of placed) {
      const control = this.#startControl(vm, placed);
      const entry = this.#startEntry(vm, placed);
      this.vms.push({ ...vm, control, entry });
    }
  }

  /**
   * Starts everything and waits until each entry serves.
   *
   * @param bench Starts and later ends the processes.
   * @param plan What the deployment consists of.
   * @param options `firstPort`: fixed ports from there on, entries first.
   * @returns The running deployment.
   */
  static async start(
    bench: Bench,
    plan: DeploymentPlan,
    options: { readonly firstPort?: number } = {},
  ): Promise<Deployment> {
    const count = PORTS_OF_PLATFORM + plan.workers.length +
      plan.vms.length * PORTS_A_VM;
    const ports = options.firstPort === undefined
      ? await findFreePorts(count)
      : Array.from({ length: count }, (_, i) => options.firstPort! + i);
    const deployment = new Deployment(bench, plan, ports);
    await deployment.#waitForControls();
    const verdict = await deployment.publish(plan.configuration, 0);
    if (verdict.kind !== "accepted") {
      throw new Error(`Cannot publish: ${JSON.stringify(verdict)}`);
    }
    await deployment.waitUntilReady();
    return deployment;
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
    for (const vm of this.vms) {
      const limit = { timeoutMs: READY_BOUND_MS };
      const answer = await rpc.callOnce(
        vm.controlRpc,
        "publish",
        record,
        limit,
      );
      if (answer.isOk()) return answer.value;
    }
    return { kind: "unknown" };
  }

  /** Waits until each running entry says that it is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(this.vms.map((vm) => this.waitForEntry(vm)));
  }

  /** Waits until one entry serves and sees all warm endpoints. */
  async waitForEntry(vm: RunningVm): Promise<void> {
    await waitFor(async () => {
      const answer = await fetch(`${vm.url}/readyz`);
      await answer.text();
      return answer.ok;
    }, {
      what: `entry of "${vm.vmId}", which printed: ${vm.entry.output()}`,
      boundMs: READY_BOUND_MS,
    });
  }

  /** Sends a signal to a VM's processes and waits for their end. */
  async stopVm(vm: RunningVm, signal: NodeJS.Signals): Promise<void> {
    await Promise.all([
      stopProgram(vm.entry, signal),
      stopProgram(vm.control, signal),
    ]);
  }

  /** Starts the two processes of a VM again, at the same addresses. */
  restartVm(vm: RunningVm): void {
    vm.control = this.#startControl(vm, this.vms);
    vm.entry = this.#startEntry(vm, this.vms);
  }

  /** Starts a VM's entry again. */
  restartEntry(vm: RunningVm): void {
    vm.entry = this.#startEntry(vm, this.vms);
  }

  /** Sets faults of the log's stand-in. */
  async setLogFaults(faults: unknown): Promise<void> {
    await this.#callStandIn(stripScheme(this.logUrl), "faults", faults);
  }

  /** Sets faults of the VM list's stand-in. */
  async setVmListFaults(faults: unknown): Promise<void> {
    await this.#callStandIn(stripScheme(this.vmListUrl), "faults", faults);
  }

  /** Calls another admin path of the VM list's stand-in, such as `changes`. */
  async changeVmList(path: string, body: unknown): Promise<unknown> {
    return await this.#callStandIn(stripScheme(this.vmListUrl), path, body);
  }

  /** Sets faults of a worker's stand-in. */
  async setWorkerFaults(endpointId: string, faults: unknown): Promise<void> {
    const address = this.workerAddresses.get(endpointId) ?? "";
    await this.#callStandIn(address, "faults", faults);
  }

  /** How many calls a cold worker bears, by address. */
  getColdConcurrency(): ReadonlyMap<string, number> {
    return new Map(
      this.#plan.workers.map((worker) => [
        this.workerAddresses.get(worker.endpointId) ?? "",
        worker.coldConcurrency,
      ]),
    );
  }

  /** Operations of the published configuration that may not be repeated. */
  getSingleOperations(): ReadonlySet<string> {
    const { base } = this.#plan.configuration as PlannedConfiguration;
    const stages = Object.values(base.pipelines).flatMap((one) => one.stages);
    return new Set(
      stages.filter((stage) => !stage.repeatable).map((stage) =>
        stage.operation ?? ""
      ),
    );
  }

  /** Reads the counters of the log's stand-in. */
  async readLogCounters(): Promise<Record<string, number>> {
    const address = stripScheme(this.logUrl);
    const counters = await this.#callStandIn(address, "counters");
    return counters as Record<string, number>;
  }

  /** Reads the counters of every worker's stand-in. */
  async readWorkers(): Promise<readonly WorkerCounters[]> {
    const workers = await callAdmin(`${this.adminUrl}/admin/endpoints`);
    return workers as readonly WorkerCounters[];
  }

  /** Reads what ran under which key, over all workers. */
  async readRuns(): Promise<KeyRunsByKey> {
    const runs = await callAdmin(`${this.adminUrl}/admin/runs`);
    return runs as KeyRunsByKey;
  }

  /** Reads how often each key ran at the workers of one service. */
  async countRunsAt(service: string): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const worker of this.#plan.workers) {
      if (worker.service !== service) continue;
      const address = this.workerAddresses.get(worker.endpointId) ?? "";
      const runs = await this.#callStandIn(address, "runs");
      for (const [key, { count }] of Object.entries(runs as KeyRunsByKey)) {
        counts.set(key, (counts.get(key) ?? 0) + count);
      }
    }
    return counts;
  }

  async #callStandIn(
    address: string,
    action: string,
    body?: unknown,
  ): Promise<unknown> {
    return await callAdmin(
      `${this.adminUrl}/admin/at/${address}/${action}`,
      body,
    );
  }

  async #waitForControls(): Promise<void> {
    await Promise.all(
      this.vms.map((vm) =>
        waitForOutput(vm.control, "ready", { boundMs: READY_BOUND_MS })
      ),
    );
  }

  #startFakes(vms: readonly Omit<RunningVm, "entry" | "control">[]): Program {
    const { workers, logSettings, vmListLagMs } = this.#plan;
    const settings = {
      adminListen: stripScheme(this.adminUrl),
      logs: [{ listen: stripScheme(this.logUrl), ...logSettings }],
      vmLists: [{
        listen: stripScheme(this.vmListUrl),
        lagMs: vmListLagMs ?? 0,
        vms: vms.map((vm) => ({
          vmId: vm.vmId,
          zone: vm.zone,
          site: vm.site,
          entryRpc: vm.entryRpc,
          controlRpc: vm.controlRpc,
          state: "live",
        })),
        endpoints: workers.map((worker) => ({
          endpointId: worker.endpointId,
          service: worker.service,
          role: worker.role,
          zone: worker.zone,
          address: this.workerAddresses.get(worker.endpointId),
          coldConcurrency: worker.coldConcurrency,
          warmConcurrency: worker.warmConcurrency,
          state: "live",
        })),
      }],
      stores: [{ listen: stripScheme(this.storeUrl) }],
      endpoints: workers.map((worker) => ({
        ...worker,
        listen: this.workerAddresses.get(worker.endpointId),
      })),
    };
    return this.#bench.start("sardinestep-fakes", { settings });
  }

  #startControl(vm: Place, all: readonly Place[]): Program {
    const { vmId, zone, site, controlRpc } = vm;
    const neighbours = all
      .filter((other) => other.vmId !== vmId)
      .map((other) => other.controlRpc);
    const settings = {
      vmId,
      zone,
      site,
      listenRpc: controlRpc,
      logUrl: this.logUrl,
      vmListUrl: this.vmListUrl,
      neighbours,
      ...this.#plan.controlSettings,
    };
    return this.#bench.start("sardinestep-control", {
      name: `control-${vmId}`,
      settings,
    });
  }

  #startEntry(vm: Place, all: readonly Place[]): Program {
    const { vmId, zone, site, url, entryRpc, controlRpc } = vm;
    const others = all
      .filter((other) => other.vmId !== vmId)
      .map((other) => other.controlRpc);
    const settings = {
      vmId,
      zone,
      site,
      listenHttp: stripScheme(url),
      listenRpc: entryRpc,
      controls: [controlRpc, ...others],
      ...this.#plan.entrySettings,
    };
    return this.#bench.start("sardinestep-entry", {
      name: `entry-${vmId}`,
      settings,
    });
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

type Place = Omit<RunningVm, "entry" | "control">;

function stripScheme(url: string): string {
  return url.replace(/^http:\/\//, "");
}
