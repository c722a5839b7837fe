/**
 * Snapshots, free ports and child processes for tests, demo and benches.
 *
 * @module
 */
export * from "./snapshot.ts";
export * from "./deployment.ts";
export * from "./program.ts";
export * from "./wait.ts";
