/**
 * Contract tests of the ports: any adapter can be put through them.
 *
 * @module
 */
export {};
