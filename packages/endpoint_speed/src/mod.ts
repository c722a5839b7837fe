/**
 * Speed of endpoints from their reports and answers, and placement by expected finish.
 *
 * @module
 */
export * from "./evidence_decay.ts";
export * from "./expected_finish.ts";
export * from "./relayed_speeds.ts";
export * from "./host_speeds.ts";
export * from "./speed_evidence.ts";
