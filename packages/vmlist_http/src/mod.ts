/**
 * Adapter of the lagging VM list over HTTP.
 *
 * @module
 */

export {};
