/**
 * Start, settings and graceful stop that every daemon shares.
 *
 * @module
 */
export * from "./run_daemon.ts";
