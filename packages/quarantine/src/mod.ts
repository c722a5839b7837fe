/**
 * Detects poison requests, which crash the endpoints that run them, and decides how
 * long they are refused.
 *
 * @module
 */
export * from "./crash_log.ts";
export * from "./fingerprint.ts";
export * from "./part_key.ts";
export * from "./part_verdict.ts";
export * from "./quarantine_list.ts";
export * from "./verdict.ts";
