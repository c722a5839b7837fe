/**
 * Specification of publish-and-accept: operators race through two control
 * processes over one log that loses its oldest records.
 *
 * Faults are moves: an append lands late, twice or never; a renewal lands long
 * after its writer read; a process starts anew with nothing; a reader is slow
 * or cut off while records are trimmed; versions come from neighbours first.
 *
 * @module
 */
import { ConfigurationRules } from "./configuration_rules.ts";
import type {
  ConfigurationLimits,
  ConfigurationModelOptions,
  ConfigurationMove,
  ConfigurationState,
} from "./configuration_state.ts";
import type { Model } from "./explore.ts";

const DEFAULT_LIMITS: ConfigurationLimits = {
  operators: 2,
  maxLog: 4,
  copies: 1,
  renewals: 1,
  restarts: 1,
  hasAdoption: true,
  hasSnapshots: false,
};
const READER_COUNT = 2;

/**
 * Builds the specification.
 *
 * @param options Size, and the guard to drop in a mutant.
 * @returns A model for {@link exploreModel}.
 * @example
 * ```ts
 * exploreModel(buildConfigurationModel({ operators: 3 }));
 * ```
 */
export function buildConfigurationModel(
  options: ConfigurationModelOptions = {},
): Model<ConfigurationState, ConfigurationMove> {
  const limits = { ...DEFAULT_LIMITS, ...options };
  const rules = new ConfigurationRules(limits, { without: options.without });
  return {
    initial: {
      log: [],
      first: 0,
      readers: Array.from(
        { length: READER_COUNT },
        () => ({ events: [], highest: 0 }),
      ),
      inFlight: [],
      published: [],
      copiesLeft: limits.copies,
      renewalsLeft: limits.renewals,
      restartsLeft: limits.restarts,
    },
    findMoves: (state) => rules.findMoves(state),
    apply: (state, move) => rules.apply(state, move),
    findViolations: (state) => rules.findViolations(state),
    formatState: (state) => JSON.stringify(state),
  };
}
