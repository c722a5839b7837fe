/**
 * What a deployment consists of, and the settings of its processes.
 *
 * @module
 */
import type { EndpointRole, SiteId, VmId, ZoneId } from "@sardinestep/types";

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

/** A VM with its addresses. */
export interface PlacedVm extends PlannedVm {
  readonly url: string;
  readonly entryRpc: string;
  readonly controlRpc: string;
}

/** Every address of a deployment. */
export interface Placement {
  readonly vms: readonly PlacedVm[];
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly storeUrl: string;
  /** Reaches all stand-ins' admin paths, also during their outages. */
  readonly adminUrl: string;
  /** Address of each worker. */
  readonly workers: ReadonlyMap<string, string>;
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

const LOOPBACK = "127.0.0.1";
const PORTS_A_VM = 3;
const PORTS_OF_PLATFORM = 4;

/** How many ports a deployment needs. */
export function countPorts({ vms, workers }: DeploymentPlan): number {
  return PORTS_OF_PLATFORM + workers.length + vms.length * PORTS_A_VM;
}

/**
 * Gives every process of a deployment its addresses, entries first.
 *
 * @param plan What the deployment consists of.
 * @param ports As many as {@link countPorts} says.
 * @returns Every address.
 */
export function buildPlacement(
  plan: DeploymentPlan,
  ports: readonly number[],
): Placement {
  const addresses = ports.map((port) => `${LOOPBACK}:${port}`);
  const take = () => addresses.shift() ?? "";
  const vms = plan.vms.map((vm) => ({
    ...vm,
    url: `http://${take()}`,
    entryRpc: take(),
    controlRpc: take(),
  }));
  return {
    vms,
    logUrl: `http://${take()}`,
    vmListUrl: `http://${take()}`,
    storeUrl: `http://${take()}`,
    adminUrl: `http://${take()}`,
    workers: new Map(
      plan.workers.map((worker) => [worker.endpointId, take()]),
    ),
  };
}

/** Builds the settings of the stand-ins. */
export function buildFakesSettings(
  plan: DeploymentPlan,
  placement: Placement,
): unknown {
  const { workers, logSettings, vmListLagMs } = plan;
  const vms = placement.vms.map(({ url: _url, ...vm }) => ({
    ...vm,
    state: "live",
  }));
  const endpoints = workers.map((worker) => ({
    endpointId: worker.endpointId,
    service: worker.service,
    role: worker.role,
    zone: worker.zone,
    address: placement.workers.get(worker.endpointId),
    coldConcurrency: worker.coldConcurrency,
    warmConcurrency: worker.warmConcurrency,
    state: "live",
  }));
  return {
    adminListen: stripScheme(placement.adminUrl),
    logs: [{ listen: stripScheme(placement.logUrl), ...logSettings }],
    vmLists: [{
      listen: stripScheme(placement.vmListUrl),
      lagMs: vmListLagMs ?? 0,
      vms,
      endpoints,
    }],
    stores: [{ listen: stripScheme(placement.storeUrl) }],
    endpoints: workers.map((worker) => ({
      ...worker,
      listen: placement.workers.get(worker.endpointId),
    })),
  };
}

/** Builds the settings of a VM's control. */
export function buildControlSettings(
  vm: PlacedVm,
  plan: DeploymentPlan,
  placement: Placement,
): unknown {
  const { vmId, zone, site, controlRpc } = vm;
  return {
    vmId,
    zone,
    site,
    listenRpc: controlRpc,
    logUrl: placement.logUrl,
    vmListUrl: placement.vmListUrl,
    neighbours: listOtherControls(vm, placement),
    ...plan.controlSettings,
  };
}

/** Builds the settings of a VM's entry. */
export function buildEntrySettings(
  vm: PlacedVm,
  plan: DeploymentPlan,
  placement: Placement,
): unknown {
  const { vmId, zone, site, url, entryRpc, controlRpc } = vm;
  return {
    vmId,
    zone,
    site,
    listenHttp: stripScheme(url),
    listenRpc: entryRpc,
    controls: [controlRpc, ...listOtherControls(vm, placement)],
    ...plan.entrySettings,
  };
}

/** Lists operations of a configuration that may not be repeated. */
export function listSingleOperations(configuration: unknown): Set<string> {
  const { base } = configuration as PlannedConfiguration;
  const stages = Object.values(base.pipelines).flatMap((one) => one.stages);
  const single = stages.filter((stage) => !stage.repeatable);
  return new Set(single.map((stage) => stage.operation ?? ""));
}

/** Takes the scheme off a URL, which leaves its address. */
export function stripScheme(url: string): string {
  return url.replace(/^http:\/\//, "");
}

function listOtherControls(vm: PlacedVm, placement: Placement): string[] {
  return placement.vms
    .filter((other) => other.vmId !== vm.vmId)
    .map((other) => other.controlRpc);
}
