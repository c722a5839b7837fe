/**
 * The demo: all programs as processes on loopback, both deployments, one entry killed.
 *
 * @module
 */

export {};
