/**
 * Whether the head of an HTTP answer is one.
 *
 * @module
 */
export * from "./framing.ts";
export * from "./head_checker.ts";
export * from "./head_fault.ts";
