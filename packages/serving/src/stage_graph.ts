/**
 * Dependency graph of a request's stages: which can start, with which inputs, and
 * when.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { PoolSpec, ServiceSpec, StageSpec } from "./model.ts";

/** A result that an endpoint stores under a handle. */
export interface PieceResult {
  readonly handle: string;
  readonly zone: string;
}

/** Progress of a stage. */
type StageState =
  | { readonly kind: "waiting" }
  | { readonly kind: "running" }
  | { readonly kind: "made"; readonly results: readonly PieceResult[] };

/** A stage whose pieces start now. */
export interface StageStart {
  readonly stage: number;
  readonly pieces: number;
  /** Handles that each piece reads; empty for a first stage. */
  readonly inputs: readonly string[];
  /** Bytes of these inputs by the zone that stores them. */
  readonly inputBytes: Readonly<Record<string, number>>;
  /** The only stage that made them, if no other stage reads them. */
  readonly inputStage?: number;
  /** Whether only the request itself reads the results. */
  readonly isLast: boolean;
  /** Whether another stage of the request is complete. */
  readonly isInvested: boolean;
  /** Expected time from the end of this stage to the end of all stages, in ms. */
  readonly downstreamMs: number;
}

/** Options of {@link StageGraph}. */
export interface StageGraphOptions {
  readonly stages: readonly StageSpec[];
  /** Number of pieces of each stage; 0 skips the stage. */
  readonly pieceCounts: readonly number[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  /** Share of a full batch that calls are expected to have. */
  readonly callFill?: number;
}

/** Average share of a full batch in a call; used for expected times only. */
const EXPECTED_CALL_FILL = 0.7;
/** Expected time of a stage with an unknown service, in milliseconds. */
const DEFAULT_STAGE_MS = 300;

/**
 * Time by which a short branch starts earlier than necessary, in milliseconds:
 * about half a call, the mean wait for an idle endpoint of a pool.
 */
const BRANCH_SLACK_MS = 150;

/**
 * Tracks the stages of one request.
 *
 * Results occupy space from the start of their call until their last reader is
 * done, and space for large results runs out first. So a stage that isn't on the
 * longest path starts as late as possible: when the rest of the longest path takes
 * as long as its own branch.
 */
export class StageGraph {
  readonly #options: StageGraphOptions;
  readonly #states: StageState[];
  readonly #branchMs: readonly number[];

  /** @param options The route's stages and the number of pieces of each. */
  constructor(options: StageGraphOptions) {
    this.#options = options;
    this.#states = options.stages.map((_, stage) =>
      this.#countPieces(stage) === 0
        ? { kind: "made", results: [] }
        : { kind: "waiting" }
    );
    this.#branchMs = options.stages.map((_, stage) => this.#getBranchMs(stage));
  }

  /**
   * Returns the expected time of all stages along the longest path, in
   * milliseconds.
   *
   * @param getWaitMs Wait of a stage before its calls; none by default.
   */
  getExpectedMs(getWaitMs: (stage: number) => number = () => 0): number {
    const stages = this.#options.stages.map((_, stage) =>
      this.#getBranchMs(stage, getWaitMs)
    );
    return Math.max(0, ...stages);
  }

  /**
   * Returns the expected time of the remaining stages along the longest path, in
   * milliseconds. A running stage counts as if it had just started.
   *
   * @param getWaitMs Wait of a stage before its calls; none by default.
   */
  getRemainingMs(getWaitMs?: (stage: number) => number): number {
    const branches = this.#states.map(({ kind }, stage) => {
      if (kind === "made") return 0;
      return getWaitMs === undefined
        ? this.#branchMs[stage]!
        : this.#getBranchMs(stage, getWaitMs);
    });
    return Math.max(0, ...branches);
  }

  /** Whether every stage has its results. */
  get isDone(): boolean {
    return this.#states.every((state) => state.kind === "made");
  }

  /** Returns the stages that start now and marks them as running. */
  startStages(): StageStart[] {
    const starts = this.#findStarts();
    for (const start of starts) {
      this.#states[start.stage] = { kind: "running" };
    }
    return starts;
  }

  /** Records the results of a stage. */
  recordResults(stage: number, results: readonly PieceResult[]): void {
    this.#states[stage] = { kind: "made", results };
  }

  /** Returns the handles of the stage's inputs that no later stage will read. */
  getReleasableHandles(stage: number): string[] {
    return this.#options.stages[stage]!.after
      .filter((earlier) => this.#isFullyRead(earlier))
      .flatMap((earlier) => this.getHandles(earlier));
  }

  /** Returns what the request itself reads: results that no stage reads. */
  getFinalResults(): PieceResult[] {
    return this.#options.stages.flatMap((_, stage) =>
      this.#hasReaders(stage) ? [] : this.#getResults(stage)
    );
  }

  /** Returns the bytes that the request itself reads, by zone. */
  getFinalBytes(): Record<string, number> {
    const last = this.#options.stages.map((_, stage) => stage)
      .filter((stage) => !this.#hasReaders(stage));
    return this.#countBytes(last);
  }

  /** Returns the handles of all results. */
  getAllHandles(): string[] {
    return this.#states.flatMap((_, stage) => this.getHandles(stage));
  }

  #findStarts(): StageStart[] {
    const remainingMs = this.getRemainingMs();
    return this.#options.stages.flatMap((spec, stage) => {
      if (this.#states[stage]!.kind !== "waiting") return [];
      if (!spec.after.every((input) => this.#states[input]!.kind === "made")) {
        return [];
      }
      if (this.#branchMs[stage]! + BRANCH_SLACK_MS < remainingMs) return [];
      const inputs = spec.after.flatMap((input) => this.getHandles(input));
      const pieces = this.#countPieces(stage);
      const downstreamMs = this.#branchMs[stage]! - this.#getStageMs(stage);
      const inputBytes = this.#countBytes(spec.after);
      const isLast = !this.#hasReaders(stage);
      return [{
        stage,
        pieces,
        inputs,
        inputBytes,
        inputStage: this.#findInputStage(stage),
        isLast,
        isInvested: this.#hasResults(),
        downstreamMs,
      }];
    });
  }

  /** Expected time from the start of a stage to the end of its branch. */
  #getBranchMs(
    stage: number,
    getWaitMs: (stage: number) => number = () => 0,
  ): number {
    if (this.#countPieces(stage) === 0) return 0;
    const later = this.#options.stages.map((spec, other) =>
      spec.after.includes(stage) ? this.#getBranchMs(other, getWaitMs) : 0
    );
    return getWaitMs(stage) + this.#getStageMs(stage) + Math.max(0, ...later);
  }

  #getStageMs(stage: number): number {
    const service = this.#options.stages[stage]!.service;
    const pool = this.#options.services.get(service)?.pool;
    return pool === undefined
      ? DEFAULT_STAGE_MS
      : getExpectedCallMs(pool, this.#options.callFill);
  }

  #countBytes(stages: readonly number[]): Record<string, number> {
    const bytes: Record<string, number> = {};
    for (const stage of stages) {
      const { resultBytes } = this.#options.stages[stage]!;
      for (const { zone } of this.#getResults(stage)) {
        bytes[zone] = (bytes[zone] ?? 0) + resultBytes;
      }
    }
    return bytes;
  }

  #findInputStage(stage: number): number | undefined {
    const { stages } = this.#options;
    const [input, ...others] = stages[stage]!.after;
    if (input === undefined || others.length > 0) return undefined;
    const readers = stages.filter((spec, other) =>
      spec.after.includes(input) && this.#countPieces(other) > 0
    );
    return readers.length === 1 ? input : undefined;
  }

  #countPieces(stage: number): number {
    return this.#options.pieceCounts[stage] ?? 0;
  }

  #hasReaders(stage: number): boolean {
    return this.#options.stages.some((spec, other) =>
      spec.after.includes(stage) && this.#countPieces(other) > 0
    );
  }

  #hasResults(): boolean {
    return this.#states.some((_, stage) => this.#getResults(stage).length > 0);
  }

  #isFullyRead(stage: number): boolean {
    return this.#options.stages.every((spec, other) =>
      !spec.after.includes(stage) || this.#states[other]!.kind === "made"
    );
  }

  #getResults(stage: number): readonly PieceResult[] {
    return match(this.#states[stage]!)
      .with({ kind: "made" }, ({ results }) => results)
      .with({ kind: "waiting" }, { kind: "running" }, () => [])
      .exhaustive();
  }

  /** Returns the handles of a stage's results. */
  getHandles(stage: number): string[] {
    return this.#getResults(stage).map((result) => result.handle);
  }
}

/**
 * Returns the expected time of a call, in milliseconds.
 *
 * @param callFill Share of a full batch that the call has.
 */
export function getExpectedCallMs(
  pool: PoolSpec,
  callFill = EXPECTED_CALL_FILL,
): number {
  return pool.callMs + pool.batchSize * callFill * pool.pieceMs;
}
