/**
 * Contract tests of the ports, for mocha and chai. They run against any adapter,
 * given its open port and a service with injectable faults.
 *
 * @module
 */
export { LONG_TIMEOUT_MS, SHORT_TIMEOUT_MS } from "./fixture.ts";
export * from "./log_contract.ts";
export * from "./vm_list_contract.ts";
export * from "./weight_store_contract.ts";
export * from "./endpoint_contract.ts";
export * from "./stream_contract.ts";
