/**
 * The record that an endpoint table keeps for one endpoint.
 *
 * @module
 */
import {
  type Address,
  ENDPOINT_STATE,
  type EndpointFacts,
  type EndpointId,
  type EndpointRole,
  type EndpointState,
  type InstanceId,
  type ServiceId,
  type ZoneId,
} from "@sardinestep/types";

/**
 * Limit on each of a row's lists of instances, which are kept so that delayed
 * messages can't restore a former one.
 */
const INSTANCES_KEPT = 8;

/** An endpoint's fixed properties in the platform's endpoint list. */
export interface EndpointSpec {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
}

/** An endpoint with its state in the platform's endpoint list. */
export interface ListedEndpointFacts extends EndpointSpec {
  readonly state: "live" | "leaving";
}

/** An entry's direct observation of an endpoint. */
export interface EndpointObservation {
  readonly endpointId: EndpointId;
  /** The observed instance; empty when unknown. */
  readonly instance: InstanceId;
  readonly news: "silent" | "cold" | "warm" | "leaving" | "answered";
}

/** One endpoint, with the evidence that later messages are compared with. */
export interface EndpointRow {
  spec: EndpointSpec;
  instance: InstanceId;
  formerInstances: InstanceId[];
  state: EndpointState;
  listedAs: "live" | "leaving" | undefined;
  /** Instances other than the known one that other VMs report as leaving. */
  leavingInstances: InstanceId[];
  /** Measurement time of the newest applied report. */
  reportedAt: number;
  /** When direct evidence last gave this instance a negative state. */
  negativeEvidenceAt: number;
  /** When direct evidence last changed the row; selects rows to gossip. */
  localEvidenceAt: number;
  /** When it left the list; decides when the row expires. */
  unlistedAt: number;
}

/** Creates the row of a newly listed endpoint, cold until shown to be warm. */
export function createEndpointRow(spec: EndpointSpec): EndpointRow {
  return {
    spec,
    instance: "",
    formerInstances: [],
    leavingInstances: [],
    state: ENDPOINT_STATE.cold,
    listedAs: undefined,
    reportedAt: -Infinity,
    negativeEvidenceAt: -Infinity,
    localEvidenceAt: -Infinity,
    unlistedAt: Infinity,
  };
}

/** How an instance id relates to the instances in a row. */
export type InstanceRelation = "same" | "first" | "new" | "former";

/** Compares an instance id with those in the row; an empty (unknown) id is `same`. */
export function compareInstance(
  row: EndpointRow,
  instance: InstanceId,
): InstanceRelation {
  if (instance === row.instance || instance === "") return "same";
  if (row.formerInstances.includes(instance)) return "former";
  return row.instance === "" ? "first" : "new";
}

/**
 * Switches to a new instance, which is cold whatever its predecessor's state.
 *
 * An endpoint may restart unannounced. While it still counts as warm, it gets the
 * load of a warm endpoint and becomes overloaded. The new instance id is the
 * earliest sign of a restart.
 */
export function startNewInstance(row: EndpointRow, instance: InstanceId): void {
  if (row.instance !== "") addInstance(row.formerInstances, row.instance);
  row.instance = instance;
  row.state = getInitialState(row);
  row.reportedAt = -Infinity;
  row.negativeEvidenceAt = -Infinity;
}

/** Records that an instance not yet known to this table is leaving. */
export function addLeavingInstance(
  row: EndpointRow,
  instance: InstanceId,
): void {
  if (row.leavingInstances.includes(instance)) return;
  addInstance(row.leavingInstances, instance);
}

function getInitialState(row: EndpointRow): EndpointState {
  // Only the list can add an endpoint.
  if (row.listedAs === undefined) return ENDPOINT_STATE.gone;
  const isLeaving = row.leavingInstances.includes(row.instance);
  return isLeaving ? ENDPOINT_STATE.leaving : ENDPOINT_STATE.cold;
}

function addInstance(instances: InstanceId[], instance: InstanceId): void {
  instances.push(instance);
  if (instances.length > INSTANCES_KEPT) instances.shift();
}

/** Builds the facts that are sent to other processes. */
export function buildEndpointFacts(row: EndpointRow): EndpointFacts {
  return { ...row.spec, instance: row.instance, state: row.state };
}

const NEGATIVE_STATES: ReadonlySet<EndpointState> = new Set([
  ENDPOINT_STATE.cold,
  ENDPOINT_STATE.silent,
  ENDPOINT_STATE.leaving,
  ENDPOINT_STATE.gone,
]);

/** Tells whether a state reduces usable capacity. */
export function isNegative(state: EndpointState): boolean {
  return NEGATIVE_STATES.has(state);
}

/** States by how much capacity they remove; the more severe one prevails. */
const SEVERITY = {
  warm: 0,
  warming: 1,
  cold: 2,
  silent: 3,
  leaving: 4,
  gone: 5,
} as const satisfies Record<EndpointState, number>;

/**
 * Tells whether a state is at least as severe as another. Such a state applies
 * without newer evidence; `cold` must not replace `silent`.
 */
export function isAtLeastAsSevere(
  state: EndpointState,
  other: EndpointState,
): boolean {
  return SEVERITY[state] >= SEVERITY[other];
}

/** Tells whether only a new instance can replace a state. */
export function isFinal(state: EndpointState): boolean {
  return state === ENDPOINT_STATE.leaving || state === ENDPOINT_STATE.gone;
}
