/**
 * Validation of settings and configuration.
 *
 * Settings belong to one process and are read from its file; the configuration
 * is shared by all sites and distributed through the log.
 *
 * @module
 */
export * from "./configuration.ts";
export * from "./configuration_schema.ts";
export * from "./diff.ts";
export * from "./example_schema.ts";
export * from "./fault.ts";
export * from "./settings_file.ts";
export * from "./settings_schema.ts";
