/**
 * Adapter of the weight store over HTTP.
 *
 * @module
 */

export {};
