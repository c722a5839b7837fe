/**
 * Narrow ports towards the platform and the endpoints. Each has one adapter
 * package; the contract test of a port runs against any adapter.
 *
 * @module
 */
export * from "./error.ts";
export * from "./log.ts";
export * from "./vm_list.ts";
export * from "./weight_store.ts";
export * from "./endpoint.ts";
