/**
 * Which entries and endpoints live, leave or are silent, and who may warm a cold endpoint.
 *
 * @module
 */

export {};
