/**
 * JSON-RPC 2.0 over TCP between the system's own processes.
 *
 * @module
 */
export * from "./methods.ts";
