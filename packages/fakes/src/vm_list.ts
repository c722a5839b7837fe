/**
 * The fake of the platform's VM list, which lags behind changes.
 *
 * @module
 */
import type { ListedEndpoint, ListedVm, VmList } from "@sardinestep/ports";
import { type Address, ENDPOINT_ROLE } from "@sardinestep/types";
import { Hono } from "hono";
import { match } from "ts-pattern";
import { z } from "zod";
import { FakeServer, OUTAGE } from "./fake_server.ts";
import { readBody, waitMs } from "./http.ts";

const stateSchema = z.enum(["live", "leaving"]);
const vmSchema = z.strictObject({
  vmId: z.string(),
  zone: z.string(),
  site: z.string(),
  entryRpc: z.string(),
  controlRpc: z.string(),
  state: stateSchema.default("live"),
});
const endpointSchema = z.strictObject({
  endpointId: z.string(),
  service: z.string(),
  role: z.enum(ENDPOINT_ROLE),
  zone: z.string(),
  address: z.string(),
  coldConcurrency: z.number().int().positive(),
  warmConcurrency: z.number().int().positive(),
  state: stateSchema.default("live"),
});

/** Settings of one fake VM list. */
export const vmListSettingsSchema = z.strictObject({
  listen: z.string(),
  /** Delay until a change is listed. */
  lagMs: z.number().nonnegative().default(0),
  vms: z.array(vmSchema).default([]),
  endpoints: z.array(endpointSchema).default([]),
});
export type FakeVmListOptions = z.input<typeof vmListSettingsSchema>;

/** A change of the actual VMs and endpoints. */
export const vmListChangeSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("set_vm"), vm: vmSchema }),
  z.strictObject({ kind: z.literal("set_endpoint"), endpoint: endpointSchema }),
  z.strictObject({
    kind: z.literal("set_vm_state"),
    vmId: z.string(),
    state: stateSchema,
  }),
  z.strictObject({
    kind: z.literal("set_endpoint_state"),
    endpointId: z.string(),
    state: stateSchema,
  }),
  z.strictObject({ kind: z.literal("remove_vm"), vmId: z.string() }),
  z.strictObject({
    kind: z.literal("remove_endpoint"),
    endpointId: z.string(),
  }),
]);
export type VmListChange = z.infer<typeof vmListChangeSchema>;

/** Faults of a fake VM list; omitted fields stay unchanged. */
export const vmListFaultsSchema = z.strictObject({
  outage: z.enum(OUTAGE).optional(),
  lagMs: z.number().nonnegative().optional(),
  slowMs: z.number().nonnegative().optional(),
  /** Changes to apply, in order. */
  changes: z.array(vmListChangeSchema).optional(),
});
export type VmListFaults = z.infer<typeof vmListFaultsSchema>;

interface Snapshot {
  readonly at: number;
  readonly vms: readonly ListedVm[];
  readonly endpoints: readonly ListedEndpoint[];
}

/** A running fake VM list. */
export class FakeVmList {
  readonly server: FakeServer;
  #history: Snapshot[];
  #lagMs: number;
  #slowMs = 0;
  #reads = 0;

  constructor(options: FakeVmListOptions) {
    const { vms, endpoints, lagMs, listen } = vmListSettingsSchema.parse(
      options,
    );
    this.#lagMs = lagMs;
    this.#history = [{ at: 0, vms, endpoints }];
    this.server = new FakeServer({ listen, routes: this.#buildRoutes() });
  }

  get address(): Address {
    return this.server.address;
  }

  /** URL for adapters. */
  get url(): string {
    return `http://${this.address}/v1/vms`;
  }

  getCounters(): { readonly reads: number } {
    return { reads: this.#reads };
  }

  /** Switches faults on or off and applies changes. */
  async setFaults(faults: VmListFaults): Promise<void> {
    this.#lagMs = faults.lagMs ?? this.#lagMs;
    this.#slowMs = faults.slowMs ?? this.#slowMs;
    for (const change of faults.changes ?? []) this.applyChange(change);
    if (faults.outage) await this.server.setOutage(faults.outage);
  }

  /** Applies a change; readers see it after the lag. */
  applyChange(change: VmListChange): void {
    const now = Date.now();
    const newest = this.#history[this.#history.length - 1];
    this.#history = this.#history.filter((snapshot, index) => {
      const next = this.#history[index + 1];
      return next === undefined || next.at > now - this.#lagMs ||
        snapshot === newest;
    });
    this.#history.push({ ...buildNextSnapshot(newest, change), at: now });
  }

  /** Returns the list that readers currently see. */
  getList(): VmList {
    const asOf = Date.now() - this.#lagMs;
    const visible = this.#history.findLast((snapshot) => snapshot.at <= asOf);
    const { vms, endpoints } = visible ?? this.#history[0];
    return { asOf, vms, endpoints };
  }

  close(): Promise<void> {
    return this.server.close();
  }

  #buildRoutes(): Hono {
    const routes = new Hono();
    routes.get("/v1/vms", async (context) => {
      this.#reads += 1;
      await waitMs(this.#slowMs);
      return context.json(this.getList());
    });
    routes.get(
      "/admin/counters",
      (context) => context.json(this.getCounters()),
    );
    routes.post("/admin/faults", async (context) => {
      const faults = await readBody(context, vmListFaultsSchema);
      if (faults instanceof Response) return faults;
      await this.setFaults(faults);
      return context.json({});
    });
    return routes;
  }
}

function buildNextSnapshot(previous: Snapshot, change: VmListChange): Snapshot {
  const { vms, endpoints } = previous;
  return match(change)
    .with({ kind: "set_vm" }, ({ vm }) => ({
      ...previous,
      vms: [...vms.filter((other) => other.vmId !== vm.vmId), vm],
    }))
    .with({ kind: "set_endpoint" }, ({ endpoint }) => ({
      ...previous,
      endpoints: [
        ...endpoints.filter((other) =>
          other.endpointId !== endpoint.endpointId
        ),
        endpoint,
      ],
    }))
    .with({ kind: "set_vm_state" }, ({ vmId, state }) => ({
      ...previous,
      vms: vms.map((vm) => vm.vmId === vmId ? { ...vm, state } : vm),
    }))
    .with({ kind: "set_endpoint_state" }, ({ endpointId, state }) => ({
      ...previous,
      endpoints: endpoints.map((endpoint) =>
        endpoint.endpointId === endpointId ? { ...endpoint, state } : endpoint
      ),
    }))
    .with({ kind: "remove_vm" }, ({ vmId }) => ({
      ...previous,
      vms: vms.filter((vm) => vm.vmId !== vmId),
    }))
    .with({ kind: "remove_endpoint" }, ({ endpointId }) => ({
      ...previous,
      endpoints: endpoints.filter((endpoint) =>
        endpoint.endpointId !== endpointId
      ),
    }))
    .exhaustive();
}

/**
 * Starts a fake VM list in this process.
 *
 * @param options Its settings; by default it listens on a free loopback port.
 * @returns The running fake; the caller closes it.
 * @example
 * ```ts
 * const list = await startFakeVmList({ lagMs: 500, vms });
 * list.applyChange({ kind: "remove_vm", vmId: "vm-1" });
 * ```
 */
export async function startFakeVmList(
  options: Partial<FakeVmListOptions> = {},
): Promise<FakeVmList> {
  const list = new FakeVmList({ listen: "127.0.0.1:0", ...options });
  await list.server.start();
  return list;
}
