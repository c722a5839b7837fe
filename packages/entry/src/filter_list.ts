/**
 * The ordered list of request filters.
 *
 * @module
 */
import type { Filter } from "./context.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { createCheckAdmission } from "./filters/check_admission.ts";
import { type ClaimKeyOptions, createClaimKey } from "./filters/claim_key.ts";
import {
  createFindResults,
  type FindResultsOptions,
} from "./filters/find_results.ts";
import { findPipeline } from "./filters/find_pipeline.ts";
import { identifyCustomer } from "./filters/identify_customer.ts";
import { createJoinDuplicate } from "./filters/join_duplicate.ts";
import { readKey } from "./filters/read_key.ts";
import { readDeadline } from "./filters/read_deadline.ts";
import { createRunStages } from "./filters/run_stages.ts";
import type { KeyRegistry } from "./key_registry.ts";

/** Dependencies of the filters. */
export interface FilterListOptions {
  readonly registry: KeyRegistry;
  readonly dispatcher: Dispatcher;
  /** Whether requests with this deadline, in monotonic milliseconds, are served. */
  readonly mayServe: (deadlineAt: number) => boolean;
  readonly readNow: () => number;
  readonly findResults: FindResultsOptions;
  readonly claimKey: ClaimKeyOptions;
}

/**
 * Builds the filter chain. The order matters: input is validated before any
 * lookup, a retry joins its earlier attempt before the load check, load is checked
 * before an append to the log, and kept results are looked up only by the one
 * attempt that may run.
 *
 * @param options Dependencies of the filters.
 * @returns The filters in order.
 */
export function buildFilters(options: FilterListOptions): readonly Filter[] {
  return [
    identifyCustomer,
    findPipeline,
    readDeadline,
    readKey,
    createJoinDuplicate(options.registry, options.readNow),
    createCheckAdmission(options.dispatcher, options.mayServe),
    createClaimKey(options.claimKey),
    createFindResults(options.findResults),
    createRunStages(options.dispatcher),
  ];
}
