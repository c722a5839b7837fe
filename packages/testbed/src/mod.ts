/**
 * Child processes, whole deployments on loopback, callers and the audit, for
 * process tests, demo and benches.
 *
 * @module
 */
export * from "./audit.ts";
export * from "./caller.ts";
export * from "./deployment.ts";
export * from "./program.ts";
export * from "./wait.ts";
