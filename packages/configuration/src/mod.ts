/**
 * Which configuration is in force.
 *
 * @module
 */
export * from "./record.ts";
