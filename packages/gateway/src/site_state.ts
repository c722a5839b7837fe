/**
 * This VM's view of the operator's configuration, endpoints, zones and members,
 * as read from the registry or received from other VMs.
 *
 * @module
 */
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as quarantine from "@sardinestep/quarantine";
import type * as rollout from "@sardinestep/rollout";
import * as serving from "@sardinestep/serving";
import {
  type Address,
  type EndpointId,
  getEpoch,
  NO_POSITION,
  type RegistryPosition,
  type ServiceId,
  type ZoneId,
} from "@sardinestep/types";
import { EVENT, type NoticeSource, type UpdateSource } from "./events.ts";
import { RolloutOrders } from "./rollout_orders.ts";
import {
  STATE_PART,
  type StateArrival,
  type StatePart,
  StatePositions,
} from "./state_positions.ts";
import { ZonesOut } from "./zones_out.ts";

/** Grace period of VMs that stop where none is set, in milliseconds. */
const DEFAULT_GRACE_MS = 8_000;

/** A VM, by the version of its configuration. */
interface ConfigurationHolder {
  /** Unset if it is unknown or the VM has none. */
  readonly configurationVersion?: number;
}

/** The operator's state besides the configuration. */
export interface OperatorListing {
  readonly zonesOut: readonly ZoneId[];
  /** Services that have an order, also where its record is invalid. */
  readonly orderedServices: readonly ServiceId[];
  readonly rolloutOrders: readonly rollout.RolloutOrder[];
}

/**
 * Holds the newest known state.
 *
 * Versions never decrease within a process: an older configuration from a slow read
 * or another VM is ignored.
 */
export class SiteState {
  /** The operator's roll-out orders. */
  readonly orders: RolloutOrders;
  /** Requests that are refused because they crash their endpoints. */
  readonly quarantined = new quarantine.QuarantineList();
  /** Endpoints that announced their shutdown. */
  readonly leaving = new serving.LeavingEndpoints();
  /** VMs that are no longer members and may still send requests. */
  readonly departed: serving.DepartedMembers;
  readonly #events: logger.EventLog;
  readonly #endpoints = new serving.EndpointDirectory();
  readonly #members = new Map<string, serving.ServingMember>();
  readonly #zonesOut: ZonesOut;
  #memberList: readonly serving.ServingMember[] | undefined;
  #memberVersion = 0;
  #configuration: serving.ServingConfiguration | undefined;
  #table: serving.RouteTable | undefined;
  readonly #positions: StatePositions;
  /** Epoch of the newest position; it grows when the registry is restored. */
  #epoch = getEpoch(NO_POSITION);
  readonly #syncedAt = new Map<StatePart, number>();
  #configuredAt = -Infinity;
  #restoredAt = -Infinity;

  /**
   * @param events Log of state changes.
   * @param metrics Counts what arrives.
   * @param graceMs Longest time for which a VM that stops sends requests, in ms.
   */
  constructor(
    events: logger.EventLog,
    metrics?: metrics.Metrics,
    graceMs = DEFAULT_GRACE_MS,
  ) {
    this.#events = events;
    this.departed = new serving.DepartedMembers(graceMs);
    this.#positions = new StatePositions(metrics);
    this.orders = new RolloutOrders(events);
    this.#zonesOut = new ZonesOut(events);
  }

  /** Lookup table of the current configuration, once there is one. */
  get table(): serving.RouteTable | undefined {
    return this.#table;
  }

  /** Whether configuration and endpoints are known, so requests can be served. */
  get isComplete(): boolean {
    return this.#table !== undefined && this.endpointPosition >= 0;
  }

  get operatorPosition(): number {
    return this.positions.operatorPosition;
  }

  get endpointPosition(): number {
    return this.positions.endpointPosition;
  }

  get memberPosition(): number {
    return this.positions.memberPosition;
  }

  get quarantinePosition(): number {
    return this.positions.quarantinePosition;
  }

  /** Position up to which each topic has been read. */
  get positions(): serving.ReadPositions {
    return this.#positions.all;
  }

  /** Epoch of the newest state that this VM has; -1 if it has none. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Monotonic time at which the state was last in sync with the registry. */
  get syncedAt(): number {
    return Math.min(
      this.#syncedAt.get(STATE_PART.operator) ?? -Infinity,
      this.#syncedAt.get(STATE_PART.endpoints) ?? -Infinity,
    );
  }

  /** Monotonic time at which the current configuration was applied. */
  get configuredAt(): number {
    return this.#configuredAt;
  }

  get members(): readonly serving.ServingMember[] {
    this.#memberList ??= [...this.#members.values()];
    return this.#memberList;
  }

  /** Ids of all VMs that may send requests: members, and VMs that stop. */
  get senders(): readonly string[] {
    return [...this.#members.keys(), ...this.#getDepartedIds()];
  }

  /** Counts the VMs that may send requests, with this one. */
  countSenders(ownId: string): number {
    const departed = this.#getDepartedIds();
    const isKnown = this.#members.has(ownId) || departed.includes(ownId);
    return this.#members.size + departed.length + (isKnown ? 0 : 1);
  }

  /** Grows by one with each change of the members. */
  get memberVersion(): number {
    return this.#memberVersion;
  }

  /** Applies a configuration unless the current one is as new or newer. */
  applyConfiguration(
    configuration: serving.ServingConfiguration,
    source: UpdateSource,
  ): void {
    const before = this.#configuration?.version;
    if (before !== undefined && configuration.version <= before) return;
    this.#table = new serving.RouteTable(configuration);
    this.#configuration = configuration;
    this.#configuredAt = performance.now();
    this.#events.write(EVENT.configurationApplied, {
      version: configuration.version,
      before,
      source,
      routes: configuration.routes.length,
    });
  }

  /**
   * Applies state that has arrived, unless this VM has newer state of the same part.
   * Everything that has a position comes through here, from wherever it arrives.
   *
   * @param arrival The part, the way and the position of the state.
   * @param change Applies it.
   * @param syncedAt Monotonic time at which it was in sync with the registry.
   * @returns Whether it was applied.
   *
   * @example
   * ```ts
   * const arrival = { part: STATE_PART.operator, kind: "listing", position } as const;
   * site.apply(arrival, () => site.applyOperatorListing(listing, "registry"));
   * ```
   */
  apply(
    arrival: StateArrival,
    change: () => void,
    syncedAt = performance.now(),
  ): boolean {
    if (this.#positions.isOutdated(arrival)) return false;
    const source = arrival.kind === "relayed" ? "peer" : "registry";
    this.updateEpoch(arrival.position, source);
    change();
    this.#positions.update(arrival);
    this.#recordPartSynced(arrival.part, syncedAt);
    return true;
  }

  /** Applies a quarantine entry that is stored in the registry. */
  applyQuarantine(
    entry: quarantine.QuarantineEntry,
    source: UpdateSource,
  ): void {
    if (!this.quarantined.applyStored(entry)) return;
    this.#events.write(EVENT.requestQuarantined, { ...entry, source });
  }

  /** Takes a zone out of service or returns it to service. */
  setZoneOut(zone: ZoneId, isOut: boolean, source: UpdateSource): void {
    this.#zonesOut.set(zone, isOut, source);
  }

  /**
   * Applies a listing of the operator's zones out of service and roll-out orders.
   *
   * A restored registry may lack what the operator wrote last, until it is written
   * again: what is missing from its listing stays in force for a while.
   */
  applyOperatorListing(
    { zonesOut, orderedServices, rolloutOrders }: OperatorListing,
    source: UpdateSource,
  ): void {
    this.#zonesOut.applyListing(new Set(zonesOut), source);
    if (!this.#isRestoring) {
      this.orders.keep(new Set(orderedServices));
    }
    for (const order of rolloutOrders) this.orders.apply(order, source);
  }

  /** Ends what the operator has not written again after a restore of the registry. */
  dropUnlisted(): void {
    if (this.#isRestoring) return;
    this.#zonesOut.dropUnlisted();
    this.orders.dropBefore(this.#operatorEpoch);
  }

  /**
   * Monotonic time until which a restored registry may lack what was written last, so
   * that nothing is ended because it is missing.
   */
  get restoringUntil(): number {
    return this.#restoredAt + serving.RESTORE_GRACE_MS;
  }

  get #isRestoring(): boolean {
    return performance.now() < this.restoringUntil;
  }

  get #operatorEpoch(): number {
    return getEpoch(this.operatorPosition);
  }

  /** Whether a zone is out of service, so its endpoints get no requests. */
  isZoneOut(zone: ZoneId): boolean {
    return this.#zonesOut.has(zone);
  }

  /** Whether a zone returned so recently that its endpoints may be cold. */
  isZoneRecentlyReturned(zone: ZoneId, now: number): boolean {
    return this.#zonesOut.isRecentlyReturned(zone, now);
  }

  /** Applies a new registry record of an endpoint. */
  updateEndpoint(
    endpoint: serving.ServingEndpoint,
    position: RegistryPosition,
  ): void {
    const now = performance.now();
    const change = this.#endpoints.update(endpoint, now, position);
    this.#handleEndpointRecord(change, endpoint);
  }

  /** Applies an endpoint's record of a listing, unless newer facts are known. */
  applyListedEndpoint(
    endpoint: serving.ServingEndpoint,
    position: RegistryPosition,
  ): void {
    const now = performance.now();
    const change = this.#endpoints.updateListed(endpoint, now, position);
    this.#handleEndpointRecord(change, endpoint);
  }

  /** Applies the deletion of an endpoint's registry record. */
  removeEndpoint(id: EndpointId, position: number): void {
    const change = this.#endpoints.remove(id, performance.now(), position);
    this.#logEndpointChange(change, id, "registry");
  }

  /** Removes endpoints that are missing from a complete listing. */
  removeMissing(ids: ReadonlySet<EndpointId>, position: number): void {
    const now = performance.now();
    for (const id of this.#endpoints.removeMissing(ids, now, position)) {
      this.#logEndpointChange("removed", id, "registry");
    }
  }

  /**
   * Notes the epoch of state that is about to be applied.
   *
   * If the registry was restored from a copy, records that are missing from it prove
   * nothing until they are written again, and what VMs wrote may be lost.
   */
  updateEpoch(position: RegistryPosition, source: UpdateSource): void {
    const epoch = getEpoch(position);
    if (epoch <= this.#epoch) return;
    const before = this.#epoch;
    this.#epoch = epoch;
    if (before === getEpoch(NO_POSITION)) return;
    this.#restoredAt = performance.now();
    this.#zonesOut.handleRestore();
    this.#endpoints.handleRegistryRestore(this.#restoredAt);
    this.quarantined.setUnstored();
    this.#events.write(EVENT.registryRestored, { epoch, before, source });
  }

  /** Records that the registry is reachable again after an outage. */
  handleRegistryRecovery(): void {
    this.#endpoints.handleRegistryRecovery(performance.now());
  }

  /** Every known endpoint, including draining ones. */
  getEndpoints(): { endpoint: serving.ServingEndpoint; ageMs: number }[] {
    this.dropExpiredEndpoints();
    return this.#endpoints.getAll(performance.now());
  }

  /** Records that an endpoint announced its shutdown. */
  recordLeaving(
    leaving: serving.LeavingEndpoint,
    source: NoticeSource,
  ): void {
    if (!this.leaving.record(leaving, performance.now())) return;
    const { endpointId, bornMs } = leaving;
    this.#events.write(EVENT.endpointLeaving, {
      endpointId,
      service: this.findEndpoint(endpointId)?.service,
      bornMs,
      source,
    });
  }

  /** Known endpoints of a service, including draining ones. */
  getServiceEndpoints(service: ServiceId): readonly serving.ServingEndpoint[] {
    return this.#endpoints.getOfService(service);
  }

  /** Endpoints of a service that aren't leaving and whose zone is in service. */
  getUsableServiceEndpoints(
    service: ServiceId,
  ): readonly serving.ServingEndpoint[] {
    return this.getServiceEndpoints(service)
      .filter((endpoint) =>
        !endpoint.isDraining && !this.leaving.has(endpoint) &&
        !this.isZoneOut(endpoint.zone)
      );
  }

  /** Finds a known endpoint by its id. */
  findEndpoint(id: EndpointId): serving.ServingEndpoint | undefined {
    return this.#endpoints.find(id);
  }

  /** Finds a known endpoint by its address. */
  findEndpointByAddress(address: Address): serving.ServingEndpoint | undefined {
    return this.#endpoints.findByAddress(address);
  }

  /** Drops endpoints whose records were lost and not renewed in time. */
  dropExpiredEndpoints(): void {
    for (const id of this.#endpoints.removeExpired(performance.now())) {
      this.#logEndpointChange("removed", id, "registry");
    }
  }

  /** Adds or replaces a member. */
  updateMember(member: serving.ServingMember): void {
    this.departed.remove(member.vmId);
    const before = this.#members.get(member.vmId);
    if (before !== undefined && serving.isSameMember(before, member)) return;
    this.#members.set(member.vmId, member);
    this.#handleMembersChanged();
    this.#events.write(EVENT.memberChanged, { ...member, kind: "known" });
  }

  /** Removes a member that has left. */
  removeMember(vmId: string): void {
    if (!this.#members.delete(vmId)) return;
    this.departed.record(vmId, performance.now());
    this.#handleMembersChanged();
    this.#events.write(EVENT.memberChanged, { vmId, kind: "left" });
  }

  /**
   * Removes members that a complete listing lacks. The first listing may lack VMs that
   * start together with this one, and that of a restored registry any VM.
   */
  removeMissingMembers(vmIds: ReadonlySet<string>): void {
    if (this.memberPosition === NO_POSITION || this.#isRestoring) return;
    this.#removeMembersExcept(vmIds);
  }

  /**
   * Whether a VM's configuration is older than this VM's. Equal positions don't show
   * it: a VM that starts reads an earlier version from a restored registry.
   */
  #hasNewerConfiguration(
    { configurationVersion }: ConfigurationHolder,
  ): boolean {
    const own = this.#configuration?.version;
    return own !== undefined && configurationVersion !== undefined &&
      own > configurationVersion;
  }

  /** State that is missing on a VM that has read up to the given positions. */
  getUpdateSince(
    holder: serving.ReadPositions & ConfigurationHolder,
  ): serving.SiteUpdate | undefined {
    const own = this.positions;
    const hasNewerConfiguration = this.#hasNewerConfiguration(holder);
    if (!hasNewerConfiguration && !serving.isNewer(own, holder)) {
      return undefined;
    }
    const now = performance.now();
    const isAhead = (name: keyof serving.ReadPositions) =>
      own[name] > holder[name];
    return {
      ...own,
      operator: hasNewerConfiguration || isAhead("operatorPosition")
        ? {
          configuration: this.#configuration,
          zonesOut: this.#zonesOut.getAll(),
          unverifiedZones: this.#getUnverifiedZones(),
          rolloutOrders: this.orders.getAll(),
        }
        : undefined,
      endpoints: isAhead("endpointPosition")
        ? this.#endpoints.getUpdateSince(holder.endpointPosition, now)
        : undefined,
      members: isAhead("memberPosition") ? this.members : undefined,
      quarantined: isAhead("quarantinePosition")
        ? this.quarantined.getStored()
        : undefined,
    };
  }

  /**
   * Merges another VM's state that is newer than this VM's.
   *
   * @param update The other VM's state.
   * @param syncedAt Monotonic time at which that was in sync with the registry.
   */
  mergeUpdate(update: serving.SiteUpdate, syncedAt: number): void {
    this.updateEpoch(getNewestPosition(update), "peer");
    const { operator, endpoints, members, quarantined } = update;
    const applyPart = (part: StatePart, change: () => void) =>
      this.apply(
        { part, kind: "relayed", position: update[part] },
        change,
        syncedAt,
      );
    // Versions alone order configurations, whichever records they come from.
    if (operator?.configuration !== undefined) {
      this.applyConfiguration(operator.configuration, "peer");
    }
    if (operator !== undefined) {
      applyPart(STATE_PART.operator, () => this.#mergeOperator(operator));
    }
    if (endpoints !== undefined) {
      applyPart(
        STATE_PART.endpoints,
        () => this.#mergeEndpoints(endpoints, update.endpointPosition),
      );
    }
    if (members !== undefined) {
      applyPart(STATE_PART.members, () => this.#mergeMembers(members));
    }
    if (quarantined !== undefined) {
      applyPart(
        STATE_PART.quarantine,
        () => this.#mergeQuarantined(quarantined),
      );
    }
  }

  /** Records a time at which the state was in sync with the registry. */
  recordSynced(syncedAt: number): void {
    this.#recordPartSynced(STATE_PART.operator, syncedAt);
    this.#recordPartSynced(STATE_PART.endpoints, syncedAt);
  }

  /** VMs that may still send although they are no longer members. */
  #getDepartedIds(): readonly string[] {
    return this.departed.getIds(performance.now())
      .filter((vmId) => !this.#members.has(vmId));
  }

  #recordPartSynced(part: StatePart, syncedAt: number): void {
    const before = this.#syncedAt.get(part) ?? -Infinity;
    this.#syncedAt.set(part, Math.max(before, syncedAt));
  }

  #mergeMembers(members: readonly serving.ServingMember[]): void {
    this.#removeMembersExcept(new Set(members.map(({ vmId }) => vmId)));
    for (const member of members) this.updateMember(member);
  }

  /** A live VM that is removed here is added again with its next view. */
  #removeMembersExcept(vmIds: ReadonlySet<string>): void {
    for (const { vmId } of this.members) {
      if (!vmIds.has(vmId)) this.removeMember(vmId);
    }
  }

  #mergeQuarantined(entries: readonly quarantine.QuarantineEntry[]): void {
    const kept = new Set(entries.map((entry) => entry.fingerprint));
    this.quarantined.removeStoredExcept(kept);
    for (const entry of entries) this.applyQuarantine(entry, "peer");
  }

  #getUnverifiedZones(): readonly ZoneId[] | undefined {
    const zones = this.#zonesOut.getUnverified();
    return zones.length > 0 ? zones : undefined;
  }

  #mergeOperator(
    { zonesOut, unverifiedZones = [], rolloutOrders }: serving.OperatorState,
  ): void {
    const verified = zonesOut.filter((zone) => !unverifiedZones.includes(zone));
    const orderedServices = rolloutOrders.map(({ service }) => service);
    // Guards a VM that started after the restore and doesn't know of it.
    const isRestoreNew = unverifiedZones.length > 0 && !this.#isRestoring;
    if (isRestoreNew) this.#restoredAt = performance.now();
    this.applyOperatorListing(
      { zonesOut: verified, orderedServices, rolloutOrders },
      "peer",
    );
    this.#zonesOut.addUnverified(unverifiedZones, "peer");
  }

  #mergeEndpoints(update: serving.EndpointUpdate, position: number): void {
    const now = performance.now();
    const changes = this.#endpoints.mergeUpdate(update, now, position);
    for (const { id, change, service } of changes) {
      this.#logEndpointChange(change, id, "peer", service);
    }
    for (const { endpoint } of update.changed) {
      if (endpoint.isDraining) this.#recordDraining(endpoint);
    }
  }

  #handleMembersChanged(): void {
    this.#memberList = undefined;
    this.#memberVersion += 1;
  }

  #handleEndpointRecord(
    change: serving.EndpointChange,
    endpoint: serving.ServingEndpoint,
  ): void {
    const { id, service, isDraining } = endpoint;
    if (isDraining) this.#recordDraining(endpoint);
    this.#logEndpointChange(change, id, "registry", service);
  }

  /** A process that has announced its shutdown never takes requests again. */
  #recordDraining({ id, bornMs }: serving.ServingEndpoint): void {
    if (bornMs === undefined) return;
    this.leaving.record({ endpointId: id, bornMs }, performance.now());
  }

  #logEndpointChange(
    change: serving.EndpointChange,
    endpointId: EndpointId,
    source: UpdateSource,
    service?: string,
  ): void {
    if (change === "none") return;
    this.#events.write(EVENT.endpointChanged, {
      endpointId,
      change,
      source,
      service,
    });
  }
}

function getNewestPosition(positions: serving.ReadPositions): RegistryPosition {
  const {
    operatorPosition,
    endpointPosition,
    memberPosition,
    quarantinePosition,
  } = positions;
  return Math.max(
    operatorPosition,
    endpointPosition,
    memberPosition,
    quarantinePosition,
  );
}
