/**
 * Whether the head of an HTTP answer is one.
 *
 * @module
 */
export * from "./head_checker.ts";
export * from "./head_fault.ts";
