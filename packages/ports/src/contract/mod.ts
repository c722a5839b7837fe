/**
 * Contract tests of the ports, under mocha and chai. Any adapter can be put
 * through them: give its open port and a service whose faults can be switched.
 *
 * @module
 */
export { IMPATIENT_MS, PATIENT_MS } from "./bench.ts";
export * from "./log_contract.ts";
export * from "./vm_list_contract.ts";
export * from "./weight_store_contract.ts";
export * from "./endpoint_contract.ts";
export * from "./stream_contract.ts";
