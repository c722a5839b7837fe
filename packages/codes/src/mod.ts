/**
 * Numbered result codes and typed errors.
 *
 * @module
 */
export * from "./table.ts";
export * from "./failure.ts";
