/**
 * Finds poison requests and refuses them.
 *
 * @module
 */
export * from "./crash_log.ts";
export * from "./fingerprint.ts";
export * from "./quarantine_list.ts";
export * from "./verdict.ts";
