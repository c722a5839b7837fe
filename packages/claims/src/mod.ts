/**
 * Who may run a call that may not be repeated.
 *
 * @module
 */
export * from "./record.ts";
export * from "./key.ts";
export * from "./claim_table.ts";
export { type ClaimJudgement, formatClaimId } from "./key_claims.ts";
export * from "./attempt.ts";
export * from "./key_mint.ts";
export * from "./group_planner.ts";
