/**
 * Which VMs live, what they know and which one leads each pool.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import * as rpc from "@sardinestep/rpc";
import * as serving from "@sardinestep/serving";
import type { Address, ServiceId } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import type { SiteState } from "./site_state.ts";

/** How often views are exchanged with possible leaders, in milliseconds. */
const EXCHANGE_MS = 250;
/** A view older than this no longer shows that its VM lives, in milliseconds. */
const VIEW_MAX_AGE_MS = 900;
/** Longest wait for one answer of another VM, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 600;
/** Longest handshake with another VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** Other VMs asked beside possible leaders in each round, to spread news. */
const RANDOM_PEERS = 1;

interface PeerView {
  readonly view: serving.MemberView;
  readonly heardAt: number;
}

/** What {@link PeerMesh} needs. */
export interface PeerMeshOptions {
  readonly member: serving.ServingMember;
  /** Addresses that may be members, for a start while the registry is away. */
  readonly seeds: readonly Address[];
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly getLoads: () => Record<ServiceId, serving.PoolLoad>;
}

/** Exchanges views with other VMs. */
export class PeerMesh {
  readonly #options: PeerMeshOptions;
  readonly #peers: rpc.Peers;
  readonly #views = new Map<string, PeerView>();
  readonly #leaders = new Map<ServiceId, string>();
  #isLeaving = false;
  #timer: NodeJS.Timeout | undefined;
  #isFetching = false;
  #seedIndex = 0;

  /** @param options This VM and what it knows. */
  constructor(options: PeerMeshOptions) {
    this.#options = options;
    this.#peers = new rpc.Peers({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      pingIntervalMs: EXCHANGE_MS * 2,
      silentAfterMs: VIEW_MAX_AGE_MS,
    });
  }

  /** Connections to other VMs. */
  get peers(): rpc.Peers {
    return this.#peers;
  }

  /** Begins to exchange views. */
  start(): void {
    this.#timer = setInterval(() => this.#exchangeAll(), EXCHANGE_MS);
    this.#exchangeAll();
  }

  /** Tells the others that this VM takes no new work. */
  setLeaving(): void {
    this.#isLeaving = true;
  }

  /** Ends all connections. */
  close(): void {
    clearInterval(this.#timer);
    this.#peers.close();
  }

  /** What this VM tells of itself. */
  getView(): serving.MemberView {
    const { member, site, getLoads } = this.#options;
    return {
      member,
      isLeaving: this.#isLeaving,
      operatorPosition: site.operatorPosition,
      endpointPosition: site.endpointPosition,
      loads: getLoads(),
    };
  }

  /** Takes the view of a VM that called over; gives the own one. */
  handleExchange(view: serving.MemberView): serving.MemberView {
    this.#recordView(view);
    return this.getView();
  }

  /**
   * Gives the VM that leads a pool, as far as this one knows.
   *
   * @param service The pool.
   * @param failed VMs that have just failed the caller.
   * @returns The member; this VM itself when no candidate is alive.
   */
  pickLeader(
    service: ServiceId,
    failed: ReadonlySet<string> = new Set(),
  ): serving.ServingMember {
    const { member } = this.#options;
    const leader =
      this.#planLeaders(service).find((one) =>
        !failed.has(one.vmId) && this.#mayLead(one.vmId)
      ) ?? member;
    const before = this.#leaders.get(service);
    if (before !== leader.vmId) {
      this.#leaders.set(service, leader.vmId);
      const { events } = this.#options;
      events.write(EVENT.leaderChanged, {
        service,
        leader: leader.vmId,
        before,
      });
    }
    return leader;
  }

  /** Load of a pool as its leader told it, if that is fresh. */
  getLoad(service: ServiceId): serving.PoolLoad | undefined {
    const leader = this.pickLeader(service);
    if (leader.vmId === this.#options.member.vmId) {
      return this.#options.getLoads()[service];
    }
    const known = this.#views.get(leader.vmId);
    return known?.view.loads[service];
  }

  /** Members, counted high: all that are known, alive or not. */
  countMembers(): number {
    return Math.max(1, this.#options.site.members.length);
  }

  #planLeaders(service: ServiceId): serving.ServingMember[] {
    return serving.planLeaders(service, this.#options.site.members);
  }

  #mayLead(vmId: string): boolean {
    if (vmId === this.#options.member.vmId) return !this.#isLeaving;
    const known = this.#views.get(vmId);
    if (known === undefined || known.view.isLeaving) return false;
    return performance.now() - known.heardAt < VIEW_MAX_AGE_MS;
  }

  #exchangeAll(): void {
    for (const address of this.#planExchanges()) void this.#exchange(address);
  }

  #planExchanges(): ReadonlySet<Address> {
    const { site, member, seeds } = this.#options;
    const others = site.members.filter((one) => one.vmId !== member.vmId);
    const addresses = new Set<Address>();
    for (const service of site.table?.services.values() ?? []) {
      if (service.pool === undefined) continue;
      for (const one of this.#planLeaders(service.name)) {
        if (one.vmId !== member.vmId) addresses.add(one.rpc);
      }
    }
    for (let i = 0; i < RANDOM_PEERS && others.length > 0; i++) {
      const other = others[Math.floor(Math.random() * others.length)]!;
      addresses.add(other.rpc);
    }
    if (others.length === 0 && seeds.length > 0) {
      this.#seedIndex = (this.#seedIndex + 1) % seeds.length;
      const seed = seeds[this.#seedIndex]!;
      if (seed !== member.rpc) addresses.add(seed);
    }
    return addresses;
  }

  async #exchange(address: Address): Promise<void> {
    const answer = await this.#peers.call(
      address,
      "exchangeViews",
      this.getView(),
      { timeoutMs: EXCHANGE_TIMEOUT_MS },
    );
    if (answer.isErr()) return;
    this.#recordView(answer.value);
    await this.#fetchNews(answer.value);
  }

  #recordView(view: serving.MemberView): void {
    const { site, member, events } = this.#options;
    if (view.member.vmId === member.vmId) return;
    if (!view.isLeaving) site.updateMember(view.member);
    const before = this.#views.get(view.member.vmId);
    if (before?.view.isLeaving !== view.isLeaving) {
      events.write(EVENT.memberChanged, {
        vmId: view.member.vmId,
        kind: view.isLeaving ? "leaving" : "alive",
      });
    }
    this.#views.set(view.member.vmId, { view, heardAt: performance.now() });
  }

  /** Asks for facts that the other VM has and this one doesn't. */
  async #fetchNews(view: serving.MemberView): Promise<void> {
    const { site } = this.#options;
    const isNewer = view.operatorPosition > site.operatorPosition ||
      (!site.isComplete && view.endpointPosition >= 0) ||
      view.endpointPosition > site.endpointPosition + STALE_ENDPOINT_RECORDS;
    if (!isNewer || this.#isFetching) return;
    this.#isFetching = true;
    const facts = await this.#peers.call(
      view.member.rpc,
      "getSiteFacts",
      {},
      { timeoutMs: EXCHANGE_TIMEOUT_MS },
    );
    this.#isFetching = false;
    if (facts.isOk()) site.mergeFacts(facts.value);
  }
}

/**
 * Records of endpoints by which this VM must be behind before it asks another
 * one: some forty a second come on a small deployment, and each VM reads them
 * from the registry within a second.
 */
const STALE_ENDPOINT_RECORDS = 60;
