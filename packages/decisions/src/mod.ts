/**
 * Load-dependent decisions on requests and calls: admission, queueing, refusal,
 * placement, hedging, role changes and cancellation. The package has no sockets,
 * clock or random source; time and random numbers come with each event.
 *
 * @module
 */
export * from "./event.ts";
export * from "./action.ts";
export { type AdmissionQuery, createDecider, type Decider } from "./decider.ts";
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
