/**
 * Log lines for changes of state, text or JSON, by consola.
 *
 * @module
 */
export * from "./logger.ts";
