/**
 * Checked settings and configuration.
 *
 * Settings belong to one process and come from its file; configuration belongs
 * to all sites and comes through the log.
 *
 * @module
 */
export * from "./configuration.ts";
export * from "./configuration_schema.ts";
export * from "./diff.ts";
export * from "./example_schema.ts";
export * from "./fault.ts";
export * from "./load.ts";
export * from "./settings_schema.ts";
