/**
 * Time line of events over all processes.
 *
 * @module
 */
export * from "./event.ts";
