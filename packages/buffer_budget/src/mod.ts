/**
 * One memory budget per process for bytes held for callers and endpoints.
 *
 * @module
 */
export * from "./buffer_budget.ts";
export * from "./byte_queue.ts";
export * from "./decide_answer.ts";
export * from "./decide_relay.ts";
export * from "./endpoint_bytes.ts";
export * from "./growing_buffer.ts";
export * from "./plan_body_evictions.ts";
export * from "./plan_evictions.ts";
