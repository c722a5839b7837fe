/**
 * Simulates many entries that send to cold endpoints, for property tests and
 * `npm run prove`. Not part of any program.
 *
 * Nine VMs in three zones, each with its control's table and its entry's guard.
 * Every entry always sends as many calls as its guard allows; a call continues
 * after its entry has stopped or is frozen.
 *
 * @module
 */
import type {
  EndpointFacts,
  EndpointId,
  MemberFacts,
} from "@sardinestep/types";
import type { MemberLocation, PeerIdentity } from "./member_row.ts";
import { MemberTable } from "./member_table.ts";
import { buildTakeoverDelayMs } from "./warmer.ts";
import {
  FaultSchedule,
  type TimedFault,
  WORLD_VMS,
  WORLD_ZONES,
} from "./warmup_faults.ts";
import { WarmupGuard } from "./warmup_guard.ts";

/** Duration of a simulation in simulated time. */
export const WORLD_RUN_MS = 45_000;
/** Concurrency of each endpoint, none of which becomes warm. */
export const WORLD_COLD_CONCURRENCY = 2;
/** The simulated endpoints, all cold. */
export const WORLD_ENDPOINTS: readonly EndpointId[] = [
  "e-1",
  "e-2",
  "e-3",
  "e-4",
];

const STEP_MS = 100;
const GOSSIP_MS = 300;
const LIST_READ_MS = 500;
const SILENT_AFTER_MS = 4_000;
const VIEW_FRESH_MS = 1_000;
const LIST_LAG_MS = 2_000;
const LIST_FRESH_MS = 2_000;
const LONGEST_CALL_MS = 3_000;
const TAKEOVER_DELAY_MS = buildTakeoverDelayMs({
  listLagMs: LIST_LAG_MS + LIST_FRESH_MS,
  silentAfterMs: SILENT_AFTER_MS,
  viewFreshMs: VIEW_FRESH_MS,
  longestCallMs: LONGEST_CALL_MS,
});

/** A safeguard to disable, to show which failure it prevents. */
export type WorldMutant =
  /** A new warmer does not wait for the takeover delay. */
  | "without_quarantine"
  /** A VM treats its view as fresh without answers from a majority. */
  | "without_majority"
  /** Reports of other VMs do not count as contact. */
  | "without_relay";

/** Result of a simulation. */
export interface WorldOutcome {
  /** Most concurrent calls to one endpoint from all entries. */
  readonly maxRunning: number;
  readonly callsStarted: number;
}

/**
 * Runs a simulation.
 *
 * @param faults The faults and their times.
 * @param mutant A safeguard to disable.
 * @returns The peak load of an endpoint and the number of calls.
 * @example
 * ```ts
 * runWarmupWorld(faults).maxRunning <= WORLD_COLD_CONCURRENCY; // true
 * ```
 */
export function runWarmupWorld(
  faults: readonly TimedFault[],
  mutant?: WorldMutant,
): WorldOutcome {
  return new World(new FaultSchedule(faults), mutant).run();
}

interface SimulatedNode {
  readonly location: MemberLocation;
  readonly incarnation: number;
  isDead: boolean;
  readonly table: MemberTable;
  readonly guard: WarmupGuard;
  /** Requests that arrived while control was frozen. */
  inbox: GossipRequest[];
  /** Control's answer to the entry, which reads it in the next step. */
  pendingView?: { members: MemberFacts[]; confirmedAt: number | undefined };
}

interface GossipRequest {
  readonly identity: PeerIdentity;
  readonly members: readonly MemberFacts[];
}

interface RunningCall {
  readonly endpoint: EndpointId;
  readonly vm: number;
  readonly endAt: number;
}

class World {
  #now = 0;
  #maxRunning = 0;
  #callsStarted = 0;
  #calls: RunningCall[] = [];
  readonly #nodes: SimulatedNode[];
  readonly #endpointRuns = new Map(WORLD_ENDPOINTS.map((id) => [id, 1]));
  readonly #schedule: FaultSchedule;
  readonly #mutant: WorldMutant | undefined;

  constructor(schedule: FaultSchedule, mutant: WorldMutant | undefined) {
    this.#schedule = schedule;
    this.#mutant = mutant;
    this.#nodes = Array.from(
      { length: WORLD_VMS },
      (_, vm) => this.#createNode(vm, 1),
    );
  }

  run(): WorldOutcome {
    for (; this.#now < WORLD_RUN_MS; this.#now += STEP_MS) this.#runStep();
    return { maxRunning: this.#maxRunning, callsStarted: this.#callsStarted };
  }

  #runStep(): void {
    const restarts = this.#schedule.getRestarts(this.#now, STEP_MS);
    for (const index of restarts) this.#restartEndpoint(index);
    this.#calls = this.#calls.filter((call) => call.endAt > this.#now);
    this.#nodes.forEach((_, vm) => this.#updateProcess(vm));
    // Entries run first: one that resumes after a freeze has read nothing yet.
    this.#nodes.forEach((node, vm) => this.#runEntry(node, vm));
    this.#nodes.forEach((node, vm) => this.#runControl(node, vm));
  }

  #createNode(vm: number, incarnation: number): SimulatedNode {
    const vmId = `vm-${vm}`;
    const zone = `zone-${vm % WORLD_ZONES}`;
    const location = { vmId, zone, site: "s", entryRpc: "", controlRpc: "" };
    const skipsDelay = this.#mutant === "without_quarantine";
    const table = new MemberTable({
      self: location,
      silentAfterMs: SILENT_AFTER_MS,
      viewFreshMs: VIEW_FRESH_MS,
      listFreshMs: LIST_FRESH_MS,
    });
    const guard = new WarmupGuard({
      vmId,
      takeoverDelayMs: skipsDelay ? 0 : TAKEOVER_DELAY_MS,
      viewFreshMs: VIEW_FRESH_MS,
    });
    table.setLocalEntry(`${vmId}#${incarnation}`, this.#now);
    return { location, incarnation, isDead: false, table, guard, inbox: [] };
  }

  #updateProcess(vm: number): void {
    const node = this.#nodes[vm] as SimulatedNode;
    const isDead = this.#schedule.isDead(vm, this.#now);
    const isRestarted = node.isDead && !isDead;
    const isReplaced = this.#schedule.isReplaced(vm, this.#now, STEP_MS);
    if (isRestarted || isReplaced) {
      this.#nodes[vm] = this.#createNode(vm, node.incarnation + 1);
    }
    (this.#nodes[vm] as SimulatedNode).isDead = isDead;
  }

  #restartEndpoint(index: number): void {
    const id = WORLD_ENDPOINTS[index] as EndpointId;
    this.#endpointRuns.set(id, (this.#endpointRuns.get(id) ?? 0) + 1);
    this.#calls = this.#calls.filter((call) => call.endpoint !== id);
  }

  #runEntry(node: SimulatedNode, vm: number): void {
    if (node.isDead) return;
    if (this.#schedule.hasFault(vm, this.#now, ["frozen", "entry_frozen"])) {
      return;
    }
    for (const id of WORLD_ENDPOINTS) this.#sendCalls(node, vm, id);
    if (node.pendingView !== undefined) {
      node.guard.applyView(node.pendingView, this.#now);
      node.pendingView = undefined;
    }
    for (const id of WORLD_ENDPOINTS) {
      node.guard.applyEndpoint(this.#buildFacts(id), this.#now);
    }
  }

  #sendCalls(node: SimulatedNode, vm: number, endpoint: EndpointId): void {
    const limit = node.guard.getCallLimit(endpoint, this.#now);
    const isOwnCall = (call: RunningCall) =>
      call.endpoint === endpoint && call.vm === vm;
    const freeSlots = limit - this.#calls.filter(isOwnCall).length;
    for (let count = 0; count < freeSlots; count += 1) {
      const endAt = this.#now + LONGEST_CALL_MS;
      this.#calls.push({ endpoint, vm, endAt });
      this.#callsStarted += 1;
    }
    const running = this.#calls.filter((call) => call.endpoint === endpoint);
    this.#maxRunning = Math.max(this.#maxRunning, running.length);
  }

  #buildFacts(endpointId: EndpointId): EndpointFacts {
    return {
      endpointId,
      service: "drafts",
      role: "generator",
      zone: "zone-0",
      address: "",
      instance: `${endpointId}#${this.#endpointRuns.get(endpointId)}`,
      state: "cold",
      coldConcurrency: WORLD_COLD_CONCURRENCY,
      warmConcurrency: 20,
    };
  }

  #runControl(node: SimulatedNode, vm: number): void {
    if (node.isDead || this.#isControlFrozen(vm)) return;
    for (const request of node.inbox) this.#applyRequest(node, request);
    node.inbox = [];
    if (this.#now % LIST_READ_MS === 0) this.#readList(node, vm);
    if ((this.#now + vm * STEP_MS) % GOSSIP_MS === 0) this.#sendGossip(vm);
    const isFresh = this.#mutant === "without_majority" ||
      node.table.isViewFresh(this.#now);
    const members = node.table.getMembers(this.#now);
    node.pendingView = {
      members,
      confirmedAt: isFresh ? this.#now : undefined,
    };
  }

  #isControlFrozen(vm: number): boolean {
    return this.#schedule.hasFault(vm, this.#now, ["frozen", "control_frozen"]);
  }

  /** Every VM reads the list with a different lag. */
  #readList(node: SimulatedNode, vm: number): void {
    if (this.#schedule.hasFault(vm, this.#now, ["list_stalled"])) return;
    const asOf = this.#now - (vm * LIST_LAG_MS) / WORLD_VMS;
    const vms = this.#nodes.flatMap(({ location }, other) => {
      const state = this.#schedule.getListed(other, asOf);
      return state === undefined ? [] : [{ ...location, state }];
    });
    node.table.applyList(vms, this.#now, { asOf });
  }

  #sendGossip(vm: number): void {
    const node = this.#nodes[vm] as SimulatedNode;
    this.#nodes.forEach((other, otherVm) => {
      if (otherVm === vm || other.isDead) return;
      if (this.#schedule.isPathCut(vm, otherVm, this.#now)) return;
      const request = this.#buildRequest(node);
      if (this.#isControlFrozen(otherVm)) {
        other.inbox.push(request);
        return;
      }
      this.#applyRequest(other, request);
      this.#applyRequest(node, this.#buildRequest(other), this.#now);
    });
  }

  #buildRequest(node: SimulatedNode): GossipRequest {
    const { vmId, zone, site } = node.location;
    const instance = `${vmId}/control#${node.incarnation}`;
    return {
      identity: { process: "control", vmId, zone, site, instance, rpc: "" },
      members: node.table.getGossip(this.#now),
    };
  }

  #applyRequest(
    receiver: SimulatedNode,
    request: GossipRequest,
    callSentAt?: number,
  ): void {
    const { identity, members } = request;
    const ignoresRelays = this.#mutant === "without_relay";
    const from = ignoresRelays ? undefined : identity.vmId;
    receiver.table.recordContact(identity, this.#now, { callSentAt });
    receiver.table.applyGossip(members, this.#now, { from });
  }
}
