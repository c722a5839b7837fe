/**
 * Adapter of the append-only log service over HTTP.
 *
 * @module
 */

export {};
