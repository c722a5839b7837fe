/**
 * Snapshot tests.
 *
 * @module
 */
export * from "./snapshot.ts";
