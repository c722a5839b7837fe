import { expect } from "chai";
import { buildClaimModel } from "./claim_model.ts";
import type { ClaimMove, ClaimState } from "./claim_state.ts";
import { readConfiguration } from "./configuration_log.ts";
import { buildConfigurationModel } from "./configuration_model.ts";
import type {
  ConfigurationMove,
  ConfigurationState,
} from "./configuration_state.ts";
import type { Model } from "./explore.ts";

/** Takes moves that must be offered, and checks safety behind each. */
function runMoves<State, Move>(
  model: Model<State, Move>,
  moves: readonly Move[],
): State {
  return moves.reduce((state, move) => {
    const offered = model.findMoves(state).map((other) =>
      JSON.stringify(other)
    );
    expect(offered).to.include(JSON.stringify(move));
    const next = model.apply(state, move);
    expect(model.findViolations(next)).to.deep.equal([]);
    return next;
  }, model.initial);
}

const land = (
  attempt: number,
  record: "claim" | "release",
): ClaimMove => ({ kind: "land", attempt, record });
const verdict = (
  attempt: number,
  reader: "old" | "new" | "none" = "old",
): ClaimMove => ({ kind: "verdict", attempt, reader });
const dispatch = (attempt: number, isLate = false): ClaimMove => ({
  kind: "dispatch",
  attempt,
  isLate,
  fate: "ran",
});
const crash = (instance: string): ClaimMove => ({ kind: "crash", instance });

function countRuns({ attempts }: ClaimState): number {
  return attempts.flatMap(({ sends }) => sends)
    .filter((fate) => fate === "ran").length;
}

interface ClaimPair {
  readonly pair: string;
  /** What a caller would see without the guards, and in which order. */
  readonly story: string;
  readonly moves: readonly ClaimMove[];
  readonly runs: number;
  /** What each attempt's caller was told. */
  readonly told: readonly (string | undefined)[];
}

const CLAIM_PAIRS: readonly ClaimPair[] = [
  {
    pair: "entry killed, entry frozen",
    story:
      "the holder dies after its send; a frozen one wakes up and must lose",
    moves: [
      land(0, "claim"),
      land(1, "claim"),
      verdict(0),
      dispatch(0),
      crash("entry-a"),
      verdict(1),
    ],
    runs: 1,
    told: [undefined, "not_run"],
  },
  {
    pair: "entry killed, log down",
    story: "the log hangs, the entry dies; its claim lands and stays unknown",
    moves: [
      crash("entry-a"),
      verdict(1, "none"),
      land(0, "claim"),
      land(1, "claim"),
      verdict(1),
    ],
    runs: 0,
    told: [undefined, "not_run"],
  },
  {
    pair: "entry killed, log answer lost",
    story:
      "a claim is sent twice, its entry dies, the copies land around another",
    moves: [
      { kind: "copy", attempt: 0 },
      land(0, "claim"),
      crash("entry-a"),
      land(1, "claim"),
      land(0, "claim"),
      verdict(1),
    ],
    runs: 0,
    told: [undefined, "not_run"],
  },
  {
    pair: "entry frozen, log down",
    story:
      "the caller hears not run; the frozen entry wakes and sees that it won",
    moves: [
      verdict(0, "none"),
      land(0, "claim"),
      verdict(0),
      land(0, "release"),
      land(1, "claim"),
      verdict(1),
      dispatch(1),
    ],
    runs: 1,
    told: ["not_run", undefined],
  },
  {
    pair: "entry frozen, log answer lost",
    story: "a claim is sent twice, wins, and its entry wakes past the deadline",
    moves: [
      { kind: "copy", attempt: 0 },
      land(0, "claim"),
      verdict(0),
      dispatch(0, true),
      land(0, "release"),
      land(0, "claim"),
      land(1, "claim"),
      verdict(1),
      dispatch(1),
    ],
    runs: 1,
    told: ["not_run", undefined],
  },
  {
    pair: "log down, log answer lost",
    story: "both callers hear not run; copies land later and revive nothing",
    moves: [
      { kind: "copy", attempt: 0 },
      verdict(0, "none"),
      verdict(1, "none"),
      land(0, "release"),
      land(0, "claim"),
      land(0, "claim"),
      verdict(0),
    ],
    runs: 0,
    told: ["not_run", "not_run"],
  },
];

interface ConfigurationPair {
  readonly pair: string;
  readonly story: string;
  readonly moves: readonly ConfigurationMove[];
  /** The version in force at each control process in the end. */
  readonly versions: readonly number[];
}

const publish = (operator: number, reader: number): ConfigurationMove => ({
  kind: "publish",
  operator,
  reader,
});
const read = (reader: number): ConfigurationMove => ({ kind: "read", reader });
const landFlight = (flight: number): ConfigurationMove => ({
  kind: "land",
  flight,
});
/** Two operators publish on version 0; both records land. */
const RACE: readonly ConfigurationMove[] = [
  publish(0, 0),
  publish(1, 1),
  landFlight(0),
  landFlight(0),
];

const CONFIGURATION_PAIRS: readonly ConfigurationPair[] = [
  {
    pair: "operators racing, process killed",
    story: "a control starts anew after the winner expired and sees the loser",
    moves: [
      ...RACE,
      read(0),
      read(1),
      { kind: "restart", reader: 1 },
      { kind: "trim" },
      read(1),
      { kind: "adopt", reader: 1, from: 0 },
      read(0),
    ],
    versions: [1, 1],
  },
  {
    pair: "operators racing, process frozen",
    story: "a renewal read before the race lands behind it, at a late reader",
    moves: [
      publish(0, 0),
      landFlight(0),
      read(0),
      { kind: "renew", reader: 0 },
      publish(1, 0),
      publish(2, 0),
      landFlight(1),
      read(0),
      landFlight(0),
      { kind: "trim" },
      { kind: "trim" },
      read(1),
      landFlight(0),
      read(1),
      read(0),
      read(0),
    ],
    versions: [2, 0],
  },
  {
    pair: "operators racing, log down",
    story:
      "one control can't read; it has the version from its neighbour first",
    moves: [
      ...RACE,
      read(0),
      read(0),
      { kind: "adopt", reader: 1, from: 0 },
      read(1),
      read(1),
    ],
    versions: [1, 1],
  },
  {
    pair: "operators racing, log answer lost",
    story: "the winner's record is sent again behind the loser's",
    moves: [
      publish(0, 0),
      publish(1, 1),
      { kind: "copy", flight: 0 },
      landFlight(0),
      landFlight(0),
      landFlight(0),
      read(0),
      read(0),
      read(0),
      read(1),
    ],
    versions: [1, 1],
  },
];

// Two faults together make a ticket issued twice, a refusal untrue or a change
// undone. Each case's story tells the order of events; its moves must be offered
// by the specification and be safe, one by one.
describe("fault pairs", () => {
  for (const { moves, pair, runs, story, told } of CLAIM_PAIRS) {
    it(`${pair}: ${story}`, () => {
      const model = buildClaimModel({ attempts: 2 });
      const end = runMoves(model, moves);
      expect(countRuns(end)).to.equal(runs);
      expect(end.attempts.map((own) => own.told)).to.deep.equal(told);
    });
  }

  for (const { moves, pair, story, versions } of CONFIGURATION_PAIRS) {
    it(`${pair}: ${story}`, () => {
      const model = buildConfigurationModel({ operators: 3 });
      const end: ConfigurationState = runMoves(model, moves);
      expect(readVersions(end)).to.deep.equal(versions);
    });
  }
});

/** What is in force at each control process. */
function readVersions({ log, readers }: ConfigurationState): number[] {
  return readers.map(({ events }) =>
    readConfiguration({ log, events }).current.version
  );
}
