/**
 * State of the roll-outs of all services on this VM.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as rollout from "@sardinestep/rollout";
import type * as serving from "@sardinestep/serving";
import type { ServiceId, ZoneId } from "@sardinestep/types";
import { EVENT } from "./events.ts";
import type { SiteState } from "./site_state.ts";

/** Dependencies of {@link Rollouts}. */
export interface RolloutsOptions {
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
  readonly vmId: string;
  readonly zone: ZoneId;
  readonly settings: rollout.RolloutSettings;
  /** Called when this VM stops a version, to notify the other VMs at once. */
  readonly handleVersionStopped: () => void;
}

/** Versions that serve a service without a roll-out order. */
interface EstablishedVersions {
  /** Endpoint list from which they were derived; recomputed for another list. */
  readonly endpoints: readonly serving.ServingEndpoint[];
  readonly versions: ReadonlySet<string>;
}

/** Executes the operator's orders and decides which version serves a request. */
export class Rollouts {
  readonly #options: RolloutsOptions;
  readonly #runs = new Map<ServiceId, rollout.RolloutRun>();
  readonly #established = new Map<ServiceId, EstablishedVersions>();
  readonly #startId = Math.round(performance.timeOrigin);
  #settings: rollout.RolloutSettings;

  /** @param options Site state, settings and this VM. */
  constructor(options: RolloutsOptions) {
    this.#options = options;
    this.#settings = options.settings;
  }

  /** Roll-outs whose final state has not been reported yet. */
  get unsettledRuns(): readonly rollout.RolloutRun[] {
    return [...this.#runs.values()].filter((run) => !run.isSettled);
  }

  /** Roll-outs whose final state has been reported. */
  get settledRuns(): readonly rollout.RolloutRun[] {
    return [...this.#runs.values()].filter((run) => run.isSettled);
  }

  /** Applies other settings. */
  setSettings(settings: rollout.RolloutSettings): void {
    this.#settings = settings;
    for (const run of this.#runs.values()) run.setSettings(settings);
  }

  /** Updates all roll-outs from the current orders, endpoints, answers and time. */
  update(): void {
    // Before the orders are known, the versions of all endpoints would count as
    // established.
    if (!this.#options.site.isComplete) return;
    this.#syncOrders();
    for (const service of this.#options.site.table?.services.keys() ?? []) {
      this.#updateEstablished(service);
    }
    const now = performance.now();
    for (const run of this.#runs.values()) this.#updateRun(run, now);
  }

  /** Whether an endpoint may get requests for the present or target version. */
  mayUse(endpoint: serving.ServingEndpoint, side: rollout.Side): boolean {
    const versionUse = this.#getVersionUse(endpoint);
    if (versionUse !== side) return false;
    if (versionUse === rollout.SIDE.present) return true;
    return this.#runs.get(endpoint.service)?.mayUse(endpoint.id) ?? false;
  }

  /** Whether a stream of an endpoint's version may go on at this endpoint. */
  mayResume({ id, service, version = "" }: serving.ServingEndpoint): boolean {
    const run = this.#runs.get(service);
    const { order, phase } = run ?? {};
    if (!rollout.mayResumeAt({ version, order, phase })) return false;
    return version !== order?.target || run!.mayUse(id);
  }

  /** Versions that may serve a new request of a session, preferred one first. */
  planSides(service: ServiceId, session: string): readonly rollout.Side[] {
    const run = this.#runs.get(service);
    const side = run?.pickSide(session, performance.now());
    return side === rollout.SIDE.target ? BOTH_SIDES : PRESENT_ONLY;
  }

  /** Versions that may serve a retry; the target only once proven, at full share. */
  planRetrySides(service: ServiceId): readonly rollout.Side[] {
    return this.#getShare(service) >= 1 ? BOTH_SIDES : PRESENT_ONLY;
  }

  /** Versions whose endpoints may get a call of pieces. */
  planCallSides(service: ServiceId): readonly rollout.Side[] {
    const share = this.#getShare(service);
    if (share === 0) return PRESENT_ONLY;
    if (share >= 1) return [rollout.SIDE.target];
    const mayUseTarget = this.#runs.get(service)?.mayRouteCallToTarget(share) ??
      false;
    return mayUseTarget ? BOTH_SIDES : PRESENT_ONLY;
  }

  /** Records that a request was sent to an endpoint. */
  recordSent(endpoint: serving.ServingEndpoint, route: string): void {
    const run = this.#runs.get(endpoint.service);
    run?.recordSent(buildSentRequest(run, endpoint, route));
  }

  /** Records the outcome of a sent request. */
  recordEnd(
    endpoint: serving.ServingEndpoint,
    route: string,
    outcome: rollout.SentRequestOutcome,
  ): void {
    const run = this.#runs.get(endpoint.service);
    run?.recordEnd(buildSentRequest(run, endpoint, route), outcome);
  }

  /** State for the other VMs; undefined if there is no order. */
  getUpdates(): readonly rollout.RolloutUpdate[] | undefined {
    if (this.#runs.size === 0) return undefined;
    const now = performance.now();
    return [...this.#runs.values()].map((run) => run.getUpdate(now));
  }

  /** Merges another VM's state of the orders that this VM knows. */
  mergeUpdates(updates: readonly rollout.RolloutUpdate[]): void {
    const now = performance.now();
    for (const update of updates) {
      const run = this.#runs.get(update.order.service);
      if (run?.order.position !== update.order.position) continue;
      this.#changeRun(run, () => run.mergeUpdate(update, now));
    }
  }

  /** Records the stored status of a roll-out, or that there is none yet. */
  recordReport(
    run: rollout.RolloutRun,
    status: rollout.RolloutStatus | undefined,
  ): void {
    this.#changeRun(run, () => run.recordReport(status, readClocks()));
  }

  #syncOrders(): void {
    const { site, vmId, zone } = this.#options;
    for (const service of [...this.#runs.keys()]) {
      if (!site.orders.has(service)) this.#runs.delete(service);
    }
    for (const order of site.orders.getAll()) {
      const known = this.#runs.get(order.service);
      if (known?.order.position === order.position) continue;
      if (
        known !== undefined && site.orders.isContinuation(order, known.order)
      ) {
        known.setOrder(order);
        continue;
      }
      const run = new rollout.RolloutRun({
        order,
        vmId,
        zone,
        startId: this.#startId,
        settings: this.#settings,
        now: performance.now(),
        isTargetAlone: this.#isTargetAlone(order),
      });
      this.#runs.set(order.service, run);
    }
  }

  #isTargetAlone({ service, target }: rollout.RolloutOrder): boolean {
    const endpoints = this.#options.site.getServiceEndpoints(service);
    return endpoints.length > 0 &&
      endpoints.every((endpoint) => endpoint.version === target);
  }

  #updateRun(run: rollout.RolloutRun, now: number): void {
    const { site } = this.#options;
    const usable = site.getUsableServiceEndpoints(run.order.service);
    const isTarget = (endpoint: serving.ServingEndpoint) =>
      endpoint.version === run.order.target;
    const target = usable.filter(isTarget);
    this.#changeRun(run, () =>
      run.updatePhase({
        target: target.map((endpoint) => endpoint.id),
        targetSlots: getFewestSlots(target),
        present: usable.length - target.length,
      }, now));
    this.#options.metrics.setGauge(
      "rollout_target_share",
      { service: run.order.service },
      run.getShare(now),
    );
  }

  /** Applies a change to a roll-out; logs it if the phase changes. */
  #changeRun(run: rollout.RolloutRun, change: () => void): void {
    const before = run.phase.kind;
    change();
    const { phase, order, tally } = run;
    if (phase.kind === before) return;
    if (phase.kind === "stopped") this.#options.handleVersionStopped();
    const now = performance.now();
    this.#options.events.write(EVENT.rolloutChanged, {
      service: order.service,
      target: order.target,
      position: order.position,
      before,
      phase: phase.kind,
      reason: "reason" in phase ? phase.reason : undefined,
      state: phase.kind === "settled" ? phase.state : undefined,
      elapsedMs: Math.round(run.getElapsedMs(now)),
      durationMs: order.durationMs,
      verdict: run.verdict.kind,
      answers: rollout.formatTally(tally),
    });
  }

  #getShare(service: ServiceId): number {
    return this.#runs.get(service)?.getShare(performance.now()) ?? 0;
  }

  #getVersionUse(endpoint: serving.ServingEndpoint): rollout.VersionUse {
    const { service, version = "" } = endpoint;
    const run = this.#runs.get(service);
    // The result depends on the established versions, which may not be known yet.
    if (!this.#established.has(service)) this.update();
    const established = this.#established.get(service)?.versions;
    return rollout.decideVersionUse({
      version,
      established: established ?? new Set([version]),
      order: run?.order,
      phase: run?.phase,
    });
  }

  /**
   * The versions that are registered first serve without an order. They stay
   * established while any of their endpoints is registered.
   */
  #updateEstablished(service: ServiceId): void {
    const endpoints = this.#options.site.getServiceEndpoints(service);
    const known = this.#established.get(service);
    if (known?.endpoints === endpoints || endpoints.length === 0) return;
    const run = this.#runs.get(service);
    const versions = rollout.planEstablishedVersions({
      known: known?.versions ?? new Set(),
      registered: new Set(endpoints.map((endpoint) => endpoint.version ?? "")),
      order: run?.order,
      phase: run?.phase,
    });
    this.#established.set(service, { endpoints, versions });
  }
}

const PRESENT_ONLY: readonly rollout.Side[] = [rollout.SIDE.present];
const BOTH_SIDES: readonly rollout.Side[] = [
  rollout.SIDE.target,
  rollout.SIDE.present,
];

function getFewestSlots(
  endpoints: readonly serving.ServingEndpoint[],
): number | undefined {
  if (endpoints.length === 0) return undefined;
  return Math.min(...endpoints.map((endpoint) => endpoint.slots));
}

/** Reads the monotonic clock and the wall clock. */
export function readClocks(): rollout.RolloutClocks {
  return { now: performance.now(), unixMs: Date.now() };
}

function buildSentRequest(
  run: rollout.RolloutRun,
  endpoint: serving.ServingEndpoint,
  route: string,
): rollout.SentRequest {
  const side = endpoint.version === run.order.target
    ? rollout.SIDE.target
    : rollout.SIDE.present;
  return { side, route, endpointId: endpoint.id };
}
