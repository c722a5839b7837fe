/**
 * What an endpoint table notes of one endpoint.
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

/** Other instances remembered, so that late news can't revive one. */
const INSTANCES_KEPT = 8;

/** An endpoint as the platform's list names it. */
export interface ListedPlace {
  readonly endpointId: EndpointId;
  readonly service: ServiceId;
  readonly role: EndpointRole;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
}

/** An endpoint of the platform's list with its state there. */
export interface ListedEndpointFacts extends ListedPlace {
  readonly state: "live" | "leaving";
}

/** What an entry has seen of an endpoint itself. */
export interface EndpointNews {
  readonly endpointId: EndpointId;
  /** The run that it was seen of; empty when the entry does not know it. */
  readonly instance: InstanceId;
  readonly news: "silent" | "cold" | "warm" | "leaving" | "answered";
}

/** One endpoint with the evidence that later news is compared with. */
export interface EndpointRow {
  place: ListedPlace;
  instance: InstanceId;
  formerInstances: InstanceId[];
  state: EndpointState;
  listed: "live" | "leaving" | undefined;
  /** Runs other than the known one that others say are leaving. */
  leavingInstances: InstanceId[];
  /** When the newest report that was used was measured. */
  reportedAt: number;
  /** When negative news of this instance arrived, by first-hand evidence. */
  negativeAt: number;
  /** When first-hand evidence last changed the row; for gossip. */
  ownNewsAt: number;
  /** When the list dropped it; for forgetting. */
  goneAt: number;
}

/** Makes the row of an endpoint that was just listed: cold until proved warm. */
export function createEndpointRow(place: ListedPlace): EndpointRow {
  return {
    place,
    instance: "",
    formerInstances: [],
    leavingInstances: [],
    state: ENDPOINT_STATE.cold,
    listed: undefined,
    reportedAt: -Infinity,
    negativeAt: -Infinity,
    ownNewsAt: -Infinity,
    goneAt: Infinity,
  };
}

/** How an instance id relates to the one that the row knows. */
export type InstanceRelation = "same" | "first" | "new" | "former";

/** Compares an instance id with those that the row knows; empty is not known. */
export function compareInstance(
  row: EndpointRow,
  instance: InstanceId,
): InstanceRelation {
  if (instance === row.instance || instance === "") return "same";
  if (row.formerInstances.includes(instance)) return "former";
  return row.instance === "" ? "first" : "new";
}

/**
 * Starts a new run: at once cold, whatever was known of the run before.
 *
 * An endpoint restarts without notice; as long as it counts as warm it gets the
 * load of a warm one and falls over. The new instance id is the earliest sign.
 */
export function setNewRun(row: EndpointRow, instance: InstanceId): void {
  if (row.instance !== "") addInstance(row.formerInstances, row.instance);
  row.instance = instance;
  row.state = getFirstState(row);
  row.reportedAt = -Infinity;
  row.negativeAt = -Infinity;
}

/** Notes that a run which this table does not know is leaving. */
export function addLeaving(row: EndpointRow, instance: InstanceId): void {
  if (row.leavingInstances.includes(instance)) return;
  addInstance(row.leavingInstances, instance);
}

function getFirstState(row: EndpointRow): EndpointState {
  // Only the list says that an endpoint is there.
  if (row.listed === undefined) return ENDPOINT_STATE.gone;
  const isLeaving = row.leavingInstances.includes(row.instance);
  return isLeaving ? ENDPOINT_STATE.leaving : ENDPOINT_STATE.cold;
}

function addInstance(instances: InstanceId[], instance: InstanceId): void {
  instances.push(instance);
  if (instances.length > INSTANCES_KEPT) instances.shift();
}

/** Turns a row into facts. */
export function buildEndpointFacts(row: EndpointRow): EndpointFacts {
  return { ...row.place, instance: row.instance, state: row.state };
}

const NEGATIVE: ReadonlySet<EndpointState> = new Set([
  ENDPOINT_STATE.cold,
  ENDPOINT_STATE.silent,
  ENDPOINT_STATE.leaving,
  ENDPOINT_STATE.gone,
]);

/** Tells whether a state takes capacity away. */
export function isNegative(state: EndpointState): boolean {
  return NEGATIVE.has(state);
}

/** How much a state takes away; the order in which negative news wins. */
const SEVERITY = {
  warm: 0,
  warming: 1,
  cold: 2,
  silent: 3,
  leaving: 4,
  gone: 5,
} as const satisfies Record<EndpointState, number>;

/**
 * Tells whether a state takes as much away as another one, or more. That needs no
 * newer proof; `cold` must not hide that an endpoint is `silent`.
 */
export function isAsBad(state: EndpointState, other: EndpointState): boolean {
  return SEVERITY[state] >= SEVERITY[other];
}

/** States that only a new instance undoes. */
export function isFinal(state: EndpointState): boolean {
  return state === ENDPOINT_STATE.leaving || state === ENDPOINT_STATE.gone;
}
