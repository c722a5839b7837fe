/**
 * JSON-RPC 2.0 over TCP between processes of the system.
 *
 * @module
 */
export * from "./address.ts";
export * from "./client.ts";
export * from "./connection.ts";
export * from "./error.ts";
export * from "./methods.ts";
export * from "./server.ts";
