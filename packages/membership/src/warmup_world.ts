/**
 * A simulation of many entries around cold endpoints, for property tests and
 * for `npm run prove`. It is part of no program.
 *
 * Nine VMs in three zones, each with the table of its control and the guard of
 * its entry. Every entry always sends as many calls as its guard allows; a call
 * runs on after its entry has died or is frozen.
 *
 * @module
 */
import type {
  EndpointFacts,
  EndpointId,
  MemberFacts,
} from "@sardinestep/types";
import type { HeardIdentity, MemberPlace } from "./member_row.ts";
import { MemberTable } from "./member_table.ts";
import { buildQuarantineMs } from "./warmer.ts";
import {
  FaultSchedule,
  type TimedFault,
  WORLD_VMS,
  WORLD_ZONES,
} from "./warmup_faults.ts";
import { WarmupGuard } from "./warmup_guard.ts";

/** How long a simulation runs, in its own milliseconds. */
export const WORLD_RUN_MS = 45_000;
/** What each endpoint bears; it never gets warm. */
export const WORLD_COLD_CONCURRENCY = 2;
/** The endpoints, which are all cold. */
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
const QUARANTINE_MS = buildQuarantineMs({
  listLagMs: LIST_LAG_MS + LIST_FRESH_MS,
  silentAfterMs: SILENT_AFTER_MS,
  viewFreshMs: VIEW_FRESH_MS,
  longestCallMs: LONGEST_CALL_MS,
});

/** One guard left out, to show what it prevents. */
export type WorldMutant =
  /** A new warmer does not wait. */
  | "without_quarantine"
  /** A VM that is cut off takes its view for fresh. */
  | "without_majority"
  /** What other VMs hear does not count. */
  | "without_relay";

/** What a simulation has shown. */
export interface WorldOutcome {
  /** The most calls that one endpoint had at once, from all entries. */
  readonly maxRunning: number;
  readonly callsStarted: number;
}

/**
 * Runs a simulation.
 *
 * @param faults What goes wrong, and when.
 * @param mutant A guard to leave out.
 * @returns Whether endpoints were overrun, and that they were used at all.
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

interface Node {
  readonly place: MemberPlace;
  readonly run: number;
  isDead: boolean;
  readonly table: MemberTable;
  readonly guard: WarmupGuard;
  /** Requests that arrived while the control was frozen. */
  inbox: GossipRequest[];
  /** What control answers to the entry; read in the next step. */
  answer?: { members: MemberFacts[]; viewAt: number | undefined };
}

interface GossipRequest {
  readonly identity: HeardIdentity;
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
  readonly #nodes: Node[];
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
    for (const place of restarts) this.#restartEndpoint(place);
    this.#calls = this.#calls.filter((call) => call.endAt > this.#now);
    this.#nodes.forEach((_, vm) => this.#updateProcess(vm));
    // Entries act first: a frozen one that wakes up has read nothing yet.
    this.#nodes.forEach((node, vm) => this.#runEntry(node, vm));
    this.#nodes.forEach((node, vm) => this.#runControl(node, vm));
  }

  #createNode(vm: number, run: number): Node {
    const vmId = `vm-${vm}`;
    const zone = `zone-${vm % WORLD_ZONES}`;
    const place = { vmId, zone, site: "s", entryRpc: "", controlRpc: "" };
    const isHasty = this.#mutant === "without_quarantine";
    const table = new MemberTable({
      self: place,
      silentAfterMs: SILENT_AFTER_MS,
      viewFreshMs: VIEW_FRESH_MS,
      listFreshMs: LIST_FRESH_MS,
    });
    const guard = new WarmupGuard({
      vmId,
      quarantineMs: isHasty ? 0 : QUARANTINE_MS,
      viewFreshMs: VIEW_FRESH_MS,
    });
    table.setOwnEntry(`${vmId}#${run}`, this.#now);
    return { place, run, isDead: false, table, guard, inbox: [] };
  }

  #updateProcess(vm: number): void {
    const node = this.#nodes[vm] as Node;
    const isDead = this.#schedule.isDead(vm, this.#now);
    const isBack = node.isDead && !isDead;
    const isReplaced = this.#schedule.isReplaced(vm, this.#now, STEP_MS);
    if (isBack || isReplaced) {
      this.#nodes[vm] = this.#createNode(vm, node.run + 1);
    }
    (this.#nodes[vm] as Node).isDead = isDead;
  }

  #restartEndpoint(place: number): void {
    const id = WORLD_ENDPOINTS[place] as EndpointId;
    this.#endpointRuns.set(id, (this.#endpointRuns.get(id) ?? 0) + 1);
    this.#calls = this.#calls.filter((call) => call.endpoint !== id);
  }

  #runEntry(node: Node, vm: number): void {
    if (node.isDead) return;
    if (this.#schedule.hasFault(vm, this.#now, ["frozen", "entry_frozen"])) {
      return;
    }
    for (const id of WORLD_ENDPOINTS) this.#sendCalls(node, vm, id);
    if (node.answer !== undefined) {
      node.guard.applyView(node.answer, this.#now);
      node.answer = undefined;
    }
    for (const id of WORLD_ENDPOINTS) {
      node.guard.applyEndpoint(this.#buildFacts(id), this.#now);
    }
  }

  #sendCalls(node: Node, vm: number, endpoint: EndpointId): void {
    const slice = node.guard.getSlice(endpoint, this.#now);
    const isOwn = (call: RunningCall) =>
      call.endpoint === endpoint && call.vm === vm;
    const free = slice - this.#calls.filter(isOwn).length;
    for (let count = 0; count < free; count += 1) {
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

  #runControl(node: Node, vm: number): void {
    if (node.isDead || this.#isControlFrozen(vm)) return;
    for (const request of node.inbox) this.#applyRequest(node, request);
    node.inbox = [];
    if (this.#now % LIST_READ_MS === 0) this.#readList(node, vm);
    if ((this.#now + vm * STEP_MS) % GOSSIP_MS === 0) this.#sendGossip(vm);
    const isFresh = this.#mutant === "without_majority" ||
      node.table.isViewFresh(this.#now);
    const members = node.table.getMembers(this.#now);
    node.answer = { members, viewAt: isFresh ? this.#now : undefined };
  }

  #isControlFrozen(vm: number): boolean {
    return this.#schedule.hasFault(vm, this.#now, ["frozen", "control_frozen"]);
  }

  /** Every VM sees the list of another moment in the past. */
  #readList(node: Node, vm: number): void {
    if (this.#schedule.hasFault(vm, this.#now, ["list_stalled"])) return;
    const asOf = this.#now - (vm * LIST_LAG_MS) / WORLD_VMS;
    const vms = this.#nodes.flatMap(({ place }, other) => {
      const state = this.#schedule.getListed(other, asOf);
      return state === undefined ? [] : [{ ...place, state }];
    });
    node.table.applyList(vms, this.#now, { asOf });
  }

  #sendGossip(vm: number): void {
    const node = this.#nodes[vm] as Node;
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

  #buildRequest(node: Node): GossipRequest {
    const { vmId, zone, site } = node.place;
    const instance = `${vmId}/control#${node.run}`;
    return {
      identity: { process: "control", vmId, zone, site, instance, rpc: "" },
      members: node.table.getGossip(this.#now),
    };
  }

  #applyRequest(to: Node, request: GossipRequest, askedAt?: number): void {
    const { identity, members } = request;
    const isDeaf = this.#mutant === "without_relay";
    const from = isDeaf ? undefined : identity.vmId;
    to.table.applyHeard(identity, this.#now, { askedAt });
    to.table.applyGossip(members, this.#now, { from });
  }
}
