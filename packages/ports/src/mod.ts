/**
 * Ports to the platform and the endpoints. Each port has one adapter package, and
 * its contract test can run against any adapter.
 *
 * @module
 */
export * from "./error.ts";
export * from "./log.ts";
export * from "./vm_list.ts";
export * from "./weight_store.ts";
export * from "./endpoint.ts";
