/**
 * Connections to endpoints, directly or through another VM.
 *
 * @module
 */
export * from "./io_timeout.ts";
export * from "./path_connector.ts";
export * from "./path_table.ts";
export * from "./relay_table.ts";
export * from "./timed_connect.ts";
export * from "./tunnel_client.ts";
export * from "./tunnel_server.ts";
