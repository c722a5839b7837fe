/**
 * Assembles the controllers of one control process and serves its RPC methods.
 *
 * @module
 */
import * as endpointHttp from "@sardinestep/endpoint_http";
import * as logHttp from "@sardinestep/log_http";
import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as rpc from "@sardinestep/rpc";
import * as settings from "@sardinestep/settings";
import * as timeline from "@sardinestep/timeline";
import * as vmListHttp from "@sardinestep/vmlist_http";
import type { VersionedConfiguration } from "@sardinestep/configuration";
import type { ZoneId } from "@sardinestep/types";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { ClaimController } from "./claim_controller.ts";
import { ConfigurationController } from "./configuration_controller.ts";
import { DemandTable } from "./demand_table.ts";
import { EndpointController } from "./endpoint_controller.ts";
import { EntryFeed } from "./entry_feed.ts";
import { MembershipController } from "./membership_controller.ts";

const DRAIN_POLL_MS = 20;

/** A running control process. */
export class ControlProcess {
  readonly #settings: settings.ControlSettings;
  readonly #identity: rpc.Identity;
  readonly #startedAt = Date.now();
  readonly #logger: logger.Logger;
  readonly #metrics = new metrics.Metrics({ prefix: "sardinestep" });
  readonly #timeline: timeline.Timeline;
  readonly #log;
  readonly #vmList;
  readonly #endpointPort;
  readonly #peers = new rpc.PeerConnections();
  readonly #entryFeed = new EntryFeed();
  readonly #demands = new DemandTable();
  readonly #claims: ClaimController;
  readonly #configuration: ConfigurationController;
  readonly #membership: MembershipController;
  readonly #endpoints: EndpointController;
  #server: rpc.RpcServer | undefined;
  #isStopping = false;
  #zonesOut: readonly ZoneId[] = [];

  constructor(options: settings.ControlSettings) {
    this.#settings = options;
    const { vmId, zone, site } = options;
    this.#identity = {
      process: "control",
      vmId,
      zone,
      site,
      instance: randomUUID(),
      rpc: options.listenRpc,
    };
    this.#logger = logger.createLogger({
      ...options.logs,
      process: "control",
      vmId,
    });
    this.#timeline = new timeline.Timeline({
      clock: new timeline.HybridClock(Date.now),
      process: "control",
      vmId,
      instance: this.#identity.instance,
      capacity: options.timelineEvents,
    });
    this.#log = logHttp.openHttpLog({ baseUrl: options.logUrl });
    this.#vmList = vmListHttp.openHttpVmList({ url: options.vmListUrl });
    this.#endpointPort = endpointHttp.openHttpEndpoints({});
    this.#claims = this.#createClaims();
    this.#configuration = this.#createConfiguration();
    this.#endpoints = this.#createEndpoints();
    this.#membership = this.#createMembership();
  }

  /** Opens the RPC server and starts every controller. */
  async start(): Promise<void> {
    this.#server = await rpc.openServer(this.#settings.listenRpc, {
      handlers: this.#buildHandlers(),
    });
    this.#claims.start();
    this.#configuration.start();
    this.#endpoints.start();
    this.#membership.start();
    this.#logger.info("started", `Listening on "${this.#server.address}"`);
  }

  /**
   * Stops gracefully: appends the queued records first, for at most
   * `shutdownBoundMs`, while entries fail over to a neighbour's control.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { shutdownBoundMs } = this.#settings;
    this.#logger.info("leaving", `Stopping within ${shutdownBoundMs} ms`);
    this.#membership.markLocalVmLeaving();
    this.#membership.gossipNow();
    const endAt = performance.now() + shutdownBoundMs;
    while (this.#claims.queuedRecords > 0 && performance.now() < endAt) {
      await sleep(DRAIN_POLL_MS);
    }
    await this.close();
    this.#logger.info("stopped", "Stopped");
  }

  /** Closes all controllers and connections at once, without draining. */
  async close(): Promise<void> {
    this.#membership.close();
    this.#endpoints.close();
    this.#configuration.close();
    this.#claims.close();
    this.#entryFeed.close();
    this.#peers.close();
    await this.#server?.close();
    await this.#log.close();
    await this.#vmList.close();
    await this.#endpointPort.close();
  }

  #createClaims(): ClaimController {
    const { claimLingerMs, appendsPerSecond, keyWindowMs } = this.#settings;
    return new ClaimController({
      log: this.#log,
      lingerMs: claimLingerMs,
      appendsPerSecond,
      keyWindowMs,
      timeline: this.#timeline,
      count: (name, by) => this.#metrics.count(name, {}, by),
      onReachabilityChange: (isReachable) =>
        this.#handleLogReachability(isReachable),
      onRecordError: (error) => this.#handleRecordError(error),
    });
  }

  #createConfiguration(): ConfigurationController {
    return new ConfigurationController({
      log: this.#log,
      logRetentionMs: this.#settings.logRetentionMs,
      drawRandom: Math.random,
      onRecordError: (error) => this.#handleRecordError(error),
      onChange: (configuration) => {
        const { version, author } = configuration;
        const message = `Configuration ${version} is in force`;
        this.#logger.info("config_applied", message, { version, author });
        const subject = { configVersion: version };
        this.#timeline.record("config_applied", subject, { author });
        this.#recordZoneChanges(configuration);
        this.#entryFeed.send({ configuration });
        this.#membership.gossipNow();
      },
    });
  }

  #recordZoneChanges(versioned: VersionedConfiguration): void {
    const parsed = settings.parseConfiguration(versioned.configuration);
    if (parsed.isErr()) return;
    const { zonesOut } = parsed.value;
    const configVersion = versioned.version;
    const previousZonesOut = this.#zonesOut;
    this.#zonesOut = zonesOut;
    for (const zone of zonesOut) {
      if (previousZonesOut.includes(zone)) continue;
      this.#timeline.record("zone_out", { zone, configVersion });
    }
    for (const zone of previousZonesOut) {
      if (zonesOut.includes(zone)) continue;
      this.#timeline.record("zone_in", { zone, configVersion });
    }
  }

  #createEndpoints(): EndpointController {
    return new EndpointController({
      endpoints: this.#endpointPort,
      loadIntervalMs: this.#settings.loadIntervalMs,
      timeline: this.#timeline,
      onChange: (endpoints) => this.#entryFeed.send({ endpoints }),
      onReport: (report) => this.#entryFeed.addLoad(report),
    });
  }

  #createMembership(): MembershipController {
    const { vmId, zone, site, listenRpc } = this.#settings;
    return new MembershipController({
      self: { vmId, zone, site, entryRpc: "", controlRpc: listenRpc },
      identity: this.#identity,
      vmList: this.#vmList,
      vmListIntervalMs: this.#settings.vmListIntervalMs,
      gossipIntervalMs: this.#settings.gossipIntervalMs,
      neighbours: this.#settings.neighbours,
      peers: this.#peers,
      drawRandom: Math.random,
      logger: this.#logger,
      buildGossipState: () => ({
        configVersion: this.#configuration.current?.version ?? 0,
        isJudging: this.#configuration.isJudging,
        endpoints: this.#endpoints.getRecentChanges(),
        demands: this.#demands.getDirect(performance.now()),
      }),
      onGossipReply: (reply) => {
        if (reply.configuration) this.#configuration.adopt(reply.configuration);
        if (reply.snapshot) this.#configuration.adoptSnapshot(reply.snapshot);
        this.#endpoints.applyGossip(reply.endpoints);
        this.#demands.applyGossip(reply.demands, performance.now());
      },
      onVmList: (list, requestedAt) =>
        this.#endpoints.applyList(list, requestedAt),
      onGossipRound: () => this.#sendMembers(),
    });
  }

  #sendMembers(): void {
    const ownEntry = this.#entryFeed.identities.find((identity) =>
      identity.vmId === this.#identity.vmId
    );
    this.#membership.setLocalEntry(ownEntry?.instance);
    this.#entryFeed.send({ members: this.#membership.getMembers() });
  }

  #handleRecordError(error: unknown): void {
    const cause = error instanceof Error ? error.stack ?? error.message : error;
    const message =
      "Cannot apply a record of the log; skipping it and reading on";
    this.#logger.error("record_fault", message, { cause: String(cause) });
  }

  #handleLogReachability(logReachable: boolean): void {
    const state = logReachable
      ? "is reachable"
      : "is unreachable; claims stay unsettled until it answers";
    this.#logger.info("log", `The log service ${state}`);
    this.#timeline.record("log_reachable", {}, { logReachable });
    this.#entryFeed.send({ logReachable });
  }

  #buildHandlers(): rpc.Handlers {
    return {
      ping: () => this.#identity,
      status: () => this.#buildStatus(),
      timeline: (filter) => this.#timeline.find(filter),
      subscribe: (identity, connection) =>
        this.#subscribe(identity, connection),
      claim: ({ record, boundMs }) => this.#settleClaim(record, boundMs),
      recordLater: ({ records }) => ({
        queued: this.#claims.appendLater(records),
      }),
      reportEndpoint: (observation) => {
        this.#endpoints.applyObservation(observation);
        return {};
      },
      readView: (request) => this.#answerView(request),
      gossip: (message) => this.#answerGossip(message),
      configuration: () => this.#configuration.current ?? null,
      history: () => this.#configuration.getHistory(),
      publish: (record) => this.#configuration.publish(record),
      endpoints: () => this.#endpoints.getStatus(),
      members: () => this.#membership.getMembers(),
      lookUpKey: ({ key, customer }) => this.#claims.lookUpKey(key, customer),
    };
  }

  #settleClaim(
    record: rpc.Methods["claim"]["params"]["record"],
    boundMs: number,
  ): Promise<rpc.ClaimVerdict> {
    if (record.kind === "claim") return this.#claims.claim(record, boundMs);
    throw new Error(
      `Cannot settle a record of kind "${record.kind}": expected "claim"`,
    );
  }

  #subscribe(
    identity: rpc.Identity,
    connection: rpc.Connection,
  ): rpc.ControlState {
    this.#entryFeed.add(connection, identity);
    this.#membership.recordEntryContact(identity);
    const isOwn = identity.vmId === this.#identity.vmId;
    if (isOwn) this.#membership.setLocalEntry(identity.instance);
    this.#membership.gossipNow();
    return {
      configuration: this.#configuration.current,
      members: this.#membership.getMembers(),
      endpoints: this.#endpoints.getEndpoints(),
      loads: this.#endpoints.getLoads(),
      logReachable: this.#claims.isReachable,
    };
  }

  #answerGossip(message: rpc.GossipMessage): rpc.GossipReply {
    this.#membership.applyGossip(message);
    this.#endpoints.applyGossip(message.endpoints);
    this.#demands.applyGossip(message.demands, performance.now());
    const current = this.#configuration.current;
    const isNewer = (current?.version ?? 0) > message.configVersion;
    return {
      identity: this.#identity,
      configuration: isNewer ? current : undefined,
      snapshot: message.isJudging ? undefined : this.#configuration.snapshot,
      configVersion: current?.version ?? 0,
      members: this.#membership.getGossip(),
      endpoints: this.#endpoints.getRecentChanges(),
      demands: this.#demands.getDirect(performance.now()),
    };
  }

  #answerView(request: rpc.ViewRequest): rpc.ViewReply {
    const now = performance.now();
    this.#demands.setDirect(request, now);
    return {
      isFresh: this.#membership.isViewFresh(),
      members: this.#membership.getMembers(),
      otherDemands: this.#demands.getOthers(request.vmId, now),
    };
  }

  #buildStatus(): rpc.ProcessStatus {
    return {
      ...this.#identity,
      pid: process.pid,
      startedAt: this.#startedAt,
      state: this.#isStopping ? "leaving" : "ready",
      configVersion: this.#configuration.current?.version ?? 0,
      log: {
        reachable: this.#claims.isReachable,
        claimsReadThrough: this.#claims.readThrough,
        configurationReadThrough: this.#configuration.readThrough,
      },
      counters: {
        ...this.#metrics.getCounters(),
        ...this.#claims.getSizes(),
      },
    };
  }
}
