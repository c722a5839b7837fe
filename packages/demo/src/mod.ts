/**
 * The demo: runs the example deployments.
 *
 * @module
 */
export * from "./demo.ts";
export * from "./example.ts";
