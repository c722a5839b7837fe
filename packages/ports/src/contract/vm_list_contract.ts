/**
 * Contract of the VM list port.
 *
 * @module
 */
import { expect } from "chai";
import type { PortErrorKind } from "../error.ts";
import type { ListedEndpoint, ListedVm, VmListPort } from "../vm_list.ts";
import {
  addCases,
  type ContractCase,
  type ContractFixture,
  expectError,
  LONG_TIMEOUT_MS,
  type OpenFixture,
  SHORT_TIMEOUT_MS,
} from "./fixture.ts";

/** Faults and changes that can be injected into the VM list. */
export type VmListFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  | { readonly kind: "hang" }
  | { readonly kind: "reset" }
  /** The listed VM and endpoint are leaving. */
  | { readonly kind: "leaving" }
  /** Both are removed from the list. */
  | { readonly kind: "removed" }
  /** Later changes are not listed before the case ends. */
  | { readonly kind: "lag" };

/** A VM list port and its service, which lists only the VM and endpoint below. */
export type VmListFixture = ContractFixture<VmListPort, VmListFault>;

/** The VM that the service must list initially. */
export const CONTRACT_VM: ListedVm = {
  vmId: "vm-1",
  zone: "zone-a",
  site: "site-1",
  entryRpc: "127.0.0.1:1",
  controlRpc: "127.0.0.1:2",
  state: "live",
};

/** The endpoint that the service must list initially. */
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
  ["down", "not_sent", LONG_TIMEOUT_MS],
  ["hang", "timeout", SHORT_TIMEOUT_MS],
  ["reset", "answer_lost", LONG_TIMEOUT_MS],
];

const CASES: readonly ContractCase<VmListFixture>[] = [
  { name: "lists VMs and endpoints with the time of the list", run: checkList },
  { name: "lists leaving VMs and endpoints as leaving", run: checkLeaving },
  { name: "omits removed VMs and endpoints", run: checkRemoved },
  {
    name: "returns the old list with its old time while it lags",
    run: checkLag,
  },
  ...FAULT_ROWS.map(([kind, expected, timeoutMs]) => ({
    name: `read under "${kind}" is "${expected}" and succeeds afterwards`,
    run: async ({ port, setFault }: VmListFixture) => {
      await setFault({ kind });
      expectError(await port.read(timeoutMs), expected);
      await setFault({ kind: "none" });
      expect((await port.read(LONG_TIMEOUT_MS)).isOk()).to.equal(true);
    },
  })),
];

/**
 * Registers the cases of the contract with mocha.
 *
 * @param name The adapter's name.
 * @param openFixture Opens the adapter with a service that lists
 *   {@link CONTRACT_VM} and {@link CONTRACT_ENDPOINT} without lag.
 * @example
 * ```ts
 * addVmListContract("vmlist_http", openHttpVmListFixture);
 * ```
 */
export function addVmListContract(
  name: string,
  openFixture: OpenFixture<VmListFixture>,
): void {
  describe(`VM list contract: ${name}`, () => addCases(CASES, openFixture));
}

async function readList(port: VmListPort) {
  return (await port.read(LONG_TIMEOUT_MS)).unwrap();
}

async function checkList({ port }: VmListFixture): Promise<void> {
  const list = await readList(port);
  expect(list.vms).to.deep.equal([CONTRACT_VM]);
  expect(list.endpoints).to.deep.equal([CONTRACT_ENDPOINT]);
  expect(list.asOf).to.be.a("number");
}

async function checkLeaving({ port, setFault }: VmListFixture): Promise<void> {
  await setFault({ kind: "leaving" });
  const list = await readList(port);
  expect(list.vms[0].state).to.equal("leaving");
  expect(list.endpoints[0].state).to.equal("leaving");
}

async function checkRemoved({ port, setFault }: VmListFixture): Promise<void> {
  await setFault({ kind: "removed" });
  const { vms, endpoints } = await readList(port);
  expect({ vms, endpoints }).to.deep.equal({ vms: [], endpoints: [] });
}

async function checkLag({ port, setFault }: VmListFixture): Promise<void> {
  const before = await readList(port);
  await setFault({ kind: "lag" });
  await setFault({ kind: "removed" });
  const list = await readList(port);
  expect(list.vms).to.deep.equal([CONTRACT_VM]);
  expect(list.asOf).to.be.lessThan(before.asOf);
}
