/**
 * Snapshot assertions for tests.
 *
 * @module
 */
export * from "./snapshot.ts";
