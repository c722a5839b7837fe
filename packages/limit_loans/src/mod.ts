/**
 * Parts of a rate limit that VMs lend each other.
 *
 * @module
 */
export * from "./loan_broker.ts";
export * from "./loan_ledger.ts";
export * from "./loan_plan.ts";
