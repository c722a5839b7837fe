/**
 * Specification of the core protocol, explored exhaustively, with mutants that must be caught.
 *
 * @module
 */
export * from "./explore.ts";
export * from "./run_spec.ts";
