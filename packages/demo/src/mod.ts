/**
 * The demo.
 *
 * @module
 */
export * from "./demo.ts";
export * from "./example.ts";
