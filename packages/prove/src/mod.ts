/**
 * Proofs of the system's guarantees.
 *
 * @module
 */
export * from "./run_proofs.ts";
export * from "./scenario.ts";
export * from "./scenario_list.ts";
