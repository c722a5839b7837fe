/**
 * Small stand-ins of the platform and the endpoints with switchable faults, for tests, demo and benches.
 *
 * @module
 */

export {};
