/**
 * Proofs of what must always hold.
 *
 * @module
 */
export * from "./run_proofs.ts";
export * from "./scenario.ts";
export * from "./scenario_list.ts";
