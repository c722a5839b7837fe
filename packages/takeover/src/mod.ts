/**
 * Takeovers of answers whose endpoints are silent, and streams that are refused.
 *
 * @module
 */
export * from "./refused_stream.ts";
export * from "./takeover.ts";
