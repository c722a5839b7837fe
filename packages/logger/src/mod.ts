/**
 * Log lines for changes of state, text or JSON, by consola.
 *
 * @module
 */
export * from "./event_log.ts";
export * from "./logger.ts";
