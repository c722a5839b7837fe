/**
 * Takeovers of answers whose endpoints are silent.
 *
 * @module
 */
export * from "./takeover.ts";
