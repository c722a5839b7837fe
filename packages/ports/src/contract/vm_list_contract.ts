/**
 * The contract of the VM list's port.
 *
 * @module
 */
import { expect } from "chai";
import type { PortErrorKind } from "../error.ts";
import type { ListedEndpoint, ListedVm, VmListPort } from "../vm_list.ts";
import {
  addCases,
  type Bench,
  type ContractCase,
  expectError,
  IMPATIENT_MS,
  type OpenBench,
  PATIENT_MS,
} from "./bench.ts";

/** Faults and changes of a VM list under the contract. */
export type VmListFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  | { readonly kind: "hang" }
  | { readonly kind: "reset" }
  /** The listed VM and endpoint of the contract are leaving. */
  | { readonly kind: "leaving" }
  /** Both are gone. */
  | { readonly kind: "removed" }
  /** From now on changes are listed only after a time beyond the case. */
  | { readonly kind: "lag" };

/** A VM list under the contract; it lists the two below and no others. */
export type VmListBench = Bench<VmListPort, VmListFault>;

/** The VM that the service must list at the start. */
export const CONTRACT_VM: ListedVm = {
  vmId: "vm-1",
  zone: "zone-a",
  site: "site-1",
  entryRpc: "127.0.0.1:1",
  controlRpc: "127.0.0.1:2",
  state: "live",
};

/** The endpoint that the service must list at the start. */
export const CONTRACT_ENDPOINT: ListedEndpoint = {
  endpointId: "endpoint-1",
  service: "drafts",
  role: "generator",
  zone: "zone-a",
  address: "127.0.0.1:3",
  coldConcurrency: 1,
  warmConcurrency: 8,
  state: "live",
};

const FAULT_ROWS: readonly (readonly [
  VmListFault["kind"] & ("down" | "hang" | "reset"),
  PortErrorKind,
  number,
])[] = [
  ["down", "not_sent", PATIENT_MS],
  ["hang", "timeout", IMPATIENT_MS],
  ["reset", "answer_lost", PATIENT_MS],
];

const CASES: readonly ContractCase<VmListBench>[] = [
  { name: "lists VMs and endpoints with the time of the list", run: checkList },
  { name: "lists what is leaving as leaving", run: checkLeaving },
  { name: "no longer lists what was removed", run: checkRemoved },
  { name: "gives the old list and its old time while it lags", run: checkLag },
  ...FAULT_ROWS.map(([kind, expected, timeoutMs]) => ({
    name: `read under "${kind}" is "${expected}", and works afterwards`,
    run: async ({ port, setFault }: VmListBench) => {
      await setFault({ kind });
      expectError(await port.read(timeoutMs), expected);
      await setFault({ kind: "none" });
      expect((await port.read(PATIENT_MS)).isOk()).to.equal(true);
    },
  })),
];

/**
 * Adds the contract's cases to the running mocha suite.
 *
 * @param name The adapter's name.
 * @param openBench Opens the adapter with a service that lists
 *   {@link CONTRACT_VM} and {@link CONTRACT_ENDPOINT} without lag.
 * @example
 * ```ts
 * addVmListContract("vmlist_http", openHttpVmListBench);
 * ```
 */
export function addVmListContract(
  name: string,
  openBench: OpenBench<VmListBench>,
): void {
  describe(`VM list contract: ${name}`, () => addCases(CASES, openBench));
}

async function readList(port: VmListPort) {
  return (await port.read(PATIENT_MS)).unwrap();
}

async function checkList({ port }: VmListBench): Promise<void> {
  const list = await readList(port);
  expect(list.vms).to.deep.equal([CONTRACT_VM]);
  expect(list.endpoints).to.deep.equal([CONTRACT_ENDPOINT]);
  expect(list.asOf).to.be.a("number");
}

async function checkLeaving({ port, setFault }: VmListBench): Promise<void> {
  await setFault({ kind: "leaving" });
  const list = await readList(port);
  expect(list.vms[0].state).to.equal("leaving");
  expect(list.endpoints[0].state).to.equal("leaving");
}

async function checkRemoved({ port, setFault }: VmListBench): Promise<void> {
  await setFault({ kind: "removed" });
  const { vms, endpoints } = await readList(port);
  expect({ vms, endpoints }).to.deep.equal({ vms: [], endpoints: [] });
}

async function checkLag({ port, setFault }: VmListBench): Promise<void> {
  const before = await readList(port);
  await setFault({ kind: "lag" });
  await setFault({ kind: "removed" });
  const list = await readList(port);
  expect(list.vms).to.deep.equal([CONTRACT_VM]);
  expect(list.asOf).to.be.lessThan(before.asOf);
}
