/**
 * Pure routing, admission, scheduling and rate limit decisions of the gateway.
 *
 * @module
 */
export * from "./admission.ts";
export * from "./call_plan.ts";
export * from "./cold_rate.ts";
export * from "./departed_members.ts";
export * from "./endpoint_directory.ts";
export * from "./endpoint_health.ts";
export * from "./brittle_services.ts";
export * from "./endpoint_limits.ts";
export * from "./endpoint_pauses.ts";
export * from "./rate_limit.ts";
export * from "./vm_share.ts";
export * from "./given_handles.ts";
export * from "./gossip.ts";
export * from "./leaders.ts";
export * from "./leaving_endpoints.ts";
export * from "./messages.ts";
export * from "./model.ts";
export * from "./piece_queue.ts";
export * from "./placement.ts";
export * from "./pool_endpoints.ts";
export * from "./pool_load.ts";
export * from "./prompt_session.ts";
export * from "./registry_reader.ts";
export * from "./retry_budget.ts";
export * from "./result_space.ts";
export * from "./route_table.ts";
export * from "./stage_graph.ts";
