/**
 * The entry daemon: runs the requests of callers on the endpoints.
 *
 * @module
 */
export * from "./entry.ts";
