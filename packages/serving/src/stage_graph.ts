/**
 * The stages of one request: what can start, what each stage reads, and when.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { PoolSpec, ServiceSpec, StageSpec } from "./model.ts";

/** A result that an endpoint keeps under a handle. */
export interface PieceResult {
  readonly handle: string;
  readonly zone: string;
}

/** Where a stage stands. */
type StageState =
  | { readonly kind: "waiting" }
  | { readonly kind: "running" }
  | { readonly kind: "made"; readonly results: readonly PieceResult[] };

/** Pieces of a stage that may start now. */
export interface StageStart {
  readonly stage: number;
  readonly pieces: number;
  /** Handles that each piece reads; empty for a first stage. */
  readonly inputs: readonly string[];
  /** Bytes of these inputs by the zone that keeps them. */
  readonly inputBytes: Readonly<Record<string, number>>;
  /** The one stage that made them, if nobody else reads them. */
  readonly inputStage?: number;
  /** Whether only the request itself reads the results. */
  readonly isLast: boolean;
  /** Whether another stage of the request has been done. */
  readonly isInvested: boolean;
  /** Expected time from this stage's end to the end of all stages, in ms. */
  readonly laterMs: number;
}

/** What {@link StageGraph} is made from. */
export interface StageGraphOptions {
  readonly stages: readonly StageSpec[];
  /** Pieces of each stage; 0 leaves the stage out. */
  readonly pieceCounts: readonly number[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
}

/**
 * Share of a full batch that a call carries on average; used for expected times
 * only.
 */
const EXPECTED_FILL = 0.7;
/** Expected time of a stage whose service isn't configured, in milliseconds. */
const UNKNOWN_STAGE_MS = 300;

/**
 * How much earlier than just in time a short branch starts, in milliseconds:
 * about half a call, the mean wait for a free endpoint of a pool.
 */
const START_SLACK_MS = 150;

/**
 * Follows the stages of one request.
 *
 * Results take room from the start of their call until their last reader is
 * done, and room for large results is what runs out first. A stage that isn't on
 * the longest path therefore starts as late as it can: when what is left of the
 * longest path takes as long as its own branch.
 */
export class StageGraph {
  readonly #options: StageGraphOptions;
  readonly #states: StageState[];
  readonly #branchMs: readonly number[];

  /** @param options The route's stages and the request's pieces. */
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
   * Expected time of all stages along the longest path, in milliseconds.
   *
   * @param getWaitMs Wait of a stage before its calls; none by default.
   */
  getExpectedMs(getWaitMs: (stage: number) => number = () => 0): number {
    const stages = this.#options.stages.map((_, stage) =>
      this.#getBranchMs(stage, getWaitMs)
    );
    return Math.max(0, ...stages);
  }

  /** Whether every stage has its results. */
  get isDone(): boolean {
    return this.#states.every((state) => state.kind === "made");
  }

  /** Gives the stages that start now and marks them as running. */
  startStages(): StageStart[] {
    const starts = this.#findStarts();
    for (const start of starts) {
      this.#states[start.stage] = { kind: "running" };
    }
    return starts;
  }

  /** Notes the results of a stage. */
  recordResults(stage: number, results: readonly PieceResult[]): void {
    this.#states[stage] = { kind: "made", results };
  }

  /** Gives the handles of stages that no later stage will read any more. */
  getFinished(stage: number): string[] {
    return this.#options.stages[stage]!.after
      .filter((earlier) => this.#isFullyRead(earlier))
      .flatMap((earlier) => this.getHandles(earlier));
  }

  /** Gives what the request itself reads: results of stages nobody follows. */
  getFinalResults(): PieceResult[] {
    return this.#options.stages.flatMap((_, stage) =>
      this.#hasReaders(stage) ? [] : this.#getResults(stage)
    );
  }

  /** Gives the bytes that the request itself reads, by zone. */
  getFinalBytes(): Record<string, number> {
    const last = this.#options.stages.map((_, stage) => stage)
      .filter((stage) => !this.#hasReaders(stage));
    return this.#countBytes(last);
  }

  /** Gives every handle that was made. */
  getAllHandles(): string[] {
    return this.#states.flatMap((_, stage) => this.getHandles(stage));
  }

  #findStarts(): StageStart[] {
    const leftMs = this.#getLeftMs();
    return this.#options.stages.flatMap((spec, stage) => {
      if (this.#states[stage]!.kind !== "waiting") return [];
      if (!spec.after.every((one) => this.#states[one]!.kind === "made")) {
        return [];
      }
      if (this.#branchMs[stage]! + START_SLACK_MS < leftMs) return [];
      const inputs = spec.after.flatMap((one) => this.getHandles(one));
      const pieces = this.#countPieces(stage);
      const laterMs = this.#branchMs[stage]! - this.#getStageMs(stage);
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
        laterMs,
      }];
    });
  }

  /** Expected time of what is neither made nor running, along the longest path. */
  #getLeftMs(): number {
    const waiting = this.#branchMs.filter((_, stage) =>
      this.#states[stage]!.kind === "waiting"
    );
    const running = this.#branchMs.filter((_, stage) =>
      this.#states[stage]!.kind === "running"
    );
    return Math.max(0, ...waiting, ...running);
  }

  /** Expected time from the start of a stage to the end of all that follow it. */
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
    return pool === undefined ? UNKNOWN_STAGE_MS : getExpectedCallMs(pool);
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

  /** Gives the handles of a stage's results. */
  getHandles(stage: number): string[] {
    return this.#getResults(stage).map((result) => result.handle);
  }
}

/** Expected time of a call that carries a usual number of pieces. */
export function getExpectedCallMs(pool: PoolSpec): number {
  return pool.callMs + pool.batchSize * EXPECTED_FILL * pool.pieceMs;
}
