/**
 * Roll-out orders of operators and the status that is reported for them.
 *
 * @module
 */
import { getOffset, type ServiceId } from "@sardinestep/types";

/** An operator's order to roll a service out to another version. */
export interface RolloutOrder {
  readonly service: ServiceId;
  /** Version to roll out. */
  readonly target: string;
  /** Time within which the roll-out must finish, in milliseconds. */
  readonly durationMs: number;
  /** Position of the order in the registry; increases with each order. */
  readonly position: number;
}

/** Reported states of a roll-out. */
export const ROLLOUT_STATE = {
  running: "running",
  succeeded: "succeeded",
  rolledBack: "rolledBack",
} as const;
/** A value of {@link ROLLOUT_STATE}. */
export type RolloutState = typeof ROLLOUT_STATE[keyof typeof ROLLOUT_STATE];
/** A state in which an order ends; it never changes again. */
export type FinalState = Exclude<RolloutState, "running">;

/** Reported status of an order, as stored in the registry. */
export interface RolloutStatus {
  readonly service: ServiceId;
  readonly target: string;
  readonly state: RolloutState;
  /** Position of the order; undefined in reports of other systems. */
  readonly position?: number;
  /** When the order was first seen, in Unix ms by the reporting VM's clock. */
  readonly seenAtUnixMs?: number;
  /** VM that reported this state. */
  readonly decidedBy?: string;
  /** Why the roll-out ended in this state, for operators. */
  readonly reason?: string;
}

/** Whether a status belongs to this order rather than to an earlier one. */
export function isStatusOf(
  status: RolloutStatus,
  order: RolloutOrder,
): boolean {
  return status.service === order.service && status.target === order.target &&
    (status.position === undefined ||
      // A registry that is restored from a copy keeps the offsets of its records.
      getOffset(status.position) === getOffset(order.position));
}

/** Returns the final state of a status; undefined while it is running. */
export function getFinalState(status: RolloutStatus): FinalState | undefined {
  return status.state === ROLLOUT_STATE.running ? undefined : status.state;
}
