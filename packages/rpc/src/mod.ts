/**
 * JSON-RPC 2.0 over TCP between the system's own processes.
 *
 * @module
 */
export * from "./address.ts";
export * from "./client.ts";
export * from "./connection.ts";
export * from "./error.ts";
export * from "./methods.ts";
export * from "./server.ts";
