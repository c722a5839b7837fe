/**
 * The daemon on the callers' side: filter chain and hot path.
 *
 * @module
 */
export * from "./entry.ts";
