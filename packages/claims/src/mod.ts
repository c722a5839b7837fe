/**
 * Who may run a call that may not be repeated.
 *
 * @module
 */
export * from "./record.ts";
