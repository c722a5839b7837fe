/**
 * An attempt, and a takeover beside it while its endpoint is silent.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import * as takeover from "@sardinestep/takeover";
import { match } from "ts-pattern";
import {
  type AttemptOutcome,
  CANCEL_CAUSE,
  type RunningAttempt,
} from "./attempt.ts";

/** How an attempt that was not cancelled ended. */
export type RaceOutcome = Exclude<AttemptOutcome, { kind: "superseded" }>;

/** The attempt that ended a race. */
export interface RaceEnd {
  readonly endpoint: serving.ServingEndpoint;
  readonly outcome: RaceOutcome;
}

/** What a running attempt reports. */
export interface AttemptListener {
  /** The request is written to an open connection. */
  readonly handleSent: () => void;
  /** The endpoint begins a successful answer. */
  readonly handleBegun: () => void;
  /** Called before bytes of a stream, or its end, are passed on. */
  readonly handleDelivery: () => void;
  /** The endpoint was silent for the inactivity timeout. */
  readonly handleSilence: () => void;
  /** Whether it runs beside an attempt that has the answer. */
  readonly isBeside: () => boolean;
}

/** A silent attempt and the takeovers that were tried in this span of silence. */
export interface SilentSpan {
  readonly endpoint: serving.ServingEndpoint;
  /** Endpoints to which takeovers were sent. */
  readonly triedIds: ReadonlySet<string>;
  /** Takeovers that endpoints refused since the last progress. */
  readonly refusals: number;
}

/** An attempt to start. */
export interface RaceStart {
  readonly endpoint: serving.ServingEndpoint;
  /** Whether it runs beside a silent attempt. */
  readonly isTakeover: boolean;
  readonly listener: AttemptListener;
}

/** What is done about a silent endpoint. */
export type TakeoverPlan =
  | { readonly kind: "takeOver"; readonly endpoint: serving.ServingEndpoint }
  | { readonly kind: "rerunStages" }
  | { readonly kind: "wait" };

/** What the attempts of one request share. */
export interface RaceHost {
  readonly start: (options: RaceStart) => RunningAttempt;
  readonly planTakeover: (span: SilentSpan) => TakeoverPlan;
  /** Records an attempt that ended beside another one. */
  readonly recordDropped: (attempt: DroppedAttempt) => void;
  /** Called when a takeover goes on with the answer. */
  readonly handleTakenOver: (taken: TakenOver) => void;
  /** Whether the request needs nothing after this outcome. */
  readonly isFinal: (outcome: RaceOutcome) => boolean;
  /** Whether the endpoint refused, since it could not read stage results. */
  readonly isInputsMissing: (outcome: RaceOutcome) => boolean;
  /** Runs the stages again; false if that fails. */
  readonly rerunStages: () => Promise<boolean>;
  /** Longest time for which two endpoints may answer, in ms; undefined for any. */
  readonly maxOverlapMs: number | undefined;
}

/** An attempt that ended beside another one, which goes on. */
export interface DroppedAttempt {
  readonly endpoint: serving.ServingEndpoint;
  readonly outcome: AttemptOutcome;
  /** Whether the request was written to a connection. */
  readonly wasSent: boolean;
  /** Whether its endpoint began a successful answer. */
  readonly hasBegun: boolean;
}

/** A takeover that goes on with an answer. */
export interface TakenOver {
  readonly from: serving.ServingEndpoint;
  readonly to: serving.ServingEndpoint;
}

/** One of the attempts of a race. */
interface Entry {
  readonly endpoint: serving.ServingEndpoint;
  /** Unset while it starts, which may already report that it was sent. */
  attempt?: RunningAttempt;
  wasSent: boolean;
  hasBegun: boolean;
}

/**
 * Runs an attempt to its end, or that of a takeover that goes on in its place.
 *
 * @param host Starts attempts and decides on takeovers.
 * @param endpoint Endpoint of the first attempt.
 * @returns The attempt that ended last, or with a final outcome.
 */
export function runRace(
  host: RaceHost,
  endpoint: serving.ServingEndpoint,
): Promise<RaceEnd> {
  return new Promise((resolve, reject) =>
    new AttemptRace(host, resolve, reject).run(endpoint)
  );
}

class AttemptRace {
  readonly #host: RaceHost;
  readonly #resolve: (end: RaceEnd) => void;
  readonly #reject: (error: unknown) => void;
  /** The attempt that answers; silent while there is a takeover. */
  #lead!: Entry;
  #takeover: Entry | undefined;
  #overlapTimer: NodeJS.Timeout | undefined;
  /** Resolves when stages that run again for a takeover are done. */
  #rerun: Promise<void> | undefined;
  /** Counts the spans of silence. */
  #span = 0;
  #spanTriedIds = new Set<string>();
  #refusals = 0;
  #isFinished = false;

  constructor(
    host: RaceHost,
    resolve: (end: RaceEnd) => void,
    reject: (error: unknown) => void,
  ) {
    this.#host = host;
    this.#resolve = resolve;
    this.#reject = reject;
  }

  run(endpoint: serving.ServingEndpoint): void {
    this.#lead = { endpoint, wasSent: false, hasBegun: false };
    this.#start(this.#lead);
  }

  #start(entry: Entry): void {
    const attempt = this.#host.start({
      endpoint: entry.endpoint,
      isTakeover: entry === this.#takeover,
      listener: {
        handleSent: () => {
          entry.wasSent = true;
        },
        handleBegun: () => this.#handleBegun(entry),
        handleDelivery: () => this.#handleDelivery(entry),
        handleSilence: () => this.#handle(() => this.#handleSilence(entry)),
        isBeside: () => entry === this.#takeover,
      },
    });
    entry.attempt = attempt;
    void attempt.outcome.then((outcome) =>
      this.#handle(() => this.#handleEnd(entry, outcome))
    );
  }

  /** Fails the request on an error, which would otherwise end the process. */
  #handle(handler: () => void): void {
    try {
      handler();
    } catch (error) {
      this.#reject(error);
    }
  }

  #handleBegun(entry: Entry): void {
    entry.hasBegun = true;
    const { maxOverlapMs } = this.#host;
    if (entry !== this.#takeover || maxOverlapMs === undefined) return;
    this.#overlapTimer = setTimeout(
      () =>
        this.#handle(() =>
          this.#lead.attempt?.cancel(CANCEL_CAUSE.endpointSilent)
        ),
      maxOverlapMs,
    );
  }

  #handleDelivery(entry: Entry): void {
    this.#startSpan();
    this.#refusals = 0;
    if (this.#takeover === undefined) return;
    if (entry === this.#lead) return this.#cancelTakeover();
    const silent = this.#promoteTakeover();
    silent.attempt?.cancel(CANCEL_CAUSE.endpointSilent);
  }

  #handleSilence(entry: Entry): void {
    const isAlone = entry === this.#lead && this.#takeover === undefined;
    if (!isAlone || this.#rerun !== undefined || this.#isFinished) return;
    this.#startSpan();
    // One more endpoint is tried; each send takes a retry from other requests.
    this.#refusals = Math.min(this.#refusals, takeover.MAX_REFUSALS - 1);
    this.#tryTakeover();
  }

  #startSpan(): void {
    this.#span += 1;
    this.#spanTriedIds = new Set();
  }

  #tryTakeover(): void {
    const plan = this.#host.planTakeover({
      endpoint: this.#lead.endpoint,
      triedIds: this.#spanTriedIds,
      refusals: this.#refusals,
    });
    match(plan)
      .with({ kind: "takeOver" }, ({ endpoint }) => {
        this.#spanTriedIds.add(endpoint.id);
        this.#takeover = { endpoint, wasSent: false, hasBegun: false };
        this.#start(this.#takeover);
      })
      .with({ kind: "rerunStages" }, () => this.#rerunStages())
      .with({ kind: "wait" }, () => {})
      .exhaustive();
  }

  #rerunStages(): void {
    const span = this.#span;
    this.#rerun = this.#host.rerunStages().then((isRerun) => {
      this.#rerun = undefined;
      const isNeeded = span === this.#span && !this.#isFinished;
      if (isRerun && isNeeded) this.#tryTakeover();
    });
    this.#rerun.catch(this.#reject);
  }

  /** Makes the takeover the attempt that answers; returns the one before. */
  #promoteTakeover(): Entry {
    clearTimeout(this.#overlapTimer);
    const before = this.#lead;
    this.#lead = this.#takeover!;
    this.#takeover = undefined;
    this.#host.handleTakenOver({
      from: before.endpoint,
      to: this.#lead.endpoint,
    });
    return before;
  }

  #cancelTakeover(): void {
    clearTimeout(this.#overlapTimer);
    const superseded = this.#takeover;
    this.#takeover = undefined;
    superseded?.attempt?.cancel(CANCEL_CAUSE.superseded);
  }

  #handleEnd(entry: Entry, outcome: AttemptOutcome): void {
    if (entry === this.#takeover) {
      return this.#handleTakeoverEnd(entry, outcome as RaceOutcome);
    }
    const isCancelled = entry !== this.#lead || outcome.kind === "superseded";
    if (isCancelled) return this.#drop(entry, outcome);
    if (this.#takeover === undefined || this.#host.isFinal(outcome)) {
      this.#cancelTakeover();
      return this.#finish(entry, outcome);
    }
    this.#drop(entry, outcome);
    this.#promoteTakeover();
  }

  #handleTakeoverEnd(entry: Entry, outcome: RaceOutcome): void {
    if (this.#host.isFinal(outcome)) {
      const silent = this.#promoteTakeover();
      silent.attempt?.cancel(CANCEL_CAUSE.endpointSilent);
      return this.#finish(entry, outcome);
    }
    clearTimeout(this.#overlapTimer);
    this.#takeover = undefined;
    this.#drop(entry, outcome);
    match(outcome)
      .with({ kind: "notRun" }, () => this.#handleRefusal(entry, outcome))
      .with({ kind: "notSent" }, () => this.#handleRefusal(entry, outcome))
      .with(
        { kind: "lost" },
        { kind: "answered" },
        { kind: "streamed" },
        { kind: "ended" },
        () => this.#tryTakeover(),
      )
      .exhaustive();
  }

  #handleRefusal({ endpoint }: Entry, outcome: RaceOutcome): void {
    this.#refusals += 1;
    // It may take over once the stages have run again.
    if (this.#host.isInputsMissing(outcome)) {
      this.#spanTriedIds.delete(endpoint.id);
    }
    this.#tryTakeover();
  }

  #drop(entry: Entry, outcome: AttemptOutcome): void {
    const { endpoint, wasSent, hasBegun } = entry;
    this.#host.recordDropped({ endpoint, outcome, wasSent, hasBegun });
  }

  #finish({ endpoint }: Entry, outcome: RaceOutcome): void {
    this.#isFinished = true;
    clearTimeout(this.#overlapTimer);
    const end = { endpoint, outcome };
    if (this.#rerun === undefined || this.#host.isFinal(outcome)) {
      return this.#resolve(end);
    }
    // The next attempt needs the results of the stages that run again.
    void this.#rerun.then(() => this.#resolve(end));
  }
}
