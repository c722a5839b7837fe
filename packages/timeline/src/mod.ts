/**
 * Timeline of events across all processes.
 *
 * @module
 */
export * from "./event.ts";
export * from "./hybrid_clock.ts";
export * from "./timeline.ts";
export * from "./merge.ts";
