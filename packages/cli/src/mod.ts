/**
 * The operators' command line; it only parses, calls and prints.
 *
 * @module
 */

export {};
