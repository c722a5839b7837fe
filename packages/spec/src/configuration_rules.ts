/**
 * Moves, steps and safety of the specification of publish-and-accept.
 *
 * @module
 */
import {
  NO_VERSION,
  readConfiguration,
  type ReaderEvent,
  type ReaderView,
  type SpecRecord,
  type SpecVersion,
} from "./configuration_log.ts";
import {
  CONFIGURATION_MECHANISM,
  type ConfigurationMechanism,
  readConfigurationByMirror,
} from "./configuration_mirror.ts";
import type {
  ConfigurationLimits,
  ConfigurationMove,
  ConfigurationState,
} from "./configuration_state.ts";

/** Carries moves out; reads of the same log are computed once. */
export class ConfigurationRules {
  readonly #limits: ConfigurationLimits;
  readonly #without: ConfigurationMechanism | undefined;
  readonly #views = new Map<string, ReaderView>();
  readonly #truths = new Map<string, ReaderView[]>();

  constructor(
    limits: ConfigurationLimits,
    { without }: { without?: ConfigurationMechanism },
  ) {
    this.#limits = limits;
    this.#without = without;
  }

  findMoves(state: ConfigurationState): ConfigurationMove[] {
    const moves = state.readers.flatMap((_, reader) =>
      this.#findReaderMoves(state, reader)
    );
    state.inFlight.forEach((_, flight) => {
      if (state.log.length < this.#limits.maxLog) {
        moves.push({ kind: "land", flight });
      }
      if (state.copiesLeft > 0) moves.push({ kind: "copy", flight });
    });
    if (state.first < state.log.length) moves.push({ kind: "trim" });
    return moves;
  }

  apply(
    state: ConfigurationState,
    move: ConfigurationMove,
  ): ConfigurationState {
    switch (move.kind) {
      case "publish":
        return this.#applyPublish(state, move);
      case "renew":
        return this.#applyRenew(state, move.reader);
      case "read":
        return this.#addEvent(state, move.reader, this.#buildRead(state, move));
      case "adopt": {
        const version = this.#read(state, move.from).current;
        return this.#addEvent(state, move.reader, { kind: "adopt", version });
      }
      case "adopt_snapshot":
        return this.#applySnapshot(state, move);
      case "restart":
        return {
          ...state,
          readers: state.readers.with(move.reader, { events: [], highest: 0 }),
          restartsLeft: state.restartsLeft - 1,
        };
      case "land":
        return {
          ...state,
          log: [...state.log, state.inFlight[move.flight]],
          inFlight: state.inFlight.toSpliced(move.flight, 1),
        };
      case "copy":
        return {
          ...state,
          inFlight: [...state.inFlight, state.inFlight[move.flight]],
          copiesLeft: state.copiesLeft - 1,
        };
      case "trim":
        return { ...state, first: state.first + 1 };
    }
  }

  findViolations(state: ConfigurationState): string[] {
    const truths = this.#readTruths(state.log);
    const last = truths[truths.length - 1];
    const versions = truths.map(({ current }) => current);
    return state.readers.flatMap((reader, index) => {
      const view = this.#read(state, index);
      return [
        ...findWrongVersion(view.current, versions),
        ...findWrongJudgement(view, last),
        ...(view.current.version < reader.highest
          ? ["a configuration in force was reverted"]
          : []),
      ];
    });
  }

  #findReaderMoves(
    state: ConfigurationState,
    reader: number,
  ): ConfigurationMove[] {
    const view = this.#read(state, reader);
    const moves: ConfigurationMove[] = [];
    const operator = state.published.length;
    if (operator < this.#limits.operators) {
      moves.push({ kind: "publish", operator, reader });
    }
    if (view.renewal && state.renewalsLeft > 0) {
      moves.push({ kind: "renew", reader });
    }
    if (Math.max(view.readThrough + 1, state.first) < state.log.length) {
      moves.push({ kind: "read", reader });
    }
    if (state.restartsLeft > 0 && view.readThrough >= 0) {
      moves.push({ kind: "restart", reader });
    }
    const from = 1 - reader;
    if (
      this.#limits.hasAdoption && this.#mayAdopt(view, this.#read(state, from))
    ) {
      moves.push({ kind: "adopt", reader, from });
    }
    const hasState = this.#read(state, from).renewal !== undefined;
    if (this.#limits.hasSnapshots && !view.renewal && hasState) {
      moves.push({ kind: "adopt_snapshot", reader, from });
    }
    return moves;
  }

  #mayAdopt(own: ReaderView, other: ReaderView): boolean {
    const isAnyTaken =
      this.#without === CONFIGURATION_MECHANISM.versionsOnlyGrow;
    if (isAnyTaken) return other.current.version !== own.current.version;
    return other.current.version > own.current.version;
  }

  #buildRead(
    state: ConfigurationState,
    { reader }: { reader: number },
  ): ReaderEvent {
    const { first } = state;
    const next = this.#read(state, reader).readThrough + 1;
    const isGap = first > next;
    return {
      kind: "read",
      offset: Math.max(next, first),
      first: isGap ? first : 0,
    };
  }

  #applySnapshot(
    state: ConfigurationState,
    { from, reader }: { from: number; reader: number },
  ): ConfigurationState {
    const { renewal } = this.#read(state, from);
    if (renewal?.kind !== "renewal") return state;
    const { operator, seenThrough, version } = renewal;
    const event = {
      kind: "adopt_snapshot",
      version: { version, operator },
      seenThrough,
    } as const;
    const next = this.#addEvent(state, reader, event);
    // A refused snapshot leaves no trace.
    return this.#read(next, reader).renewal ? next : state;
  }

  #applyPublish(
    state: ConfigurationState,
    { operator, reader }: { operator: number; reader: number },
  ): ConfigurationState {
    const base = this.#read(state, reader).current.version;
    return {
      ...state,
      inFlight: [...state.inFlight, { kind: "publish", operator, base }],
      published: [...state.published, operator],
    };
  }

  #applyRenew(state: ConfigurationState, reader: number): ConfigurationState {
    const { renewal } = this.#read(state, reader);
    if (!renewal) return state;
    return {
      ...state,
      inFlight: [...state.inFlight, renewal],
      renewalsLeft: state.renewalsLeft - 1,
    };
  }

  #addEvent(
    state: ConfigurationState,
    reader: number,
    event: ReaderEvent,
  ): ConfigurationState {
    const old = state.readers[reader];
    const highest = Math.max(
      old.highest,
      this.#read(state, reader).current.version,
    );
    const changed = { events: [...old.events, event], highest };
    return { ...state, readers: state.readers.with(reader, changed) };
  }

  #read({ log, readers }: ConfigurationState, reader: number): ReaderView {
    const { events } = readers[reader];
    const name = JSON.stringify([log, events]);
    const known = this.#views.get(name);
    if (known) return known;
    const view = this.#without
      ? readConfigurationByMirror({ log, events }, this.#without)
      : readConfiguration({ log, events });
    this.#views.set(name, view);
    return view;
  }

  /** What a reader that never misses anything says after each record. */
  #readTruths(log: readonly SpecRecord[]): ReaderView[] {
    const name = JSON.stringify(log);
    const known = this.#truths.get(name);
    if (known) return known;
    const events = log.map((_, offset) =>
      ({ kind: "read", offset, first: 0 }) as const
    );
    const truths = [...events.keys(), events.length].map((length) =>
      readConfiguration({ log, events: events.slice(0, length) })
    );
    this.#truths.set(name, truths);
    return truths;
  }
}

function findWrongVersion(
  current: SpecVersion,
  versions: readonly SpecVersion[],
): string[] {
  const isTrue = [NO_VERSION, ...versions].some(({ operator, version }) =>
    version === current.version && operator === current.operator
  );
  return isTrue ? [] : ["a configuration is in force that was not accepted"];
}

function findWrongJudgement(view: ReaderView, truth: ReaderView): string[] {
  const isWrong = view.judgements.some((judgement, operator) =>
    judgement !== "unseen" && judgement !== truth.judgements[operator]
  );
  return isWrong ? ["readers judge the same record differently"] : [];
}
