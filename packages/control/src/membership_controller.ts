/**
 * Tracks which VMs are live, from the platform's VM list and gossip between
 * controls.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as membership from "@sardinestep/membership";
import type * as ports from "@sardinestep/ports";
import type * as rpc from "@sardinestep/rpc";
import type { Address, InstanceId, MemberFacts } from "@sardinestep/types";

/** A view based on an older VM list is not fresh. */
const VM_LIST_FRESH_MS = 30_000;
const VM_LIST_TIMEOUT_MS = 2_000;
const GOSSIP_TIMEOUT_MS = 1_000;
/**
 * Maximum number of controls per gossip round: all of them at the present number
 * of VMs, a random subset beyond it, so that messages per VM do not grow with
 * that number.
 */
const GOSSIP_FANOUT = 20;

/** Settings and dependencies of a {@link MembershipController}. */
export interface MembershipControllerOptions {
  readonly self: membership.MemberLocation;
  readonly identity: rpc.Identity;
  readonly vmList: ports.VmListPort;
  readonly vmListIntervalMs: number;
  readonly gossipIntervalMs: number;
  /** Controls from the settings, known before the first VM list. */
  readonly neighbours: readonly Address[];
  readonly peers: rpc.PeerConnections;
  readonly drawRandom: () => number;
  readonly logger: logger.Logger;
  /** Builds the gossip fields other than the sender and the members. */
  readonly buildGossipState: () => Pick<
    rpc.GossipMessage,
    "configVersion" | "isJudging" | "endpoints" | "demands"
  >;
  /** Called with the reply of another control to gossip. */
  readonly onGossipReply: (reply: rpc.GossipReply) => void;
  /** Called with each VM list and the time at which it was requested. */
  readonly onVmList: (list: ports.VmList, requestedAt: number) => void;
  /** Called after every gossip round. */
  readonly onGossipRound: () => void;
}

/** Maintains the member table of the VMs. */
export class MembershipController {
  readonly #options: MembershipControllerOptions;
  readonly #table: membership.MemberTable;
  readonly #pauseDetector = new membership.PauseDetector({
    maxGapMs: membership.VIEW_FRESH_MS,
  });
  readonly #timers: NodeJS.Timeout[] = [];
  #isVmListReachable = true;

  constructor(options: MembershipControllerOptions) {
    this.#options = options;
    this.#table = new membership.MemberTable({
      self: options.self,
      silentAfterMs: membership.SILENT_AFTER_MS,
      viewFreshMs: membership.VIEW_FRESH_MS,
      listFreshMs: VM_LIST_FRESH_MS,
    });
  }

  /** Starts reading the VM list and gossiping. */
  start(): void {
    const { vmListIntervalMs, gossipIntervalMs } = this.#options;
    void this.#readVmList();
    void this.#gossip();
    this.#timers.push(
      setInterval(() => void this.#readVmList(), vmListIntervalMs),
      setInterval(() => void this.#gossip(), gossipIntervalMs),
    );
  }

  /** Stops reading the VM list and gossiping. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
  }

  /** Returns all known VMs. */
  getMembers(): MemberFacts[] {
    return this.#table.getMembers(performance.now());
  }

  /** Returns the member facts to send to other controls. */
  getGossip(): MemberFacts[] {
    return this.#table.getGossip(performance.now());
  }

  /** Whether the view is fresh enough for decisions on which VMs must agree. */
  isViewFresh(): boolean {
    const now = performance.now();
    // Detects a pause of this process even if no timer has run since it
    // resumed.
    if (this.#pauseDetector.check(now)) this.#table.handlePause();
    return this.#table.isViewFresh(now);
  }

  /** Sets which entry process of this VM is connected, if any. */
  setLocalEntry(instance: InstanceId | undefined): void {
    this.#table.setLocalEntry(instance, performance.now());
  }

  /**
   * Records contact with a connected entry, of this VM or of one whose control is
   * gone.
   */
  recordEntryContact(identity: rpc.Identity): void {
    this.#table.recordContact(identity, performance.now());
  }

  /** Marks this VM as leaving. */
  markLocalVmLeaving(): void {
    this.#table.markLeaving(this.#options.self.vmId, performance.now());
  }

  /** Merges the members that another control sent. */
  applyGossip(message: rpc.GossipMessage): void {
    const now = performance.now();
    this.#table.recordContact(message.identity, now);
    const from = message.identity.vmId;
    this.#table.applyGossip(message.members, now, { from });
  }

  /** Gossips at once, for changes that must spread within seconds. */
  gossipNow(): void {
    void this.#gossip();
  }

  async #readVmList(): Promise<void> {
    const requestedAt = performance.now();
    const list = await this.#options.vmList.read(VM_LIST_TIMEOUT_MS);
    this.#handleVmListReachability(list.isOk());
    if (list.isErr()) return;
    const { vms, asOf } = list.value;
    this.#table.applyList(vms, requestedAt, { asOf });
    this.#options.onVmList(list.value, requestedAt);
  }

  #handleVmListReachability(isReachable: boolean): void {
    if (isReachable === this.#isVmListReachable) return;
    this.#isVmListReachable = isReachable;
    const state = isReachable
      ? "is reachable again"
      : "is unreachable; the last list stays in use";
    this.#options.logger.info("vm_list", `The VM list ${state}`);
  }

  async #gossip(): Promise<void> {
    this.isViewFresh();
    const addresses = this.#pickGossipTargets();
    await Promise.all(addresses.map((address) => this.#gossipTo(address)));
    this.#options.onGossipRound();
  }

  #pickGossipTargets(): Address[] {
    const { self, neighbours, drawRandom } = this.#options;
    const memberAddresses = this.getMembers().map((member) =>
      member.controlRpc
    );
    const all = [...new Set([...memberAddresses, ...neighbours])].filter((
      address,
    ) => address !== "" && address !== self.controlRpc);
    if (all.length <= GOSSIP_FANOUT) return all;
    const start = Math.floor(drawRandom() * all.length);
    return [...all, ...all].slice(start, start + GOSSIP_FANOUT);
  }

  async #gossipTo(address: Address): Promise<void> {
    const callSentAt = performance.now();
    const message: rpc.GossipMessage = {
      identity: this.#options.identity,
      members: this.getGossip(),
      ...this.#options.buildGossipState(),
    };
    const response = await this.#options.peers.call(
      address,
      "gossip",
      message,
      {
        timeoutMs: GOSSIP_TIMEOUT_MS,
      },
    );
    if (response.isErr()) return;
    const reply = response.value;
    const now = performance.now();
    this.#table.recordContact(reply.identity, now, { callSentAt });
    this.#table.applyGossip(reply.members, now, { from: reply.identity.vmId });
    this.#options.onGossipReply(reply);
  }
}
