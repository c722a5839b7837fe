/**
 * Gateway that forwards opaque requests and runs their stages.
 *
 * @module
 */
export * from "./events.ts";
export * from "./gateway.ts";
export * from "./gateway_bounds.ts";
export * from "./http_pool.ts";
export * from "./ports.ts";
export * from "./rollouts.ts";
export * from "./site_state.ts";
export * from "./state_positions.ts";
