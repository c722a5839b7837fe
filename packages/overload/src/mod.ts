/**
 * Pure decisions on a pool under overload: which queued groups are served on time, which are deferred, and how customers share the work.
 *
 * @module
 */
export { CustomerUsage, type CustomerWork } from "./customer_usage.ts";
export {
  type CallStartDecision,
  decideCallStart,
  type DecideCallStartOptions,
} from "./decide_call_start.ts";
export { PieceWork } from "./piece_work.ts";
export {
  type LaneGroup,
  type Lanes,
  planLanes,
  type PlanLanesOptions,
} from "./plan_lanes.ts";
