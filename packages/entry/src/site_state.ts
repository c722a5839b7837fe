/**
 * Holds an entry's view of its site, the members and the endpoints, and passes
 * changes to the decider.
 *
 * @module
 */
import type * as configuration from "@sardinestep/configuration";
import type * as decisions from "@sardinestep/decisions";
import * as membership from "@sardinestep/membership";
import type * as rpc from "@sardinestep/rpc";
import * as settings from "@sardinestep/settings";
import {
  type CustomerId,
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointId,
  type InstanceId,
  type LoadReport,
  type MemberFacts,
  type PipelineId,
  type PipelineSpec,
} from "@sardinestep/types";
import { type ShareInputs, ShareKeeper } from "./share_keeper.ts";

/** The applied configuration of this site. */
export interface SiteState {
  readonly version: number;
  readonly pipelines: ReadonlyMap<PipelineId, PipelineSpec>;
  readonly customers: ReadonlyMap<CustomerId, settings.SiteCustomer>;
}

/** Dependencies and callbacks of a {@link SiteController}. */
export interface SiteControllerOptions {
  readonly vmId: string;
  readonly site: string;
  readonly guard: membership.WarmupGuard;
  /** Monotonic milliseconds. */
  readonly readNow: () => number;
  /** Wall clock in milliseconds since the Unix epoch. */
  readonly readWallMs: () => number;
  readonly drawRandom: () => number;
  /** Passes an event to the decider. */
  readonly apply: (event: decisions.DecisionEvent) => void;
  /** Called when a new configuration has been applied. */
  readonly onConfiguration: (version: number) => void;
  /** Reports an observation of an endpoint to control. */
  readonly reportEndpoint: (
    observation: membership.EndpointObservation,
  ) => void;
  /** Reads the load report of an endpoint; undefined when it does not respond. */
  readonly readReport: (
    facts: EndpointFacts,
  ) => Promise<LoadReport | undefined>;
}

/**
 * How long a new entry waits for endpoints of every service. It then serves with
 * the endpoints it has: a service that is down everywhere must not keep all
 * entries from becoming ready.
 */
const ENDPOINT_WAIT_MS = 5_000;

/** Applies updates from control and passes changes to the decider. */
export class SiteController {
  readonly #options: SiteControllerOptions;
  readonly #endpoints = new Map<EndpointId, EndpointFacts>();
  /** Share of each endpoint as last passed to the decider. */
  readonly #sentShares = new Map<EndpointId, number>();
  readonly #shares = new ShareKeeper();
  #site: SiteState | undefined;
  #members: readonly MemberFacts[] = [];
  #customers: readonly settings.SiteCustomer[] = [];
  /** Customers as last passed to the decider, serialized. */
  #sentCustomers = "";
  #configuredAt = Infinity;
  #isServing = false;

  constructor(options: SiteControllerOptions) {
    this.#options = options;
  }

  /** The applied configuration; undefined before the first one. */
  get site(): SiteState | undefined {
    return this.#site;
  }

  /**
   * Whether requests may be sent here: the site is configured, and each of its
   * services has had an endpoint that may be called. Once true, it stays true.
   */
  get isServing(): boolean {
    const isWaitOver = this.#options.readNow() - this.#configuredAt >
      ENDPOINT_WAIT_MS;
    this.#isServing ||= isWaitOver || this.#hasEndpointForEveryStage();
    return this.#isServing;
  }

  /** All known VMs. */
  get members(): readonly MemberFacts[] {
    return this.#members;
  }

  /** Finds an endpoint. */
  findEndpoint(endpointId: EndpointId): EndpointFacts | undefined {
    return this.#endpoints.get(endpointId);
  }

  /** Finds the VM whose entry process has the given instance id. */
  findMember(instance: InstanceId): MemberFacts | undefined {
    return this.#members.find((member) => member.entryInstance === instance);
  }

  /** Applies an update from control. */
  applyUpdate(update: rpc.Notifications["news"]): void {
    if (update.configuration) this.#applyConfiguration(update.configuration);
    if (update.members) this.#applyMembers(update.members);
    for (const facts of update.endpoints ?? []) this.#applyEndpoint(facts);
    const now = this.#options.readNow();
    for (const report of update.loads ?? []) {
      // Control uses the wall clock, the decider this process's monotonic clock.
      const ageMs = Math.max(0, this.#options.readWallMs() - report.measuredAt);
      const adjusted = { ...report, measuredAt: now - ageMs };
      this.#options.apply({ kind: "load_reported", now, report: adjusted });
    }
  }

  /** Applies a view of the members that control has just sent. */
  confirmView(view: membership.MemberView): void {
    this.#members = view.members;
    this.#options.guard.applyView(view, this.#options.readNow());
  }

  /**
   * Recomputes this entry's shares from the demand here and at other entries.
   *
   * @param own Demand at this entry.
   * @param others Demand at other entries.
   */
  applyDemands(
    own: readonly decisions.CustomerDemand[],
    others: readonly rpc.EntryDemand[],
  ): void {
    const otherDemands = others.map((other) => other.demand);
    this.#shares.update(own, otherDemands, this.#getShareInputs());
    this.#sendCustomers();
  }

  /** Invalidates the confirmation of the view after this process was paused. */
  handlePause(): void {
    this.#options.guard.handlePause();
    this.refreshShares();
  }

  /** Sends the decider the shares that time or a confirmed view has changed. */
  refreshShares(): void {
    for (const facts of this.#endpoints.values()) this.#sendEndpoint(facts);
  }

  /** Whether an endpoint with `running` calls of this entry may get another one. */
  mayCall(endpointId: EndpointId, running: number): boolean {
    const facts = this.#endpoints.get(endpointId);
    if (!facts) return false;
    return running < this.#getShare(facts);
  }

  /** Records an answer of an endpoint, which counts towards its warm-up. */
  recordAnswer(endpointId: EndpointId, instance: InstanceId): void {
    const facts = this.#endpoints.get(endpointId);
    if (!facts) return;
    const hasRestarted = facts.instance !== "" && facts.instance !== instance;
    if (hasRestarted) {
      return this.#applyObservation({ endpointId, instance, news: "cold" });
    }
    const isWarm = this.#options.guard.recordCallFinished(
      endpointId,
      instance,
    );
    if (isWarm) this.#applyObservation({ endpointId, instance, news: "warm" });
  }

  /** Records a call that failed without an answer. */
  recordFailure(endpointId: EndpointId): void {
    this.#options.guard.recordCallFailed(endpointId);
  }

  /**
   * Records that all connections to an address broke, or that a connect failed.
   *
   * Detects an unannounced restart of an endpoint: it is cold, but every entry would
   * keep sending as to a warm one. A restart breaks the connections, so the endpoint
   * gets no calls until it has reported again. It is probed immediately, so that a
   * connection that broke for another reason costs only a few milliseconds.
   */
  recordDisconnect(address: string): void {
    for (const facts of this.#endpoints.values()) {
      if (facts.address === address && isInUse(facts)) void this.#probe(facts);
    }
  }

  /**
   * Reads every endpoint that may be called, to keep a connection to it open.
   *
   * Otherwise restarts could go undetected: {@link recordDisconnect} needs an open
   * connection that breaks, and there is none to a service that was idle for some
   * seconds or whose non-repeatable calls each use a fresh connection. A read within
   * the keep-alive timeout of the server keeps one open.
   */
  readEndpoints(): void {
    for (const facts of this.#endpoints.values()) {
      if (isInUse(facts)) void this.#options.readReport(facts);
    }
  }

  async #probe(previous: EndpointFacts): Promise<void> {
    const { endpointId, instance } = previous;
    const suspected: EndpointFacts = {
      ...previous,
      state: ENDPOINT_STATE.silent,
    };
    this.#applyEndpoint(suspected);
    const report = await this.#options.readReport(previous);
    // Control may have sent an update in the meantime.
    if (this.#endpoints.get(endpointId) !== suspected) return;
    const isUnchanged = report?.instance === instance &&
      report.state === previous.state;
    if (isUnchanged) return this.#applyEndpoint(previous);
    const news = report ? "cold" : "silent";
    const currentInstance = report?.instance ?? instance;
    this.#applyObservation({
      endpointId,
      instance: currentInstance,
      news,
    });
  }

  #applyObservation(observation: membership.EndpointObservation): void {
    const facts = this.#endpoints.get(observation.endpointId);
    if (!facts || observation.news === "answered") return;
    const { instance } = observation;
    this.#applyEndpoint({ ...facts, instance, state: observation.news });
    this.#options.reportEndpoint(observation);
  }

  #applyConfiguration(versioned: configuration.VersionedConfiguration): void {
    // Versions only increase: an older one comes from a control that lags behind.
    if (versioned.version <= (this.#site?.version ?? 0)) return;
    const parsed = settings.parseConfiguration(versioned.configuration);
    if (parsed.isErr()) return;
    const resolved = settings.buildSiteConfiguration(
      parsed.value,
      this.#options.site,
    );
    if (resolved.isErr()) return;
    const { pipelines, customers, zonesOut } = resolved.value;
    const { version } = versioned;
    this.#site = { version, pipelines, customers };
    this.#customers = [...customers.values()];
    this.#shares.reset();
    this.#configuredAt = Math.min(this.#configuredAt, this.#options.readNow());
    this.#options.apply({
      kind: "zones_changed",
      now: this.#options.readNow(),
      random: this.#options.drawRandom(),
      zonesOut,
    });
    this.#sendCustomers();
    this.#options.onConfiguration(version);
  }

  #hasEndpointForEveryStage(): boolean {
    if (!this.#site) return false;
    const usableServices = new Set(
      [...this.#endpoints.values()]
        .filter((facts) => this.#getShare(facts) > 0)
        .map((facts) => facts.service),
    );
    const stages = [...this.#site.pipelines.values()].flatMap((pipeline) =>
      pipeline.stages
    );
    return stages.every((stage) => usableServices.has(stage.service));
  }

  #applyMembers(members: readonly MemberFacts[]): void {
    const liveBefore = countLiveMembers(this.#members);
    this.#members = members;
    const now = this.#options.readNow();
    this.#options.guard.applyView({ members, confirmedAt: undefined }, now);
    if (countLiveMembers(members) !== liveBefore) this.#sendCustomers();
  }

  #sendCustomers(): void {
    const customers = this.#shares.getCustomers(this.#getShareInputs());
    const serialized = JSON.stringify(customers);
    if (serialized === this.#sentCustomers) return;
    this.#sentCustomers = serialized;
    const now = this.#options.readNow();
    this.#options.apply({ kind: "customers_changed", now, customers });
  }

  #getShareInputs(): ShareInputs {
    return {
      customers: this.#customers,
      endpoints: this.#endpoints.values(),
      liveEntries: countLiveMembers(this.#members),
    };
  }

  #applyEndpoint(facts: EndpointFacts): void {
    const now = this.#options.readNow();
    const { endpointId } = facts;
    if (facts.state === ENDPOINT_STATE.gone) {
      this.#endpoints.delete(endpointId);
      this.#sentShares.delete(endpointId);
      this.#options.guard.removeEndpoint(endpointId);
      this.#options.apply({ kind: "endpoint_removed", now, endpointId });
      return;
    }
    this.#endpoints.set(endpointId, facts);
    this.#options.guard.applyEndpoint(facts, now);
    this.#sentShares.delete(endpointId);
    this.#sendEndpoint(facts);
  }

  #sendEndpoint(endpoint: EndpointFacts): void {
    const slice = this.#getShare(endpoint);
    if (this.#sentShares.get(endpoint.endpointId) === slice) return;
    this.#sentShares.set(endpoint.endpointId, slice);
    this.#options.apply({
      kind: "endpoint_changed",
      now: this.#options.readNow(),
      random: this.#options.drawRandom(),
      endpoint,
      slice,
    });
  }

  /**
   * Returns this entry's share of an endpoint: for a warm one by demand, for any
   * other one the limit of the warm-up guard.
   */
  #getShare(facts: EndpointFacts): number {
    if (facts.state !== ENDPOINT_STATE.warm) {
      const { guard, readNow } = this.#options;
      return guard.getCallLimit(facts.endpointId, readNow());
    }
    return this.#shares.getWarmShare(facts, countLiveMembers(this.#members));
  }
}

function countLiveMembers(members: readonly MemberFacts[]): number {
  return members.filter((member) => member.state === "live").length;
}

function isInUse({ state }: EndpointFacts): boolean {
  return state === ENDPOINT_STATE.cold || state === ENDPOINT_STATE.warming ||
    state === ENDPOINT_STATE.warm;
}
