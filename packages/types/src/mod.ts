/**
 * Plain data types shared by the processes of the system.
 *
 * Units: durations are milliseconds, timestamps are milliseconds since the Unix
 * epoch unless documented as monotonic, sizes are bytes, costs are worker milliseconds.
 *
 * @module
 */
export * from "./identity.ts";
export * from "./endpoint.ts";
export * from "./request.ts";
export * from "./member.ts";
export * from "./registry_position.ts";
