/**
 * Child processes, whole deployments on loopback, clients and the audit, for
 * process tests, demo and benchmarks.
 *
 * @module
 */
export * from "./audit.ts";
export * from "./caller.ts";
export * from "./deployment.ts";
export * from "./deployment_plan.ts";
export * from "./program.ts";
export * from "./fakes_client.ts";
export * from "./wait.ts";
