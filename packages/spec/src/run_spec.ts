/**
 * Runs the specification as a whole, or the part that shows what one mechanism
 * prevents.
 *
 * @module
 */
import { buildClaimModel } from "./claim_model.ts";
import { FOLD_MECHANISM } from "./claim_log_mirror.ts";
import {
  ATTEMPT_MECHANISM,
  type ClaimMechanism,
  type ClaimModelOptions,
} from "./claim_state.ts";
import {
  CONFIGURATION_MECHANISM,
  type ConfigurationMechanism,
} from "./configuration_mirror.ts";
import { buildConfigurationModel } from "./configuration_model.ts";
import type { ConfigurationModelOptions } from "./configuration_state.ts";
import { type Exploration, exploreModel } from "./explore.ts";
import {
  buildFencingModel,
  FENCING_MECHANISM,
  type FencingMechanism,
  type FencingModelOptions,
} from "./fencing_model.ts";
import {
  buildMintModel,
  MINT_MECHANISM,
  type MintMechanism,
} from "./mint_model.ts";

/** A guard that {@link runSpec} can drop. */
export type MechanismName =
  | ClaimMechanism
  | MintMechanism
  | ConfigurationMechanism
  | FencingMechanism;

const CLAIM_MECHANISMS: readonly ClaimMechanism[] = [
  ...Object.values(ATTEMPT_MECHANISM),
  ...Object.values(FOLD_MECHANISM),
];
const CONFIGURATION_MECHANISMS: readonly ConfigurationMechanism[] = Object
  .values(CONFIGURATION_MECHANISM);

const MINT_MECHANISMS: readonly MintMechanism[] = Object.values(MINT_MECHANISM);
const FENCING_MECHANISMS: readonly FencingMechanism[] = Object.values(
  FENCING_MECHANISM,
);

/** Every guard that {@link runSpec} can drop. */
export const MECHANISM_NAMES: readonly MechanismName[] = [
  ...CLAIM_MECHANISMS,
  ...MINT_MECHANISMS,
  ...CONFIGURATION_MECHANISMS,
  ...FENCING_MECHANISMS,
];

/** Point number of failures that are listed behind the nine points. */
export const BESIDES_POINT = 10;

/** What one exploration showed. */
export interface SpecRow {
  /**
   * Number of the point in the list of what must always hold;
   * {@link BESIDES_POINT} for the failures that are listed behind the nine.
   */
  readonly point: number;
  readonly name: string;
  readonly states: number;
  /** What went wrong, each with the moves that lead to it. */
  readonly violations: readonly string[];
  readonly notTried: readonly string[];
}

/** What to run. */
export interface RunSpecOptions {
  /** Drops one guard; only the exploration that needs it is run. */
  readonly without?: MechanismName;
}

interface SpecCase {
  readonly point: number;
  readonly name: string;
  readonly notTried: readonly string[];
  readonly explore: () => Exploration;
}

/** Three attempts race; one append is doubled. */
const RACE: ClaimModelOptions = { attempts: 3, maxLog: 3, copies: 1 };
/** A failed connect is followed by a second endpoint. */
const SECOND_ENDPOINT: ClaimModelOptions = {
  attempts: 2,
  maxLog: 5,
  copies: 1,
  maxDispatches: 2,
};
/** Outcomes are recorded, the key's window passes, records are trimmed. */
const TRIMMED: ClaimModelOptions = {
  attempts: 2,
  maxLog: 4,
  copies: 0,
  hasOutcomes: true,
  hasTime: true,
};
/** Three operators race; a renewal may be late; nothing comes by neighbours. */
const THREE_OPERATORS: ConfigurationModelOptions = {
  operators: 3,
  maxLog: 4,
  copies: 0,
  restarts: 0,
  hasAdoption: false,
};
/** An append is doubled; versions come from neighbours, too. */
const NEIGHBOURS: ConfigurationModelOptions = {
  operators: 2,
  maxLog: 3,
  copies: 1,
  restarts: 0,
};
/** A control process starts anew. */
const RESTART: ConfigurationModelOptions = {
  operators: 2,
  maxLog: 3,
  copies: 0,
  restarts: 1,
};

/** Judged states come from neighbours; a control process starts anew. */
const SNAPSHOTS: ConfigurationModelOptions = {
  operators: 3,
  maxLog: 4,
  copies: 0,
  restarts: 1,
  renewals: 0,
  hasAdoption: false,
  hasSnapshots: true,
};

const CASES: readonly SpecCase[] = [
  buildClaimCase(RACE, {
    point: 1,
    name: "three attempts through two entries, one append doubled",
    notTried: ["more than three records", "two doubled appends"],
  }),
  buildClaimCase(SECOND_ENDPOINT, {
    point: 1,
    name: "two attempts, a second endpoint after a failed connect",
    notTried: ["three dispatches of one attempt"],
  }),
  buildClaimCase(TRIMMED, {
    point: 2,
    name: "outcomes, the key's window passes, records are trimmed",
    notTried: ["a doubled append together with trimming"],
  }),
  {
    point: 8,
    name: "a minted key, crash, expiry, planned stop and hand-over",
    notTried: ["two keys", "more than three requests"],
    explore: () => exploreModel(buildMintModel()),
  },
  buildConfigurationCase(THREE_OPERATORS, {
    name: "three operators, retention, a late renewal",
    notTried: ["more than four records", "two renewals"],
  }),
  buildConfigurationCase(NEIGHBOURS, {
    name: "two operators, a doubled append, versions from neighbours",
    notTried: ["three control processes"],
  }),
  buildConfigurationCase(RESTART, {
    name: "two operators, a control process starts anew",
    notTried: ["two restarts"],
  }),
  buildConfigurationCase(SNAPSHOTS, {
    name: "three operators, retention, judged states from neighbours",
    notTried: ["snapshots together with renewals"],
  }),
  buildFencingCase({ checksFencing: true }, {
    name: "orders to an engine that checks the fencing number",
    notTried: ["an engine that restarts and forgets the number"],
  }),
  buildFencingCase({ checksFencing: false }, {
    name: "orders to an engine that ignores the fencing number",
    notTried: ["that it ends as wanted; only that reading back may follow"],
  }),
];

/**
 * Explores the specification.
 *
 * @param options Nothing for the whole; a mechanism for its mutant.
 * @returns A row for each exploration; a mutant's row should show a violation.
 * @example
 * ```ts
 * const rows = runSpec({ without: "abandon-is-terminal" });
 * ```
 */
export function runSpec({ without }: RunSpecOptions = {}): SpecRow[] {
  const cases = without ? [buildMutantCase(without)] : CASES;
  return cases.map(({ explore, ...about }) => {
    const { states, violation } = explore();
    const violations = violation
      ? [`${violation.what}: ${violation.trace.join(" ")}`]
      : [];
    return { ...about, states, violations };
  });
}

type CaseText = Omit<SpecCase, "explore">;

function buildClaimCase(
  options: ClaimModelOptions,
  text: CaseText,
): SpecCase {
  return { ...text, explore: () => exploreModel(buildClaimModel(options)) };
}

function buildConfigurationCase(
  options: ConfigurationModelOptions,
  text: Omit<CaseText, "point">,
): SpecCase {
  const explore = () => exploreModel(buildConfigurationModel(options));
  return { point: 9, ...text, explore };
}

function buildFencingCase(
  options: FencingModelOptions,
  text: Omit<CaseText, "point">,
): SpecCase {
  const explore = () => exploreModel(buildFencingModel(options));
  return { point: BESIDES_POINT, ...text, explore };
}

function buildMutantCase(without: MechanismName): SpecCase {
  const text = { name: `without ${without}`, notTried: [] };
  const claim = CLAIM_MECHANISMS.find((name) => name === without);
  if (claim) {
    const options = { ...findClaimSize(claim), without: claim };
    return buildClaimCase(options, { point: 1, ...text });
  }
  const mint = MINT_MECHANISMS.find((name) => name === without);
  if (mint) {
    const explore = () => exploreModel(buildMintModel({ without: mint }));
    return { point: 8, ...text, explore };
  }
  const fencing = FENCING_MECHANISMS.find((name) => name === without);
  if (fencing) {
    const options = { checksFencing: true, without: fencing };
    return buildFencingCase(options, text);
  }
  const mechanism = CONFIGURATION_MECHANISMS.find((name) => name === without);
  const size = findConfigurationSize(mechanism);
  return buildConfigurationCase({ ...size, without: mechanism }, text);
}

/** The smallest exploration in which the mutant does harm. */
function findClaimSize(mechanism: ClaimMechanism): ClaimModelOptions {
  switch (mechanism) {
    case FOLD_MECHANISM.coverageAfterTrim:
      return { ...TRIMMED, hasOutcomes: false };
    case FOLD_MECHANISM.releaseNamesOneClaim:
      return RACE;
    case ATTEMPT_MECHANISM.dispatchNumber:
      return SECOND_ENDPOINT;
    default:
      return { attempts: 2, maxLog: 4, copies: 1 };
  }
}

function findConfigurationSize(
  mechanism?: ConfigurationMechanism,
): ConfigurationModelOptions {
  if (mechanism === CONFIGURATION_MECHANISM.snapshotWithoutGap) {
    return SNAPSHOTS;
  }
  const isAboutNeighbours =
    mechanism === CONFIGURATION_MECHANISM.judgedApartFromAdopted ||
    mechanism === CONFIGURATION_MECHANISM.versionsOnlyGrow;
  return { ...THREE_OPERATORS, hasAdoption: isAboutNeighbours };
}
