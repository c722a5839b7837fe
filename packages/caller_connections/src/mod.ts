/**
 * How many connections callers may hold, and which of them close.
 *
 * @module
 */
export * from "./caller_capacity.ts";
export * from "./connection_use.ts";
