/**
 * Command line, settings, start and graceful stop of the daemons.
 *
 * @module
 */
export * from "./run_daemon.ts";
