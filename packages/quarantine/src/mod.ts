/**
 * Finds poison requests and refuses them.
 *
 * @module
 */
export * from "./fingerprint.ts";
