/**
 * The decisions under load: admit, queue, refuse, place, hedge, shift, cancel.
 * No sockets, clock or randomness of their own: time and random numbers come in
 * with the event.
 *
 * @module
 */
export * from "./event.ts";
export * from "./action.ts";
export {
  type AdmissionQuestion,
  createDecider,
  type Decider,
} from "./decider.ts";
export type { AdmissionRefusal } from "./admission.ts";
export type { DeciderOptions } from "./state.ts";
export type { DeciderSummary, EndpointSummary } from "./summary.ts";
export type { CustomerDemand } from "./demand.ts";
export {
  type EntrySlice,
  type FairShareOptions,
  planFairShares,
  planSlices,
  type SlicePlanOptions,
} from "./slice_plan.ts";
export {
  planRoles,
  type PoolLoad,
  type RoleChange,
  type RolePlanOptions,
} from "./role_plan.ts";
