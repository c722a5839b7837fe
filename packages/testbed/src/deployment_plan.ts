/**
 * Plans of deployments, and the addresses and settings of their processes.
 *
 * @module
 */
import type { EndpointRole, SiteId, VmId, ZoneId } from "@sardinestep/types";

/** A VM of a planned deployment. */
export interface PlannedVm {
  readonly vmId: VmId;
  readonly zone: ZoneId;
  readonly site: SiteId;
}

/** A worker, run as a fake endpoint. */
export interface PlannedWorker {
  readonly endpointId: string;
  readonly service: string;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
  /** Further settings of the fake endpoint, such as `serviceMs`. */
  readonly [setting: string]: unknown;
}

/** The VMs, workers and settings of a deployment. */
export interface DeploymentPlan {
  readonly vms: readonly PlannedVm[];
  readonly workers: readonly PlannedWorker[];
  /** Published once the controls are ready. */
  readonly configuration: unknown;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  readonly logSettings?: Readonly<Record<string, unknown>>;
  readonly vmListLagMs?: number;
}

/** A VM with its addresses. */
export interface AddressedVm extends PlannedVm {
  readonly url: string;
  readonly entryRpc: string;
  readonly controlRpc: string;
}

/** Every address of a deployment. */
export interface DeploymentAddresses {
  readonly vms: readonly AddressedVm[];
  readonly logUrl: string;
  readonly vmListUrl: string;
  readonly storeUrl: string;
  /** Shared admin server of all fakes; works also during their outages. */
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
const PORTS_PER_VM = 3;
const PLATFORM_PORT_COUNT = 4;

/** Counts the ports that a deployment needs. */
export function countPorts({ vms, workers }: DeploymentPlan): number {
  return PLATFORM_PORT_COUNT + workers.length + vms.length * PORTS_PER_VM;
}

/**
 * Assigns addresses to every process of a deployment, entries first.
 *
 * @param plan What the deployment consists of.
 * @param ports Ports to use, as many as {@link countPorts} returns.
 * @returns Addresses of all processes.
 */
export function buildAddresses(
  plan: DeploymentPlan,
  ports: readonly number[],
): DeploymentAddresses {
  const freeAddresses = ports.map((port) => `${LOOPBACK}:${port}`);
  const takeAddress = () => freeAddresses.shift() ?? "";
  const vms = plan.vms.map((vm) => ({
    ...vm,
    url: `http://${takeAddress()}`,
    entryRpc: takeAddress(),
    controlRpc: takeAddress(),
  }));
  return {
    vms,
    logUrl: `http://${takeAddress()}`,
    vmListUrl: `http://${takeAddress()}`,
    storeUrl: `http://${takeAddress()}`,
    adminUrl: `http://${takeAddress()}`,
    workers: new Map(
      plan.workers.map((worker) => [worker.endpointId, takeAddress()]),
    ),
  };
}

/** Builds the settings of the process that runs the fakes. */
export function buildFakesSettings(
  plan: DeploymentPlan,
  addresses: DeploymentAddresses,
): unknown {
  const { workers, logSettings, vmListLagMs } = plan;
  const vms = addresses.vms.map(({ url: _url, ...vm }) => ({
    ...vm,
    state: "live",
  }));
  const endpoints = workers.map((worker) => ({
    endpointId: worker.endpointId,
    service: worker.service,
    role: worker.role,
    zone: worker.zone,
    address: addresses.workers.get(worker.endpointId),
    coldConcurrency: worker.coldConcurrency,
    warmConcurrency: worker.warmConcurrency,
    state: "live",
  }));
  return {
    adminListen: removeScheme(addresses.adminUrl),
    logs: [{ listen: removeScheme(addresses.logUrl), ...logSettings }],
    vmLists: [{
      listen: removeScheme(addresses.vmListUrl),
      lagMs: vmListLagMs ?? 0,
      vms,
      endpoints,
    }],
    stores: [{ listen: removeScheme(addresses.storeUrl) }],
    endpoints: workers.map((worker) => ({
      ...worker,
      listen: addresses.workers.get(worker.endpointId),
    })),
  };
}

/** Builds the settings of a VM's control. */
export function buildControlSettings(
  vm: AddressedVm,
  plan: DeploymentPlan,
  addresses: DeploymentAddresses,
): unknown {
  const { vmId, zone, site, controlRpc } = vm;
  return {
    vmId,
    zone,
    site,
    listenRpc: controlRpc,
    logUrl: addresses.logUrl,
    vmListUrl: addresses.vmListUrl,
    neighbours: listOtherControls(vm, addresses),
    ...plan.controlSettings,
  };
}

/** Builds the settings of a VM's entry. */
export function buildEntrySettings(
  vm: AddressedVm,
  plan: DeploymentPlan,
  addresses: DeploymentAddresses,
): unknown {
  const { vmId, zone, site, url, entryRpc, controlRpc } = vm;
  return {
    vmId,
    zone,
    site,
    listenHttp: removeScheme(url),
    listenRpc: entryRpc,
    controls: [controlRpc, ...listOtherControls(vm, addresses)],
    ...plan.entrySettings,
  };
}

/** Finds the operations of a configuration that must not be repeated. */
export function findNonRepeatableOperations(
  configuration: unknown,
): Set<string> {
  const { base } = configuration as PlannedConfiguration;
  const stages = Object.values(base.pipelines).flatMap((pipeline) =>
    pipeline.stages
  );
  const nonRepeatable = stages.filter((stage) => !stage.repeatable);
  return new Set(nonRepeatable.map((stage) => stage.operation ?? ""));
}

/** Removes the scheme of a URL, which leaves its address. */
export function removeScheme(url: string): string {
  return url.replace(/^http:\/\//, "");
}

function listOtherControls(
  vm: AddressedVm,
  addresses: DeploymentAddresses,
): string[] {
  return addresses.vms
    .filter((other) => other.vmId !== vm.vmId)
    .map((other) => other.controlRpc);
}
