/**
 * Log of state changes, as text or JSON, and event log of decisions.
 *
 * @module
 */
export * from "./event_log.ts";
export * from "./logger.ts";
