/**
 * What this VM believes of the operator's configuration, endpoints, zones and
 * members, from the registry and from other VMs.
 *
 * @module
 */
import * as serving from "@sardinestep/serving";
import type * as logger from "@sardinestep/logger";
import type { EndpointId, ZoneId } from "@sardinestep/types";
import { EVENT } from "./events.ts";

/** Where facts came from, for the log. */
export type FactsSource = "registry" | "peer";

/** A zone that is taken back may hold cold endpoints; they warm up within it. */
const COLD_SUSPICION_AFTER_ZONE_MS = 3_000;

/**
 * Holds the newest facts.
 *
 * Versions only grow within a process: an older configuration that a slow read
 * or another VM brings is ignored.
 */
export class SiteState {
  readonly #events: logger.EventLog;
  readonly #endpoints = new serving.EndpointFacts();
  readonly #members = new Map<string, serving.ServingMember>();
  readonly #zonesOut = new Set<ZoneId>();
  readonly #zoneReturnedAt = new Map<ZoneId, number>();
  #configuration: serving.ServingConfiguration | undefined;
  #table: serving.RouteTable | undefined;
  #operatorPosition = -1;
  #endpointPosition = -1;
  #configuredAt = -Infinity;

  /** @param events Where changes of belief are written. */
  constructor(events: logger.EventLog) {
    this.#events = events;
  }

  /** Look-ups over the configuration in force, if there is one yet. */
  get table(): serving.RouteTable | undefined {
    return this.#table;
  }

  /** Whether requests can be served at all. */
  get isComplete(): boolean {
    return this.#table !== undefined && this.#endpointPosition >= 0;
  }

  get operatorPosition(): number {
    return this.#operatorPosition;
  }

  get endpointPosition(): number {
    return this.#endpointPosition;
  }

  /** Steady time at which the configuration in force was applied. */
  get configuredAt(): number {
    return this.#configuredAt;
  }

  get members(): readonly serving.ServingMember[] {
    return [...this.#members.values()];
  }

  /** Applies a configuration unless a newer one is in force. */
  applyConfiguration(
    configuration: serving.ServingConfiguration,
    source: FactsSource,
  ): void {
    const before = this.#configuration?.version;
    if (before !== undefined && configuration.version <= before) return;
    this.#configuration = configuration;
    this.#table = new serving.RouteTable(configuration);
    this.#configuredAt = performance.now();
    this.#events.write(EVENT.configurationApplied, {
      version: configuration.version,
      before,
      source,
      routes: configuration.routes.length,
    });
  }

  /** Notes how far the operator's writes were read. */
  setOperatorPosition(position: number): void {
    this.#operatorPosition = Math.max(this.#operatorPosition, position);
  }

  /** Notes how far the endpoints' writes were read. */
  setEndpointPosition(position: number): void {
    this.#endpointPosition = Math.max(this.#endpointPosition, position);
  }

  /** Takes a zone out of service or back. */
  setZoneOut(zone: ZoneId, isOut: boolean, source: FactsSource): void {
    if (this.#zonesOut.has(zone) === isOut) return;
    if (isOut) this.#zonesOut.add(zone);
    else {
      this.#zonesOut.delete(zone);
      this.#zoneReturnedAt.set(zone, performance.now());
    }
    this.#events.write(EVENT.zoneChanged, { zone, isOut, source });
  }

  /** Replaces the set of zones that are out of service. */
  setZonesOut(zones: ReadonlySet<ZoneId>, source: FactsSource): void {
    for (const zone of [...this.#zonesOut]) {
      if (!zones.has(zone)) this.setZoneOut(zone, false, source);
    }
    for (const zone of zones) this.setZoneOut(zone, true, source);
  }

  /** Whether a zone's endpoints get nothing. */
  isZoneOut(zone: ZoneId): boolean {
    return this.#zonesOut.has(zone);
  }

  /** Whether a zone came back so lately that its endpoints may be cold. */
  isZoneFresh(zone: ZoneId, now: number): boolean {
    const at = this.#zoneReturnedAt.get(zone) ?? -Infinity;
    return now - at < COLD_SUSPICION_AFTER_ZONE_MS;
  }

  /** Takes a record of an endpoint over. */
  updateEndpoint(
    endpoint: serving.ServingEndpoint,
    source: FactsSource,
  ): serving.EndpointChange {
    const now = performance.now();
    const change = this.#endpoints.update(endpoint, now);
    this.#recordEndpoint(change, endpoint.id, source, endpoint.service);
    return change;
  }

  /** Takes the loss of an endpoint's record over. */
  removeEndpoint(id: EndpointId, source: FactsSource): void {
    const change = this.#endpoints.remove(id, performance.now());
    this.#recordEndpoint(change, id, source);
  }

  /** Removes endpoints that a whole listing doesn't name. */
  removeMissing(ids: ReadonlySet<EndpointId>, source: FactsSource): void {
    for (const id of this.#endpoints.removeMissing(ids, performance.now())) {
      this.#recordEndpoint("removed", id, source);
    }
  }

  /** Notes that the registry answers again. */
  handleRegistryReturn(): void {
    this.#endpoints.handleRegistryReturn(performance.now());
  }

  /** Every endpoint that isn't gone, also draining ones. */
  getEndpoints(): { endpoint: serving.ServingEndpoint; ageMs: number }[] {
    const now = performance.now();
    for (const id of this.#endpoints.dropLapsed(now)) {
      this.#recordEndpoint("removed", id, "registry");
    }
    return this.#endpoints.getAll(now);
  }

  /** Adds or replaces a member. */
  updateMember(member: serving.ServingMember): void {
    const before = this.#members.get(member.vmId);
    this.#members.set(member.vmId, member);
    if (before?.rpc === member.rpc) return;
    this.#events.write(EVENT.memberChanged, { ...member, kind: "known" });
  }

  /** Removes a member that has left. */
  removeMember(vmId: string): void {
    if (!this.#members.delete(vmId)) return;
    this.#events.write(EVENT.memberChanged, { vmId, kind: "left" });
  }

  /** Everything, for another VM. */
  getFacts(): serving.SiteFacts {
    return {
      operatorPosition: this.#operatorPosition,
      configuration: this.#configuration,
      zonesOut: [...this.#zonesOut],
      endpointPosition: this.#endpointPosition,
      endpoints: this.getEndpoints().map(({ endpoint }) => endpoint),
      members: this.members,
    };
  }

  /** Takes over what another VM knows and this one doesn't. */
  mergeFacts(facts: serving.SiteFacts): void {
    for (const member of facts.members) {
      if (!this.#members.has(member.vmId)) this.updateMember(member);
    }
    if (facts.operatorPosition > this.#operatorPosition) {
      if (facts.configuration !== undefined) {
        this.applyConfiguration(facts.configuration, "peer");
      }
      this.setZonesOut(new Set(facts.zonesOut), "peer");
      this.#operatorPosition = facts.operatorPosition;
    }
    if (facts.endpointPosition > this.#endpointPosition) {
      for (const one of facts.endpoints) this.updateEndpoint(one, "peer");
      this.removeMissing(
        new Set(facts.endpoints.map((one) => one.id)),
        "peer",
      );
      this.#endpointPosition = facts.endpointPosition;
    }
  }

  #recordEndpoint(
    change: serving.EndpointChange,
    endpointId: EndpointId,
    source: FactsSource,
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
