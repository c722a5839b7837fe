/**
 * Adapter of model engines, pools and plain services over HTTP.
 *
 * @module
 */

export {};
