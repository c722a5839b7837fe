/**
 * Shared plain data types of the system's processes.
 *
 * Units: times are milliseconds, moments are milliseconds since the Unix epoch
 * unless a name says monotonic, sizes are bytes, costs are worker milliseconds.
 *
 * @module
 */
export * from "./identity.ts";
export * from "./endpoint.ts";
export * from "./request.ts";
export * from "./member.ts";
