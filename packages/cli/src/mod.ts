/**
 * The operators' command line: it parses arguments, calls processes and prints
 * their answers.
 *
 * @module
 */
export * from "./configuration_file.ts";
export * from "./context.ts";
export * from "./exit_codes.ts";
export * from "./program.ts";
export * from "./report.ts";
