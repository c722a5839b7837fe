import type { EndpointFacts, InstanceId, VmId } from "@sardinestep/types";
import { expect } from "chai";
import fc from "fast-check";
import { type HeardIdentity, MemberTable } from "./member_table.ts";
import { buildQuarantineMs, rankByHash, WarmupGuard } from "./mod.ts";

/*
 * Nine VMs, each with the table of its control and the guard of its entry, in
 * steps of 100 ms. Every entry always sends as many calls as its guard allows; a
 * call runs on after its entry has died or is frozen. Faults come from fast-check.
 */
const STEP_MS = 100;
const RUN_MS = 45_000;
const GOSSIP_MS = 300;
const SILENT_AFTER_MS = 4_000;
const VIEW_FRESH_MS = 1_000;
const LIST_LAG_MS = 2_000;
const LIST_FRESH_MS = 2_000;
const LONGEST_CALL_MS = 3_000;
const QUARANTINE_MS = buildQuarantineMs({
  listLagMs: LIST_LAG_MS + LIST_FRESH_MS,
  silentAfterMs: SILENT_AFTER_MS,
  viewFreshMs: VIEW_FRESH_MS,
  longestCallMs: LONGEST_CALL_MS,
});
const VM_COUNT = 9;
const COLD_CONCURRENCY = 2;
const ENDPOINTS = ["e-1", "e-2", "e-3", "e-4"];

type Fault =
  | {
    kind: "vm_died" | "process_died" | "frozen" | "cut_off";
    vm: number;
  }
  | { kind: "entry_frozen" | "control_frozen" | "list_stalled"; vm: number }
  | { kind: "path_cut"; vm: number; other: number }
  | { kind: "zone_gone"; zone: number }
  | { kind: "endpoint_restarted"; endpoint: number };
type TimedFault = { fault: Fault; atMs: number; forMs: number };

const VM = fc.nat({ max: VM_COUNT - 1 });
const FAULT: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      "vm_died" as const,
      "process_died" as const,
      "frozen" as const,
      "cut_off" as const,
    ),
    vm: VM,
  }),
  fc.record({
    kind: fc.constantFrom(
      "entry_frozen" as const,
      "control_frozen" as const,
      "list_stalled" as const,
    ),
    vm: VM,
  }),
  fc.record({ kind: fc.constant("path_cut" as const), vm: VM, other: VM }),
  fc.record({
    kind: fc.constant("zone_gone" as const),
    zone: fc.nat({ max: 2 }),
  }),
  fc.record({
    kind: fc.constant("endpoint_restarted" as const),
    endpoint: fc.nat({ max: ENDPOINTS.length - 1 }),
  }),
);
const FAULTS = fc.array(
  fc.record({
    fault: FAULT,
    atMs: fc.integer({ min: 0, max: RUN_MS }),
    forMs: fc.integer({ min: 500, max: 25_000 }),
  }),
  { maxLength: 8 },
);

interface Node {
  vmId: VmId;
  zone: string;
  run: number;
  table: MemberTable;
  guard: WarmupGuard;
  /** Requests that arrived while the control was frozen. */
  inbox: { identity: HeardIdentity; table: MemberTable }[];
  wasFrozen: boolean;
  answer?: { members: ReturnType<MemberTable["getMembers"]>; viewAt?: number };
}

interface Options {
  quarantineMs: number;
  /** Stands in for a control that never notices that it is cut off. */
  isAlwaysFresh?: boolean;
  /** Stands in for a control that believes only what it hears itself. */
  isWithoutRelay?: boolean;
}

class World {
  now = 0;
  maxRunning = 0;
  callsStarted = 0;
  readonly #nodes: Node[];
  readonly #calls: { endpoint: string; vm: number; endAt: number }[] = [];
  readonly #endpointRuns = new Map(ENDPOINTS.map((id) => [id, 1]));

  constructor(
    readonly options: Options,
    readonly faults: readonly TimedFault[],
  ) {
    this.#nodes = Array.from(
      { length: VM_COUNT },
      (_, vm) => this.#createNode(vm, 1),
    );
  }

  run(): void {
    for (; this.now < RUN_MS; this.now += STEP_MS) this.#runStep();
  }

  #runStep(): void {
    this.#restartEndpoints();
    this.#nodes.forEach((_, vm) => this.#updateProcess(vm));
    this.#endCalls();
    // Entries act first: a frozen one that wakes up has read nothing yet.
    this.#nodes.forEach((_, vm) => this.#runEntry(vm));
    this.#nodes.forEach((_, vm) => this.#runControl(vm));
  }

  #active(): Fault[] {
    return this.faults
      .filter((it) => it.atMs <= this.now && this.now < it.atMs + it.forMs)
      .map((it) => it.fault);
  }

  #has(vm: number, ...kinds: Fault["kind"][]): boolean {
    return this.#active().some((fault) =>
      kinds.includes(fault.kind) &&
      (("vm" in fault && fault.vm === vm) ||
        ("zone" in fault && fault.zone === vm % 3))
    );
  }

  #isDead(vm: number): boolean {
    return this.#has(vm, "vm_died", "process_died", "zone_gone");
  }

  #isPathCut(vm: number, other: number): boolean {
    if (this.#has(vm, "cut_off") || this.#has(other, "cut_off")) return true;
    return this.#active().some((fault) =>
      fault.kind === "path_cut" &&
      [fault.vm, fault.other].includes(vm) &&
      [fault.vm, fault.other].includes(other)
    );
  }

  /** The list as it was some time ago; a killed process does not change it. */
  #readList(vm: number) {
    const asOf = this.now - (vm * LIST_LAG_MS) / VM_COUNT;
    const gone = new Set(
      this.faults
        .filter((it) => it.atMs <= asOf && asOf < it.atMs + it.forMs)
        .flatMap(({ fault }) =>
          this.#nodes.map((_, other) => other).filter((other) =>
            (fault.kind === "vm_died" && fault.vm === other) ||
            (fault.kind === "zone_gone" && fault.zone === other % 3)
          )
        ),
    );
    const vms = this.#nodes
      .filter((_, other) => !gone.has(other))
      .map((node) => ({ ...buildPlace(node), state: "live" as const }));
    return { vms, asOf };
  }

  #createNode(vm: number, run: number): Node {
    const vmId = `vm-${vm}`;
    const zone = `zone-${vm % 3}`;
    const node: Node = {
      vmId,
      zone,
      run,
      table: new MemberTable({
        self: buildPlace({ vmId, zone }),
        silentAfterMs: SILENT_AFTER_MS,
        viewFreshMs: VIEW_FRESH_MS,
        listFreshMs: LIST_FRESH_MS,
      }),
      guard: new WarmupGuard({
        vmId,
        quarantineMs: this.options.quarantineMs,
        viewFreshMs: VIEW_FRESH_MS,
      }),
      inbox: [],
      wasFrozen: false,
    };
    node.table.setOwnEntry(`${vmId}#${run}`, this.now);
    return node;
  }

  /** A VM that was dead comes back with a new run and empty memory. */
  #updateProcess(vm: number): void {
    const node = this.#nodes[vm]!;
    if (this.#isDead(vm)) {
      if (node.run > 0) node.run = -node.run;
    } else if (node.run < 0) {
      this.#nodes[vm] = this.#createNode(vm, 1 - node.run);
    }
  }

  #restartEndpoints(): void {
    for (const { fault, atMs } of this.faults) {
      if (fault.kind !== "endpoint_restarted") continue;
      if (atMs < this.now || atMs >= this.now + STEP_MS) continue;
      const id = ENDPOINTS[fault.endpoint]!;
      this.#endpointRuns.set(id, this.#endpointRuns.get(id)! + 1);
      this.#dropCalls((call) => call.endpoint === id);
    }
  }

  #endCalls(): void {
    this.#dropCalls((call) => call.endAt <= this.now);
  }

  #dropCalls(isOver: (call: { endpoint: string; endAt: number }) => boolean) {
    const kept = this.#calls.filter((call) => !isOver(call));
    this.#calls.splice(0, this.#calls.length, ...kept);
  }

  #runEntry(vm: number): void {
    const node = this.#nodes[vm]!;
    if (node.run < 0 || this.#has(vm, "frozen", "entry_frozen")) return;
    for (const id of ENDPOINTS) this.#sendCalls(vm, id);
    if (node.answer) {
      const { members, viewAt } = node.answer;
      node.guard.applyView({ members, viewAt }, this.now);
      node.answer = undefined;
    }
    for (const id of ENDPOINTS) {
      node.guard.applyEndpoint(this.#getFacts(id), this.now);
    }
  }

  #getFacts(endpointId: string): EndpointFacts {
    const run = this.#endpointRuns.get(endpointId)!;
    return buildEndpoint(endpointId, `${endpointId}#${run}`);
  }

  #sendCalls(vm: number, endpoint: string): void {
    const slice = this.#nodes[vm]!.guard.getSlice(endpoint, this.now);
    const isHere = (call: { endpoint: string }) => call.endpoint === endpoint;
    const own = this.#calls.filter((call) => isHere(call) && call.vm === vm);
    for (let count = own.length; count < slice; count += 1) {
      this.#calls.push({ endpoint, vm, endAt: this.now + LONGEST_CALL_MS });
      this.callsStarted += 1;
    }
    const running = this.#calls.filter(isHere).length;
    this.maxRunning = Math.max(this.maxRunning, running);
  }

  #runControl(vm: number): void {
    const node = this.#nodes[vm]!;
    if (node.run < 0 || this.#has(vm, "frozen", "control_frozen")) return;
    this.#readInbox(node);
    if (this.now % 500 === 0 && !this.#has(vm, "list_stalled")) {
      const { vms, asOf } = this.#readList(vm);
      node.table.applyList(vms, this.now, { asOf });
    }
    if ((this.now + vm * STEP_MS) % GOSSIP_MS === 0) this.#sendGossip(vm);
    const isFresh = this.options.isAlwaysFresh ||
      node.table.isViewFresh(this.now);
    node.answer = {
      members: node.table.getMembers(this.now),
      viewAt: isFresh ? this.now : undefined,
    };
  }

  /** Old requests are read after waking up, as if they had just arrived. */
  #readInbox(node: Node): void {
    for (const { identity, table } of node.inbox) {
      node.table.applyHeard(identity, this.now);
      const from = identity.vmId;
      node.table.applyGossip(table.getGossip(this.now), this.now, { from });
    }
    node.inbox = [];
  }

  #sendGossip(vm: number): void {
    const node = this.#nodes[vm]!;
    this.#nodes.forEach((other, otherVm) => {
      if (otherVm === vm || other.run < 0) return;
      if (this.#isPathCut(vm, otherVm)) return;
      const isFrozen = this.#has(otherVm, "frozen", "control_frozen");
      const request = { identity: buildIdentity(node), table: node.table };
      if (isFrozen) {
        other.inbox.push(request);
        return;
      }
      this.#applyGossip(other, node);
      this.#applyGossip(node, other, this.now);
    });
  }

  #applyGossip(to: Node, from: Node, askedAt?: number): void {
    to.table.applyHeard(buildIdentity(from), this.now, { askedAt });
    const gossip = from.table.getGossip(this.now);
    const by = this.options.isWithoutRelay ? undefined : from.vmId;
    to.table.applyGossip(gossip, this.now, { from: by });
  }
}

function buildPlace(node: { vmId: VmId; zone: string }) {
  const { vmId, zone } = node;
  return { vmId, zone, site: "s", entryRpc: "", controlRpc: "" };
}

function buildIdentity(node: Node): HeardIdentity {
  return {
    process: "control",
    vmId: node.vmId,
    zone: node.zone,
    site: "s",
    instance: `${node.vmId}#${node.run}`,
    rpc: "",
  };
}

function buildEndpoint(endpointId: string, instance: InstanceId) {
  return {
    endpointId,
    instance,
    service: "drafts",
    role: "generator" as const,
    zone: "zone-0",
    address: "",
    state: "cold" as const,
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: 20,
  };
}

function runWorld(faults: readonly TimedFault[], options: Options): World {
  const world = new World(options, faults);
  world.run();
  return world;
}

const SAFE = { quarantineMs: QUARANTINE_MS };
const RUNS = { seed: 20_260_401, numRuns: 25 };

describe("WarmupGuard among many entries", () => {
  it("keeps the sum over all entries within what a cold endpoint bears", function () {
    this.timeout(120_000);
    fc.assert(
      fc.property(FAULTS, (faults) => {
        expect(runWorld(faults, SAFE).maxRunning).to.be.at.most(
          COLD_CONCURRENCY,
        );
      }),
      RUNS,
    );
  });

  it("is not kept by doing nothing: cold endpoints do get calls", () => {
    const world = runWorld([], SAFE);
    expect(world.maxRunning).to.equal(COLD_CONCURRENCY);
    expect(world.callsStarted).to.be.above(ENDPOINTS.length * 10);
  });

  // A whole zone goes, and other entries warm its endpoints from the next moment
  // on, while calls of the former warmers still run: the endpoint falls over.
  // The cause is a warmer that does not wait.
  it("would be broken without the quarantine", function () {
    this.timeout(120_000);
    const run = fc.check(
      fc.property(FAULTS, (faults) => {
        const world = runWorld(faults, { quarantineMs: 0 });
        return world.maxRunning <= COLD_CONCURRENCY;
      }),
      { ...RUNS, endOnFailure: true },
    );
    expect(run.failed).to.equal(true);
  });

  // One VM is cut off from all others but still reads the list. The others let
  // another VM warm its endpoints; the one that is cut off goes on, because it
  // takes its view for fresh.
  it("would be broken if a VM that is cut off took its view for fresh", () => {
    const faults = Array.from({ length: VM_COUNT }, (_, vm) => ({
      fault: { kind: "cut_off" as const, vm },
      atMs: 18_000,
      forMs: 27_000,
    }));
    const broken = faults.map((fault) =>
      runWorld([fault], { ...SAFE, isAlwaysFresh: true }).maxRunning
    );
    const safe = faults.map((fault) => runWorld([fault], SAFE).maxRunning);
    expect(Math.max(...broken)).to.be.above(COLD_CONCURRENCY);
    expect(Math.max(...safe)).to.equal(COLD_CONCURRENCY);
  });

  // The path between two VMs is cut, both reach all others. Each takes the other
  // for dead, so that both believe that they are the warmer, for as long as
  // the path is cut. What the others hear must count.
  it("would be broken if one cut path made two VMs dead to each other", () => {
    const vms = Array.from({ length: VM_COUNT }, (_, vm) => vm);
    const [vm, other] = rankByHash("e-1", vms, (it) => `vm-${it}`);
    const fault = { kind: "path_cut" as const, vm: vm!, other: other! };
    const faults = [{ fault, atMs: 5_000, forMs: 40_000 }];
    const broken = runWorld(faults, { ...SAFE, isWithoutRelay: true });
    const safe = runWorld(faults, SAFE);
    expect(broken.maxRunning).to.be.above(COLD_CONCURRENCY);
    expect(safe.maxRunning).to.equal(COLD_CONCURRENCY);
  });
});
