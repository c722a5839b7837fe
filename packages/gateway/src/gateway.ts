/**
 * The gateway process of one VM: all its components share one event loop.
 *
 * @module
 */
import type * as callerConnections from "@sardinestep/caller_connections";
import type * as endpointPaths from "@sardinestep/endpoint_paths";
import * as forecast from "@sardinestep/forecast";
import * as limitLoans from "@sardinestep/limit_loans";
import type * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as rpc from "@sardinestep/rpc";
import * as serving from "@sardinestep/serving";
import * as streamVersions from "@sardinestep/stream_versions";
import type { Address, ServiceId } from "@sardinestep/types";
import { setTimeout as wait } from "node:timers/promises";
import { type ArrivalOptions, waitForArrivals, waitWhile } from "./arrivals.ts";
import { EndpointReach } from "./endpoint_reach.ts";
import { EndpointTracker, MIN_PAUSE_MS } from "./endpoint_tracker.ts";
import { EVENT } from "./events.ts";
import { HttpPool } from "./http_pool.ts";
import type { FlowDependencies } from "./flow_types.ts";
import { type GatewayBounds, getRetryBudgetOptions } from "./gateway_bounds.ts";
import { Ingress } from "./ingress.ts";
import { type InternalServer, openInternalServer } from "./internal_server.ts";
import { PeerMesh } from "./peer_mesh.ts";
import { PieceLeader } from "./piece_leader.ts";
import { PieceRouter } from "./piece_router.ts";
import { readCpuTimeMs } from "./cpu_time.ts";
import type { WireAdapter } from "./ports.ts";
import { runRequest } from "./request_flow.ts";
import { RequestQuarantine } from "./request_quarantine.ts";
import { END_REASON } from "./request_scope.ts";
import { Rollouts } from "./rollouts.ts";
import { SiteState } from "./site_state.ts";
import { planStop, type StopTimes } from "./stop_times.ts";

/** Addresses on which a gateway listens. */
export interface GatewayListen {
  readonly callers: Address;
  readonly ready: Address;
  readonly rpc: Address;
  readonly metrics: Address;
  /** Tunnels of other VMs to endpoints; none are accepted if unset. */
  readonly relay?: Address;
}

/** Configuration of a {@link Gateway}. */
export interface GatewayOptions {
  readonly vmId: string;
  readonly zone: string;
  /** Number of processor cores of this VM. */
  readonly cores: number;
  /** Memory and descriptors of this VM; those of a small one if unset. */
  readonly vmLimits?: callerConnections.VmLimits;
  readonly listen: GatewayListen;
  /** JSON-RPC addresses of VMs that may be members. */
  readonly seeds: readonly Address[];
  readonly bounds: GatewayBounds;
  readonly readyPath: string;
  readonly createWire: (pool: HttpPool) => WireAdapter;
  readonly events: logger.EventLog;
  /** Opens connections to endpoints; over TCP by default. */
  readonly connect?: endpointPaths.Connector;
}

/** Interval of the periodic update of all components, in milliseconds. */
const UPDATE_INTERVAL_MS = 100;
/**
 * How long callers may still connect after the VM reports that it is not ready:
 * two readiness probes one second apart, and one more second.
 */
const CONNECT_DRAIN_MS = 3_000;
/** Time in which a request that was sent before an announcement arrives, in ms. */
const ANNOUNCED_SETTLE_MS = 200;

/** The gateway of one VM. */
export class Gateway {
  readonly site: SiteState;
  readonly mesh: PeerMesh;
  readonly metrics = new metrics.Metrics({ prefix: "sardinestep" });
  readonly pool: HttpPool;
  readonly endpointTracker: EndpointTracker;
  readonly rollouts: Rollouts;
  readonly reach: EndpointReach;
  readonly #quarantine: RequestQuarantine;
  readonly #streamNotes: streamVersions.NoteExchange;
  readonly #options: GatewayOptions;
  readonly #retryBudget: serving.RetryBudget;
  #bounds: GatewayBounds;
  #registryIntervals: serving.RegistryIntervals;
  readonly #wire: WireAdapter;
  readonly #leaders = new Map<string, PieceLeader>();
  readonly #ingress: Ingress;
  readonly #router: PieceRouter;
  #rpcServer: rpc.RpcServer | undefined;
  #internalServers: InternalServer[] = [];
  #updateTimer: NodeJS.Timeout | undefined;
  #updatedAt = performance.now();
  /** Monotonic time; all signals that came before it have been handled. */
  #signalsHandledAt = performance.now();
  /** Monotonic time at which unfinished requests are ended; set while stopping. */
  #drainUntil: number | undefined;
  #stopped: Promise<void> | undefined;
  /** Whether the VMs that this one relays for know that it stops. */
  #hasAnnouncedStop = false;
  #wasReady = false;

  /** @param options Names, addresses, limits and the protocol adapter. */
  constructor(options: GatewayOptions) {
    this.#options = options;
    const { events, vmId, zone, bounds } = options;
    this.#bounds = bounds;
    this.#registryIntervals = serving.planRegistryIntervals(
      bounds.registryDeadlineMs,
    );
    this.#retryBudget = new serving.RetryBudget(getRetryBudgetOptions(bounds));
    this.site = new SiteState(events, this.metrics, bounds.graceMs);
    this.reach = new EndpointReach({
      connect: options.connect,
      site: this.site,
      events,
      metrics: this.metrics,
      getPeers: () => this.mesh.getRelayPeers(),
      callerRpc: options.listen.rpc,
      isLeaving: (vmId) => this.mesh.isLeaving(vmId),
      isStopping: () => this.#isStopping,
      handleLost: (endpoint) => this.#handlePathLost(endpoint),
      // Requests return to the direct path, which needs no other VM.
      handleFound: ({ address }) => this.pool.closeIdle(address),
    });
    this.pool = new HttpPool({
      connect: this.reach.connect,
      mayReuse: (socket) => this.reach.mayReuse(socket),
      findRelay: (socket) => this.reach.findRelay(socket),
    });
    this.#wire = options.createWire(this.pool);
    this.rollouts = new Rollouts({
      site: this.site,
      events,
      metrics: this.metrics,
      vmId,
      zone,
      settings: bounds.rollout,
      handleVersionStopped: () => this.mesh.exchangeNow(),
    });
    this.endpointTracker = new EndpointTracker({
      site: this.site,
      rollouts: this.rollouts,
      events,
      vmId,
      coldLimit: bounds.cold,
      isRelayed: (endpoint) => this.reach.isRelayed(endpoint),
      checkPath: (endpoint) => this.reach.checkPath(endpoint),
      checkProcess: (endpoint) => this.#wire.checkProcess(endpoint),
      metrics: this.metrics,
      callLender: async (lender, asks) => {
        const timeoutMs = limitLoans.LOAN_MS;
        const answer = await rpc.callOnce(lender, "lendSends", { asks }, {
          timeoutMs,
        });
        return answer.unwrapOr(undefined);
      },
    });
    this.#quarantine = new RequestQuarantine({
      site: this.site,
      events,
      metrics: this.metrics,
    });
    this.#streamNotes = new streamVersions.NoteExchange({
      vmId,
      getHolders: () => this.site.members,
      handleError: (reason) => events.write(EVENT.faultMet, { reason }),
    });
    this.mesh = new PeerMesh({
      member: buildMember(options),
      seeds: options.seeds,
      site: this.site,
      rollouts: this.rollouts,
      quarantine: this.#quarantine,
      endpointTracker: this.endpointTracker,
      events,
      getRegistryIntervals: () => this.#registryIntervals,
      getLoads: () => this.#getLoads(),
      isCutOff: () => this.reach.isCutOff,
      getOwnLoad: (service, shard) => this.#getLeader(service, shard).getLoad(),
    });
    this.#router = new PieceRouter({
      vmId,
      mesh: this.mesh,
      endpointTracker: this.endpointTracker,
      wire: this.#wire,
      events,
      getLeader: (service, shard) => this.#getLeader(service, shard),
    });
    const deps = this.#buildFlowDependencies();
    this.#ingress = new Ingress({
      wire: this.#wire,
      site: this.site,
      events,
      metrics: this.metrics,
      runRequest: (request) => runRequest(deps, request),
      isContended: () => this.isContended,
      vmLimits: options.vmLimits,
    });
  }

  /** Intervals at which the registry is read. */
  get registryIntervals(): serving.RegistryIntervals {
    return this.#registryIntervals;
  }

  /** Applies changed limits without disturbing running requests. */
  setBounds(bounds: GatewayBounds): void {
    this.#bounds = bounds;
    this.#registryIntervals = serving.planRegistryIntervals(
      bounds.registryDeadlineMs,
    );
    this.site.departed.setGraceMs(bounds.graceMs);
    this.#retryBudget.setOptions(getRetryBudgetOptions(bounds));
    this.endpointTracker.setColdLimit(bounds.cold);
    this.rollouts.setSettings(bounds.rollout);
  }

  /** Whether overload control and speed-aware placement apply. */
  get isContended(): boolean {
    return this.#bounds.isContended === true ||
      this.endpointTracker.hasHostSpeeds;
  }

  get #isStopping(): boolean {
    return this.#drainUntil !== undefined;
  }

  /** Whether callers should send requests to this VM. */
  get isReady(): boolean {
    return !this.#isStopping && this.site.isComplete;
  }

  /** Opens all listeners and starts the periodic work. */
  async start(): Promise<void> {
    const { listen, readyPath } = this.#options;
    this.#rpcServer = await rpc.openServer(listen.rpc, {
      handlers: this.#buildHandlers(),
    });
    this.#internalServers = [
      await openInternalServer(listen.ready, {
        [readyPath]: () => this.#answerReady(),
      }),
      await openInternalServer(listen.metrics, {
        "/metrics": () => this.#answerMetrics(),
      }),
    ];
    await this.#streamNotes.start(listen.rpc);
    if (listen.relay !== undefined) await this.reach.start(listen.relay);
    const callers = rpc.parseAddress(listen.callers);
    await this.#ingress.start(callers.host, callers.port);
    this.mesh.start();
    this.#updateTimer = setInterval(() => this.#update(), UPDATE_INTERVAL_MS);
  }

  /**
   * Stops gracefully, without truncating a response: reports not ready at once,
   * waits while new callers move to other VMs, then lets running requests end
   * within the grace period. What is unfinished then is answered as not run or as
   * unknown; a stream that has begun breaks off. Complete answers may be read until
   * shortly before the SIGKILL.
   *
   * @returns Settles when the VM has stopped, also if the stop had already begun.
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stopGracefully();
    return this.#stopped;
  }

  async #stopGracefully(): Promise<void> {
    const stoppedAt = performance.now();
    const { events } = this.#options;
    const times = planStop({
      handledAt: stoppedAt,
      sentAfter: this.#signalsHandledAt,
      graceMs: this.#bounds.graceMs,
    });
    this.#drainUntil = times.drainUntil;
    events.write(EVENT.processStopping, {
      active: this.#ingress.activeRequests,
    });
    void this.#announceStop();
    this.#streamNotes.sendAllNotes();
    this.#ingress.startDraining();
    await wait(Math.min(CONNECT_DRAIN_MS, times.drainUntil - stoppedAt));
    await this.#waitWhile(() => this.#isBusy(), times.drainUntil);
    const ended = await this.#endRequests(times);
    events.write(EVENT.processStopped, {
      ended,
      active: this.#ingress.activeRequests,
      tookMs: Math.round(performance.now() - stoppedAt),
      connections: this.pool.openedTotal,
      tunnels: this.reach.tunnelCount,
    });
    // Other VMs chose this one until they knew that it leaves.
    this.#streamNotes.sendAllNotes();
    this.close();
  }

  async #announceStop(): Promise<void> {
    await this.mesh.setLeaving(this.reach.tunnelCallers);
    // What they had sent before may arrive after their answers.
    await wait(ANNOUNCED_SETTLE_MS);
    this.#hasAnnouncedStop = true;
  }

  /**
   * Ends unfinished requests, streams that have begun last, and waits until callers
   * have read their answers.
   *
   * @returns Number of requests that were unfinished.
   */
  async #endRequests(times: StopTimes): Promise<number> {
    const isActive = () => this.#ingress.activeRequests > 0;
    await waitForArrivals(this.#buildArrivalOptions(times.streamUntil));
    if (!isActive()) return 0;
    const unanswered = this.#ingress.endUnanswered(END_REASON.stopping);
    await this.#waitWhile(isActive, times.streamUntil);
    await waitForArrivals(this.#buildArrivalOptions(times.closeAt));
    const begun = this.#ingress.endRequests(END_REASON.stopping);
    await this.#waitWhile(isActive, times.closeAt);
    return unanswered + begun;
  }

  #waitWhile(isTrue: () => boolean, until: number): Promise<void> {
    return waitWhile(isTrue, this.#buildArrivalOptions(until));
  }

  #buildArrivalOptions(until: number): ArrivalOptions {
    return { countAccepted: () => this.#ingress.acceptedTotal, until };
  }

  /** Closes all connections, listeners and queues at once. */
  close(): void {
    clearInterval(this.#updateTimer);
    this.#ingress.destroy();
    for (const leader of this.#leaders.values()) leader.close();
    this.mesh.close();
    this.#streamNotes.close();
    this.reach.close();
    this.pool.close();
    void this.#rpcServer?.close();
    for (const server of this.#internalServers) server.close();
  }

  #isBusy(): boolean {
    const pieces = [...this.#leaders.values()]
      .reduce((sum, leader) => sum + leader.size, 0);
    return !this.#hasAnnouncedStop ||
      this.#ingress.progressingRequests > 0 || pieces > 0 ||
      this.reach.tunnelCount > 0;
  }

  /**
   * Idle connections are closed when a path is lost, since they may be silent; all of
   * them once several paths are lost.
   */
  #handlePathLost(endpoint: serving.ServingEndpoint): void {
    this.endpointTracker.dropEvidence(endpoint);
    for (const leader of this.#leaders.values()) {
      leader.dropEvidence(endpoint.id);
    }
    const suspected = this.reach.isCutOff
      ? this.site.getEndpoints().map((known) => known.endpoint)
      : [endpoint];
    for (const { address } of suspected) this.pool.closeIdle(address);
  }

  #buildFlowDependencies(): FlowDependencies {
    const { zone, events } = this.#options;
    return {
      zone,
      site: this.site,
      endpointTracker: this.endpointTracker,
      pool: this.pool,
      wire: this.#wire,
      mesh: this.mesh,
      retryBudget: this.#retryBudget,
      rollouts: this.rollouts,
      quarantine: this.#quarantine,
      streamNotes: this.#streamNotes,
      router: this.#router,
      events,
      metrics: this.metrics,
      forecast: {
        errors: new forecast.ForecastErrors(),
        ahead: new forecast.AheadWork(),
      },
      getStopState: () => this.#getStopState(),
      isContended: () => this.isContended,
    };
  }

  #getStopState(): serving.ShutdownState | undefined {
    if (this.#drainUntil === undefined) return undefined;
    return { leftMs: this.#drainUntil - performance.now() };
  }

  #buildHandlers(): rpc.Handlers {
    return {
      exchangeViews: (view) => this.mesh.handleExchange(view),
      runPieces: (message) => {
        const { service, shard, dueInMs, expiresInMs, giveUpInMs, ...group } =
          message;
        if (this.#isStopping) {
          return { kind: "unavailable", reason: "leaving" };
        }
        const now = performance.now();
        return this.#getLeader(service, shard).addGroup({
          ...group,
          dueAt: now + dueInMs,
          expiresAt: now + expiresInMs,
          giveUpAt: now + giveUpInMs,
        });
      },
      cancelPieces: ({ service, shard, requestId }) => {
        this.#getLeader(service, shard).cancel(requestId);
        return true;
      },
      lendSends: ({ asks }) => this.endpointTracker.limits.lend(asks),
      releaseResults: ({ service, shard, handles }) => {
        this.#getLeader(service, shard).release(handles);
        return true;
      },
    };
  }

  #getLeader(service: ServiceId, shard: serving.ShardId): PieceLeader {
    const key = `${service}\0${shard}`;
    const existing = this.#leaders.get(key);
    if (existing !== undefined) return existing;
    const leader = new PieceLeader({
      service,
      shard,
      getPool: () => this.site.table?.services.get(service)?.pool,
      endpointTracker: this.endpointTracker,
      rollouts: this.rollouts,
      quarantine: this.#quarantine,
      wire: this.#wire,
      events: this.#options.events,
      metrics: this.metrics,
      isContended: () => this.isContended,
      findReportedLoad: () =>
        this.mesh.leaders.findReportedLoad(service, shard),
      releaseInputs: (owner, handles) =>
        void this.#router.release(owner.service, owner.shard, handles),
    });
    this.#leaders.set(key, leader);
    return leader;
  }

  /** Loads of the shards that this VM leads, including idle ones. */
  #getLoads(): serving.ShardLoad[] {
    const { vmId, zone } = this.#options;
    const { leaders } = this.mesh;
    const shard = leaders.getShard(zone);
    return [...this.site.table?.services.values() ?? []]
      .filter(({ name, pool }) =>
        pool !== undefined && leaders.pickLeader(name, shard)?.vmId === vmId
      )
      .map(({ name }) => ({
        service: name,
        shard,
        load: this.#getLeader(name, shard).getLoad(),
      }));
  }

  #update(): void {
    const now = performance.now();
    const gapMs = now - this.#updatedAt;
    this.#updatedAt = now;
    // The event loop handles signals between its timers and its immediates.
    setImmediate(() => {
      this.#signalsHandledAt = now;
    });
    if (gapMs > MIN_PAUSE_MS) {
      this.#options.events.write(EVENT.clockPaused, {
        gapMs: Math.round(gapMs),
      });
    }
    this.site.dropExpiredEndpoints();
    this.site.dropUnlisted();
    this.rollouts.update();
    this.endpointTracker.update();
    this.reach.update();
    this.pool.closeUnusable();
    this.#ingress.budget.recordTick();
    this.#quarantine.update();
    if (this.isReady === this.#wasReady) return;
    this.#wasReady = this.isReady;
    if (!this.isReady) return;
    this.#options.events.write(EVENT.processReady, {
      configuration: this.site.table?.version,
      endpoints: this.site.getEndpoints().length,
      members: this.site.members.length,
      afterStartMs: Math.round(now),
      processorMs: readCpuTimeMs(),
    });
  }

  #answerReady(): { status: number; text: string } {
    return this.isReady
      ? { status: 200, text: "ready\n" }
      : { status: 503, text: "not ready\n" };
  }

  #answerMetrics(): { status: number; text: string } {
    const now = performance.now();
    const { budget } = this.#ingress;
    const gauges: Record<string, number> = {
      requests_active: this.#ingress.activeRequests,
      caller_connections_open: this.#ingress.connectionCount,
      bodies_in_progress: budget.incompleteBodies,
      bodies_cancelled_total: budget.cancelledBodiesTotal,
      held_head_bytes: budget.getHeldBytes("head"),
      held_body_bytes: budget.getHeldBytes("body"),
      held_answer_bytes: budget.getHeldBytes("answer"),
      held_unread_bytes: budget.getHeldBytes("unread"),
      sent_body_bytes: budget.endpoints.totalBytes,
      responses_evicted_total: budget.evictedTotal,
      relays_paused_total: budget.pausedTotal,
      memory_rss_bytes: process.memoryUsage.rss(),
      configuration_version: this.site.table?.version ?? 0,
      configuration_age_seconds: (now - this.site.configuredAt) / 1_000,
      endpoint_connections_opened_total: this.pool.openedTotal,
      endpoint_paths_lost: this.reach.lostCount,
      tunnels_open: this.reach.tunnelCount,
      tunnels_opened_total: this.reach.tunnelTotal,
      log_lines_dropped_total: this.#options.events.droppedTotal,
      members: this.site.members.length,
      senders: this.mesh.countSenders(),
      facts_age_seconds: (now - this.site.syncedAt) / 1_000,
      quarantined_requests: this.site.quarantined.getRefused(Date.now()).size,
      reads_registry: Number(this.mesh.mayReadRegistry()),
    };
    for (const [name, value] of Object.entries(gauges)) {
      if (Number.isFinite(value)) this.metrics.setGauge(name, {}, value);
    }
    return { status: 200, text: this.metrics.formatPrometheus() };
  }
}

/** Builds the registration record of a gateway's VM. */
export function buildMember(options: GatewayOptions): serving.ServingMember {
  const { vmId, zone, cores, listen: { rpc, relay } } = options;
  return { vmId, zone, rpc, relay, cores };
}
