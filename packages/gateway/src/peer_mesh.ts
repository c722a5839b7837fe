/**
 * Exchange of views with other VMs: which are alive and what state they have.
 *
 * @module
 */
import * as endpointSpeed from "@sardinestep/endpoint_speed";
import type * as logger from "@sardinestep/logger";
import * as rpc from "@sardinestep/rpc";
import * as serving from "@sardinestep/serving";
import type { Address } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import {
  LeaderTable,
  type LeaderTableOptions,
  STARTUP_DISCOVERY_MS,
} from "./leader_table.ts";
import type { Rollouts } from "./rollouts.ts";
import type { RelayPeer } from "./endpoint_reach.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { SiteState } from "./site_state.ts";
import { planSpeedSharing, type SpeedSharing } from "./speed_sharing.ts";

/** Interval of view exchanges with leader candidates, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 250;
/** How often a starting VM checks for its first known members, in milliseconds. */
const DISCOVERY_POLL_MS = 25;
/** Age from which a view no longer proves that its VM is alive, in ms. */
const VIEW_MAX_AGE_MS = 900;
/** Age from which a view no longer shows whether its VM may relay, in ms. */
const RELAY_VIEW_MAX_AGE_MS = 5_000;
/** Timeout of one exchange with another VM, in milliseconds. */
const EXCHANGE_TIMEOUT_MS = 600;
/** Timeout of the connection handshake with another VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** Live candidates to exchange views with: the leader and its successor. */
const LIVE_CANDIDATES = 2;
/**
 * Rounds between two exchanges with a random VM. In a large site, updates reach
 * every VM this way without permanent connections.
 */
const RANDOM_EXCHANGE_ROUNDS = 8;

type ExchangeCall = typeof rpc.callOnce<"exchangeViews">;

interface PeerView {
  readonly view: serving.MemberView;
  readonly receivedAt: number;
}

/** Dependencies of a {@link PeerMesh}. */
export interface PeerMeshOptions {
  readonly member: serving.ServingMember;
  /** Possible members, for a start while the registry is unreachable. */
  readonly seeds: readonly Address[];
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly getRegistryIntervals: () => serving.RegistryIntervals;
  readonly getLoads: () => readonly serving.ShardLoad[];
  /** Load of a shard that this VM leads. */
  readonly getOwnLoad: LeaderTableOptions["getOwnLoad"];
  readonly rollouts: Rollouts;
  readonly quarantine: RequestQuarantine;
  readonly endpointTracker: EndpointTracker;
  /** Whether this VM lost its links to several endpoints. */
  readonly isCutOff: () => boolean;
}

/** Exchanges views with other VMs. */
export class PeerMesh {
  /** Leaders of all shards. */
  readonly leaders: LeaderTable;
  readonly #options: PeerMeshOptions;
  readonly #peers: rpc.PeerConnections;
  readonly #views = new Map<string, PeerView>();
  #isLeaving = false;
  #timer: NodeJS.Timeout | undefined;
  #discoveryTimer: NodeJS.Timeout | undefined;
  #startedAt = 0;
  #isFetchingUpdate = false;
  #seedIndex = 0;
  #round = 0;

  /** @param options This VM and its state. */
  constructor(options: PeerMeshOptions) {
    this.#options = options;
    this.#peers = new rpc.PeerConnections({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      pingIntervalMs: EXCHANGE_INTERVAL_MS * 2,
      silenceTimeoutMs: VIEW_MAX_AGE_MS,
    });
    this.leaders = new LeaderTable({
      member: options.member,
      site: options.site,
      events: options.events,
      isAlive: (vmId) => this.#isAlive(vmId),
      getOwnLoad: options.getOwnLoad,
    });
  }

  /** This VM as it is announced to the others. */
  get member(): serving.ServingMember {
    return this.#options.member;
  }

  /** Connections to other VMs. */
  get peers(): rpc.PeerConnections {
    return this.#peers;
  }

  /** Starts the periodic exchange of views. */
  start(): void {
    this.#timer = setInterval(() => this.#exchangeAll(), EXCHANGE_INTERVAL_MS);
    this.#startedAt = performance.now();
    this.#exchangeAll();
    this.#discoveryTimer = setInterval(
      () => this.#startFirstExchange(),
      DISCOVERY_POLL_MS,
    );
  }

  /** Starts a round at once, for updates that can't wait for the next one. */
  exchangeNow(): void {
    // Deferred, so that a view that is being merged is complete when passed on.
    setImmediate(() => this.#exchangeAll());
  }

  /**
   * Announces to the others that this VM accepts no new work.
   *
   * @param addresses RPC addresses of members that must know at once; the others learn
   * it from the next exchanges.
   * @returns Settles when each of them has answered or has not in time.
   */
  async setLeaving(addresses: ReadonlySet<Address>): Promise<void> {
    this.#isLeaving = true;
    const view = this.#buildView([]);
    await Promise.all(
      this.#options.site.members
        .filter((member) => addresses.has(member.rpc))
        .map((member) =>
          this.#exchange(member.rpc, view, rpc.callOnce<"exchangeViews">)
        ),
    );
  }

  /** Whether another VM has announced that it accepts no new work. */
  isLeaving(vmId: string): boolean {
    return this.#views.get(vmId)?.view.isLeaving ?? false;
  }

  /** Stops the exchanges and closes all connections. */
  close(): void {
    clearInterval(this.#timer);
    clearInterval(this.#discoveryTimer);
    this.#peers.close();
  }

  /** Records the view of a calling VM; returns this VM's view and updates. */
  handleExchange(view: serving.MemberView): serving.ExchangeReply {
    const { site, member } = this.#options;
    this.#recordView(view);
    const { speeds } = this.#options.endpointTracker;
    if (this.#needsUpdate(view)) void this.#fetchUpdate(view.member.rpc);
    const isSameZone = view.member.zone === member.zone;
    return {
      view: {
        ...this.#buildView(
          isSameZone ? this.leaders.getDirectLoads() : [],
          view.isStarting,
        ),
        hostSpeeds: view.hostSpeeds &&
          speeds.getShared(endpointSpeed.SHARE_SOURCE.all),
      },
      news: site.getUpdateSince(view),
    };
  }

  /**
   * Other VMs that may relay connections. On large sites a VM has views of a few; one
   * without a view is included, since an attempt to connect shows whether it is alive.
   */
  getRelayPeers(): RelayPeer[] {
    const { site, member } = this.#options;
    const now = performance.now();
    return site.members.flatMap((peer) => {
      if (peer.vmId === member.vmId) return [];
      const known = this.#views.get(peer.vmId);
      const isRecent = known !== undefined &&
        now - known.receivedAt < RELAY_VIEW_MAX_AGE_MS;
      if (!isRecent) return [{ member: peer, isCutOff: false }];
      const { isLeaving, isCutOff = false } = known.view;
      return isLeaving ? [] : [{ member: peer, isCutOff }];
    });
  }

  /** Number of VMs that may send requests, alive or not, with this one. */
  countSenders(): number {
    const { site, member } = this.#options;
    return site.countSenders(member.vmId);
  }

  /** Whether this VM should read the registry itself now. */
  mayReadRegistry(): boolean {
    const { site, member } = this.#options;
    const readers = this.leaders.getRegistryReaders();
    const ownIndex = readers.findIndex((reader) => reader.vmId === member.vmId);
    const preferred = ownIndex === -1 ? [] : readers.slice(0, ownIndex);
    const rank =
      preferred.filter((reader) => this.#isReadingRegistry(reader.vmId)).length;
    const ageMs = performance.now() - site.syncedAt;
    return serving.mayReadRegistry(
      { rank, ageMs },
      this.#options.getRegistryIntervals(),
    );
  }

  get #isStarting(): boolean {
    return performance.now() - this.#startedAt < STARTUP_DISCOVERY_MS;
  }

  /**
   * @param heard Loads of other zones' leaders that the view passes on.
   * @param isForStart Whether it goes to a VM that has just started.
   */
  #buildView(
    heard: readonly serving.RelayedLoad[],
    isForStart = false,
  ): serving.MemberView {
    const { member, site, getLoads, rollouts, quarantine, endpointTracker } =
      this.#options;
    const ageMs = performance.now() - site.syncedAt;
    return {
      ...site.positions,
      member,
      isLeaving: this.#isLeaving,
      factsAgeMs: Number.isFinite(ageMs)
        ? Math.round(ageMs)
        : NEVER_SYNCED_AGE_MS,
      loads: getLoads(),
      heard,
      rollouts: rollouts.getUpdates(),
      crashes: quarantine.getUpdates(),
      limits: endpointTracker.limits.getUpdates({ isForStart }),
      configurationVersion: site.table?.version,
      leaving: site.leaving.getUpdates(performance.now(), { isForStart }),
      departed: isForStart
        ? site.departed.getUpdates(performance.now())
        : undefined,
      isStarting: this.#isStarting ? true : undefined,
      isCutOff: this.#options.isCutOff() ? true : undefined,
    };
  }

  #isAlive(vmId: string): boolean {
    if (vmId === this.#options.member.vmId) return !this.#isLeaving;
    const known = this.#views.get(vmId);
    if (known === undefined || known.view.isLeaving) return false;
    return performance.now() - known.receivedAt < VIEW_MAX_AGE_MS;
  }

  #isReadingRegistry(vmId: string): boolean {
    const known = this.#views.get(vmId);
    if (known === undefined || !this.#isAlive(vmId)) return false;
    return known.view.factsAgeMs < this.#options.getRegistryIntervals().staleMs;
  }

  /**
   * Starts the first exchange as soon as a member is known, before the next round.
   * A VM that is still alone after {@link STARTUP_DISCOVERY_MS} stops checking; its
   * rounds find members later.
   */
  #startFirstExchange(): void {
    const { site, member } = this.#options;
    const isAlone = site.members.every((known) => known.vmId === member.vmId);
    if (isAlone && this.#isStarting) return;
    clearInterval(this.#discoveryTimer);
    if (!isAlone) this.#exchangeAll();
  }

  #exchangeAll(): void {
    this.#round += 1;
    // One view per round: for each view a leader scans all its queues.
    const view = this.#buildView([]);
    const speeds = this.#planSpeedSharing();
    for (const address of this.#planExchanges()) {
      const isShared = speeds?.peers.has(address);
      const hostSpeeds = isShared ? speeds?.hostSpeeds : undefined;
      void this.#exchange(address, { ...view, hostSpeeds });
    }
    const random = this.#pickRandomPeer();
    if (random === undefined) return;
    void this.#exchange(random, view, rpc.callOnce<"exchangeViews">);
  }

  #planSpeedSharing(): SpeedSharing | undefined {
    const { site, member, endpointTracker } = this.#options;
    return planSpeedSharing({
      member,
      members: site.members.length,
      services: [...site.table?.services.values() ?? []],
      leaders: this.leaders,
      isAlive: (vmId) => this.#isAlive(vmId),
      speeds: endpointTracker.speeds,
    });
  }

  #planExchanges(): ReadonlySet<Address> {
    const { site, member, seeds } = this.#options;
    const addresses = new Set<Address>();
    const add = (members: readonly serving.ServingMember[]) => {
      for (const candidate of members) addresses.add(candidate.rpc);
    };
    add(this.#pickLiveCandidates(this.leaders.getRegistryReaders()));
    const pools = [...site.table?.services.values() ?? []]
      .filter((service) => service.pool !== undefined);
    const ownShard = this.leaders.getShard(member.zone);
    for (const { name } of pools) {
      const candidates = this.#pickLiveCandidates(
        this.leaders.getRanking(name, ownShard),
      );
      add(candidates);
      const isCandidate = candidates.some((candidate) =>
        candidate.vmId === member.vmId
      );
      if (!isCandidate || ownShard === serving.WHOLE_POOL) continue;
      for (const zone of this.leaders.zones) {
        add(this.#pickLiveCandidates(this.leaders.getRanking(name, zone)));
      }
    }
    if (site.members.every((known) => known.vmId === member.vmId)) {
      this.#seedIndex = (this.#seedIndex + 1) % Math.max(1, seeds.length);
      addresses.add(seeds[this.#seedIndex] ?? member.rpc);
    }
    addresses.delete(member.rpc);
    return addresses;
  }

  /** The head of a ranking, up to its second live member. */
  #pickLiveCandidates(
    ranking: readonly serving.ServingMember[],
  ): readonly serving.ServingMember[] {
    const picked: serving.ServingMember[] = [];
    let liveCount = 0;
    for (const candidate of ranking.slice(0, serving.LEADER_CANDIDATES)) {
      picked.push(candidate);
      if (this.#isAlive(candidate.vmId)) liveCount += 1;
      if (liveCount === LIVE_CANDIDATES) break;
    }
    return picked;
  }

  #pickRandomPeer(): Address | undefined {
    const { site, member } = this.#options;
    const isDue = this.#round % RANDOM_EXCHANGE_ROUNDS === 0;
    if (!isDue) return undefined;
    const others = site.members.filter((known) => known.vmId !== member.vmId);
    return others[Math.floor(Math.random() * others.length)]?.rpc;
  }

  async #exchange(
    address: Address,
    view: serving.MemberView,
    call: ExchangeCall = (...params) => this.#peers.call(...params),
  ): Promise<void> {
    const sentAt = performance.now();
    const answer = await call(address, "exchangeViews", view, {
      timeoutMs: EXCHANGE_TIMEOUT_MS,
    });
    if (answer.isOk()) this.#handleAnswer(answer.value, sentAt);
  }

  /**
   * Merges a peer's state. Its reported age is counted from the time at which the
   * call was sent, so that the state never appears newer than it is.
   */
  #handleAnswer(answer: serving.ExchangeReply, sentAt: number): void {
    const { site } = this.#options;
    const { view, news } = answer;
    this.#recordView(view, sentAt);
    const syncedAt = sentAt - view.factsAgeMs;
    if (news !== undefined) site.mergeUpdate(news, syncedAt);
    if (!serving.isNewer(view, site.positions)) site.recordSynced(syncedAt);
  }

  /**
   * @param view A view of another VM.
   * @param builtAt Earliest time at which it may have been built; a view that a peer
   * sent by itself is taken as built when it arrives.
   */
  #recordView(view: serving.MemberView, builtAt = performance.now()): void {
    const { site, member, events, rollouts, quarantine, endpointTracker } =
      this.#options;
    if (view.member.vmId === member.vmId) return;
    rollouts.mergeUpdates(view.rollouts ?? []);
    quarantine.mergeUpdates(view.crashes ?? []);
    endpointTracker.limits.mergeUpdates(view.limits ?? []);
    endpointTracker.speeds.recordShared(view.hostSpeeds ?? [], builtAt);
    for (const leaving of view.leaving ?? []) {
      site.recordLeaving(leaving, "peer");
    }
    site.departed.mergeUpdates(view.departed ?? [], performance.now());
    if (view.isLeaving) this.#recordLeaving(view.member.vmId);
    else site.updateMember(view.member);
    const previous = this.#views.get(view.member.vmId);
    if (previous?.view.isLeaving !== view.isLeaving) {
      events.write(EVENT.memberChanged, {
        vmId: view.member.vmId,
        kind: view.isLeaving ? "leaving" : "alive",
      });
    }
    const receivedAt = performance.now();
    this.#views.set(view.member.vmId, { view, receivedAt });
    this.leaders.recordLoads(view, receivedAt);
  }

  /** A VM that starts may learn of a stop after the record is gone. */
  #recordLeaving(vmId: string): void {
    const { site } = this.#options;
    const isMember = site.members.some((known) => known.vmId === vmId);
    if (isMember) return;
    site.departed.mergeUpdates([{ vmId, ageMs: 0 }], performance.now());
  }

  /**
   * Whether a calling VM has state that this VM would not read itself soon.
   * Endpoints write all the time, so being a few of their records behind is normal.
   */
  #needsUpdate(view: serving.MemberView): boolean {
    const { site, getRegistryIntervals } = this.#options;
    const ownPositions = site.positions;
    const isStale =
      performance.now() - site.syncedAt > getRegistryIntervals().staleMs;
    const ownVersion = site.table?.version ?? Infinity;
    const hasOlderConfiguration =
      (view.configurationVersion ?? -Infinity) > ownVersion;
    return hasOlderConfiguration ||
      view.operatorPosition > ownPositions.operatorPosition ||
      view.memberPosition > ownPositions.memberPosition ||
      view.quarantinePosition > ownPositions.quarantinePosition ||
      (isStale && view.endpointPosition > ownPositions.endpointPosition);
  }

  async #fetchUpdate(address: Address): Promise<void> {
    if (this.#isFetchingUpdate) return;
    this.#isFetchingUpdate = true;
    await this.#exchange(address, this.#buildView([]));
    this.#isFetchingUpdate = false;
  }
}

/** Reported age of a state that was never in sync with the registry, in ms. */
const NEVER_SYNCED_AGE_MS = 1e9;
