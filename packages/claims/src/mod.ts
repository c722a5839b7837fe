/**
 * Claims, which decide who may run a non-repeatable call.
 *
 * @module
 */
export * from "./record.ts";
export * from "./key.ts";
export * from "./claim_table.ts";
export * from "./claim_table_options.ts";
export { type ClaimJudgement, formatClaimId } from "./key_claims.ts";
export * from "./attempt.ts";
export * from "./attempt_state.ts";
export * from "./key_mint.ts";
export * from "./key_mint_types.ts";
export * from "./group_planner.ts";
