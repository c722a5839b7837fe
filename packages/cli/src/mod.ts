/**
 * The operators' command line; it only parses, calls and prints.
 *
 * @module
 */
export * from "./configuration_file.ts";
export * from "./context.ts";
export * from "./exit_codes.ts";
export * from "./program.ts";
export * from "./report.ts";
