/**
 * Benches and the capacity script.
 *
 * @module
 */

export {};
