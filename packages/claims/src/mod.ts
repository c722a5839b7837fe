/**
 * Who may run a call that may not be repeated.
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
export * from "./minted_key.ts";
export * from "./group_planner.ts";
