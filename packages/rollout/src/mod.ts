/**
 * Rolls a service out to another version of its software, or rolls it back.
 *
 * @module
 */
export * from "./answer_counts.ts";
export * from "./exposure.ts";
export * from "./order.ts";
export * from "./phase.ts";
export * from "./rollout_run.ts";
export * from "./settings.ts";
export * from "./tally_book.ts";
export * from "./verdict.ts";
export * from "./versions.ts";
