/**
 * Composes the components of an entry process.
 *
 * @module
 */
import * as claims from "@sardinestep/claims";
import * as decisions from "@sardinestep/decisions";
import * as endpointHttp from "@sardinestep/endpoint_http";
import * as logger from "@sardinestep/logger";
import * as membership from "@sardinestep/membership";
import * as rpc from "@sardinestep/rpc";
import type * as settings from "@sardinestep/settings";
import * as timeline from "@sardinestep/timeline";
import { randomBytes, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpServer } from "./http_server.ts";
import { Claimant } from "./claimant.ts";
import type { RequestContext } from "./context.ts";
import { ControlLink } from "./control_link.ts";
import { Dispatcher } from "./dispatcher.ts";
import { EntryMetrics } from "./entry_metrics.ts";
import { buildFilters } from "./filter_list.ts";
import { HolderLookup } from "./holder_lookup.ts";
import { KeyService } from "./key_service.ts";
import { KeyRegistry } from "./key_registry.ts";
import { MintedKeys } from "./minted_keys.ts";
import { RequestService } from "./request_service.ts";
import { ResultKeeper } from "./result_keeper.ts";
import { buildEntryHandlers } from "./rpc_handlers.ts";
import { SiteController } from "./site_state.ts";

/** Tick interval of the decider, and so the precision of deadlines. */
const TICK_MS = 10;
/** How often control is asked to confirm the view of the members. */
const VIEW_CONFIRM_INTERVAL_MS = 200;
const VIEW_TIMEOUT_MS = 500;
/** An endpoint that does not report within this time is considered silent. */
const REPORT_TIMEOUT_MS = 500;
/** Well below the usual keep-alive timeout of HTTP servers, which is 5 s. */
const ENDPOINT_READ_INTERVAL_MS = 2_000;
/** A longer gap between two ticks means that the process was paused. */
const MAX_TICK_GAP_MS = 1_000;
/** Used minted keys remembered per customer. */
const MAX_MINTED_KEYS_USED = 20_000;
const DRAIN_POLL_MS = 10;
const HAND_OVER_TIMEOUT_MS = 1_000;
/** Covers all other entries at present scale: any may be asked for a key. */
const MAX_HAND_OVER_RECEIVERS = 16;

/** A running entry process. */
export class Entry {
  readonly #settings: settings.EntrySettings;
  readonly #identity: rpc.Identity;
  readonly #startedAt = Date.now();
  readonly #logger: logger.Logger;
  readonly #timeline: timeline.Timeline;
  readonly #metrics = new EntryMetrics();
  readonly #peers = new rpc.PeerConnections();
  readonly #endpointPort: endpointHttp.HttpEndpointPort;
  readonly #pauseDetector = new membership.PauseDetector({
    maxGapMs: MAX_TICK_GAP_MS,
  });
  readonly #controlLink: ControlLink;
  readonly #site: SiteController;
  readonly #decider: decisions.Decider;
  readonly #dispatcher: Dispatcher;
  readonly #registry: KeyRegistry;
  readonly #resultKeeper: ResultKeeper;
  readonly #mintedKeys: MintedKeys;
  readonly #service: RequestService;
  readonly #keyService: KeyService;
  readonly #server: HttpServer;
  readonly #timers: NodeJS.Timeout[] = [];
  #rpcServer: rpc.RpcServer | undefined;
  #claimSequence = 0;
  #state: rpc.ProcessStatus["state"] = "starting";
  #isRefusingRequests = false;
  /** Monotonic milliseconds; infinite unless this entry is stopping. */
  #closesAt = Infinity;

  constructor(options: settings.EntrySettings) {
    this.#settings = options;
    const { vmId, zone, site } = options;
    const instance = randomUUID();
    this.#identity = {
      process: "entry",
      vmId,
      zone,
      site,
      instance,
      rpc: options.listenRpc,
    };
    this.#logger = logger.createLogger({
      ...options.logs,
      process: "entry",
      vmId,
    });
    this.#timeline = new timeline.Timeline({
      clock: new timeline.HybridClock(Date.now),
      process: "entry",
      vmId,
      instance,
      capacity: options.timelineEvents,
    });
    this.#endpointPort = endpointHttp.openHttpEndpoints({
      onDisconnect: (address) => this.#site.recordDisconnect(address),
    });
    this.#controlLink = this.#createControlLink();
    this.#site = this.#createSite();
    this.#decider = decisions.createDecider({ callIdPrefix: instance, zone });
    this.#dispatcher = this.#createDispatcher();
    this.#registry = new KeyRegistry({
      keepMs: options.keepResultsMs,
      maxKeys: options.maxKeptResults,
    });
    this.#resultKeeper = this.#createResultKeeper();
    this.#mintedKeys = this.#createMintedKeys();
    this.#service = this.#createRequestService();
    this.#keyService = new KeyService({
      registry: this.#registry,
      minted: this.#mintedKeys,
      peers: this.#peers,
      site: this.#site,
      ttlMs: options.mintedKeyTtlMs,
      lookUpKey: (keyId) => this.#lookUpKey(keyId, VIEW_TIMEOUT_MS),
    });
    this.#server = this.#createServer();
  }

  /** Opens the servers, connects to control and starts to serve requests. */
  async start(): Promise<void> {
    this.#rpcServer = await rpc.openServer(this.#settings.listenRpc, {
      handlers: buildEntryHandlers({
        identity: this.#identity,
        getStatus: () => this.#buildStatus(),
        timeline: this.#timeline,
        resultKeeper: this.#resultKeeper,
        registry: this.#registry,
        mintedKeys: this.#mintedKeys,
        service: this.#service,
        readNow: readMonotonicMs,
      }),
    });
    this.#controlLink.start();
    this.#timers.push(
      setInterval(() => this.#tick(), TICK_MS),
      setInterval(() => void this.#confirmView(), VIEW_CONFIRM_INTERVAL_MS),
      setInterval(() => this.#site.readEndpoints(), ENDPOINT_READ_INTERVAL_MS),
    );
    await this.#server.listen(this.#settings.listenHttp);
    this.#state = "ready";
    this.#logger.info("started", `Serving "${this.#settings.listenHttp}"`);
  }

  /**
   * Stops gracefully, without aborting running requests.
   *
   * First reports not ready, while requests that the load balancer still sends are
   * served if their deadlines lie before the exit. Then new requests are refused as
   * not run, running ones get the rest of the shutdown timeout and are then answered
   * as unknown, and the state of minted keys is handed over to other entries.
   */
  async stop(): Promise<void> {
    if (this.#state === "leaving") return;
    this.#state = "leaving";
    const { shutdownBoundMs, leaveNoticeMs } = this.#settings;
    this.#logger.info("leaving", `Stopping within ${shutdownBoundMs} ms`);
    const endAt = readMonotonicMs() + shutdownBoundMs;
    this.#closesAt = endAt;
    await sleep(Math.min(leaveNoticeMs, shutdownBoundMs));
    this.#isRefusingRequests = true;
    await this.#waitForRequests(endAt);
    const cutOff = this.#service.running;
    this.#service.cancelRequests();
    // Their answers are written in the next turn.
    if (cutOff > 0) await sleep(DRAIN_POLL_MS);
    await this.#handOver();
    await this.#controlLink.waitForPendingRecords(
      Math.max(0, endAt - readMonotonicMs()),
    );
    await this.close();
    this.#logger.info("stopped", "Stopped", { cutOff });
  }

  /** Stops immediately. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    this.#controlLink.close();
    this.#peers.close();
    await this.#rpcServer?.close();
    await this.#server.close();
    await this.#endpointPort.close();
  }

  #createControlLink(): ControlLink {
    return new ControlLink({
      identity: this.#identity,
      controls: this.#settings.controls,
      logger: this.#logger,
      onUpdate: (update) => this.#applyUpdate(update),
    });
  }

  #createSite(): SiteController {
    const { vmId, site, listLagMs, longestCallMs } = this.#settings;
    const takeoverDelayMs = membership.buildTakeoverDelayMs({
      listLagMs,
      longestCallMs,
      silentAfterMs: membership.SILENT_AFTER_MS,
      viewFreshMs: membership.VIEW_FRESH_MS,
    });
    return new SiteController({
      vmId,
      site,
      guard: new membership.WarmupGuard({
        vmId,
        takeoverDelayMs,
        viewFreshMs: membership.VIEW_FRESH_MS,
      }),
      readNow: readMonotonicMs,
      readWallMs: Date.now,
      drawRandom: Math.random,
      apply: (event) => this.#dispatcher.apply(event),
      onConfiguration: (version) => this.#handleConfiguration(version),
      reportEndpoint: (observation) => {
        this.#timeline.record(`endpoint_${observation.news}`, {
          endpointId: observation.endpointId,
        });
        void this.#controlLink.call(
          "reportEndpoint",
          observation,
          VIEW_TIMEOUT_MS,
        );
      },
      readReport: async ({ endpointId, address }) => {
        const report = await this.#endpointPort.readLoad(
          endpointId,
          address,
          REPORT_TIMEOUT_MS,
        );
        return report.isOk() ? report.value : undefined;
      },
    });
  }

  #createDispatcher(): Dispatcher {
    return new Dispatcher({
      decider: this.#decider,
      endpoints: this.#endpointPort,
      site: this.#site,
      timeline: this.#timeline,
      metrics: this.#metrics,
      readNow: readMonotonicMs,
      drawRandom: Math.random,
      onStageResult: (result) => this.#resultKeeper.keep(result),
    });
  }

  #createResultKeeper(): ResultKeeper {
    return new ResultKeeper({
      vmId: this.#settings.vmId,
      instance: this.#identity.instance,
      peers: this.#peers,
      keepMs: this.#settings.keepResultsMs,
      maxEntries: this.#settings.maxKeptResults,
      getMembers: () => this.#site.members,
      readNow: readMonotonicMs,
      count: (name) => this.#metrics.metrics.count(name),
    });
  }

  #createMintedKeys(): MintedKeys {
    const { instance } = this.#identity;
    return new MintedKeys({
      instance,
      mint: new claims.KeyMint({
        instance,
        ttlMs: this.#settings.mintedKeyTtlMs,
        maxUsedPerCustomer: MAX_MINTED_KEYS_USED,
        secret: randomBytes(32),
      }),
      peers: this.#peers,
      findMember: (entryInstance) => this.#site.findMember(entryInstance),
      recordLater: (record) => this.#controlLink.recordLater([record]),
      onCompleted: (...completion) => this.#registry.complete(...completion),
      createClaimId: () => this.#createClaimId(),
      lookUpKey: (keyId) => this.#lookUpKey(keyId, VIEW_TIMEOUT_MS),
      readNow: readMonotonicMs,
    });
  }

  #createRequestService(): RequestService {
    const lookup = new HolderLookup({
      peers: this.#peers,
      findMember: (entryInstance) => this.#site.findMember(entryInstance),
      findResults: (context) => this.#resultKeeper.findAll(context),
      readNow: readMonotonicMs,
    });
    const filters = buildFilters({
      registry: this.#registry,
      dispatcher: this.#dispatcher,
      mayServe: (deadlineAt) =>
        !this.#isRefusingRequests && deadlineAt < this.#closesAt,
      readNow: readMonotonicMs,
      findResults: {
        findAll: (context) => this.#resultKeeper.findAll(context),
        endRun: (context) => this.#resultKeeper.endRun(context),
        waitForRunner: (context, runner) =>
          lookup.waitForRunner(context, runner),
      },
      claimKey: {
        openClaimant: (context) => this.#openClaimant(context),
        claim: (record, boundMs) => this.#controlLink.claim(record, boundMs),
        runMinted: (context, key, next) =>
          this.#mintedKeys.run(context, key, next),
        lookup,
        readNow: readMonotonicMs,
      },
    });
    return new RequestService({
      filters,
      getSite: () => this.#site.site,
      readNow: readMonotonicMs,
      metrics: this.#metrics,
      logger: this.#logger,
      timeline: this.#timeline,
    });
  }

  #openClaimant(context: RequestContext): Claimant {
    const { keyId, fingerprint, deadlineAt } = context;
    if (!keyId) throw new Error("Cannot claim: the request has no key");
    return new Claimant({
      facts: { id: this.#createClaimId(), keyId, fingerprint, deadlineAt },
      recordLater: (record) => this.#controlLink.recordLater([record]),
      onStateChange: (state, answer) => {
        const isCompleted = state.kind === "done" &&
          state.outcome === "completed";
        if (isCompleted) this.#registry.complete(keyId, fingerprint, answer);
      },
    });
  }

  #createClaimId(): claims.ClaimId {
    this.#claimSequence += 1;
    return { instance: this.#identity.instance, sequence: this.#claimSequence };
  }

  async #lookUpKey(
    keyId: claims.KeyId,
    timeoutMs: number,
  ): Promise<claims.KeyStatus | undefined> {
    const found = await this.#controlLink.call("lookUpKey", keyId, timeoutMs);
    return found?.[0]?.status;
  }

  #applyUpdate(update: rpc.Notifications["news"]): void {
    this.#site.applyUpdate(update);
    if (!update.members) return;
    const controls = update.members
      .filter((member) => member.state === "live" && member.controlRpc !== "")
      .map((member) => member.controlRpc);
    this.#controlLink.setFallbackControls(controls);
  }

  #handleConfiguration(version: number): void {
    const message = `Applied configuration ${version}`;
    this.#logger.info("config_applied", message, { version });
    this.#timeline.record("config_applied", { configVersion: version });
  }

  #tick(): void {
    const now = readMonotonicMs();
    if (this.#pauseDetector.check(now)) {
      this.#logger.info(
        "paused",
        "The process was paused; the view of the members is no longer fresh",
      );
      this.#timeline.record("paused", {});
      this.#site.handlePause();
    }
    this.#dispatcher.tick();
  }

  async #confirmView(): Promise<void> {
    const sentAt = readMonotonicMs();
    const { vmId } = this.#settings;
    const demand = this.#decider.getDemand(sentAt);
    const query = { vmId, demand };
    const view = await this.#controlLink.call(
      "readView",
      query,
      VIEW_TIMEOUT_MS,
    );
    if (view) {
      const { members, isFresh, otherDemands } = view;
      this.#site.applyDemands(demand, otherDemands);
      this.#site.confirmView({
        members,
        confirmedAt: isFresh ? sentAt : undefined,
      });
    }
    this.#site.refreshShares();
  }

  #createServer(): HttpServer {
    return new HttpServer({
      limits: {
        maxBytes: this.#settings.maxBodyBytes,
        timeoutMs: this.#settings.bodyTimeoutMs,
      },
      createRequestId: randomUUID,
      readNow: readMonotonicMs,
      serve: (...request) => this.#service.serve(...request),
      mintKeys: (incoming) => this.#keyService.mintKeys(incoming),
      lookUpKey: (incoming) => this.#keyService.lookUp(incoming),
      countRefusal: (name) => this.#metrics.countRefusalCode(name),
      formatMetrics: () => this.#formatMetrics(),
      isReady: () => this.#state === "ready" && this.#site.isServing,
    });
  }

  async #waitForRequests(endAt: number): Promise<void> {
    const isBusy = () =>
      this.#service.running > 0 || this.#dispatcher.runningCalls > 0 ||
      this.#resultKeeper.pendingSends > 0;
    while (isBusy() && readMonotonicMs() < endAt) await sleep(DRAIN_POLL_MS);
  }

  /** Any entry may receive the key statuses: it only answers retries with them. */
  async #handOver(): Promise<void> {
    const handOver = this.#mintedKeys.close();
    const neighbours = this.#site.members.filter((member) =>
      member.state === "live" && member.vmId !== this.#settings.vmId &&
      member.entryRpc !== ""
    );
    const limit = { timeoutMs: HAND_OVER_TIMEOUT_MS };
    await Promise.all(
      neighbours.slice(0, MAX_HAND_OVER_RECEIVERS).map((member) =>
        this.#peers.call(member.entryRpc, "handOver", handOver, limit)
      ),
    );
  }

  #formatMetrics(): string {
    const { metrics } = this.#metrics;
    metrics.setGauge("requests_running", {}, this.#service.running);
    metrics.setGauge("calls_running", {}, this.#dispatcher.runningCalls);
    return this.#metrics.formatPrometheus();
  }

  #buildStatus(): rpc.ProcessStatus {
    return {
      ...this.#identity,
      pid: process.pid,
      startedAt: this.#startedAt,
      state: this.#state,
      configVersion: this.#site.site?.version ?? 0,
      counters: this.#metrics.metrics.getCounters(),
    };
  }
}

function readMonotonicMs(): number {
  return performance.now();
}
