/**
 * Cost by stage.
 *
 * @module
 */
import type { PipelineId } from "@sardinestep/types";
import { OTHER } from "./labels.ts";

/** Pairs of pipeline and stage that are kept apart. */
export const MAX_COST_ROWS = 300;

/** What one call of a stage cost. */
export interface CallCost {
  readonly tokens: number;
  /** Worker time that the endpoint accounts for. */
  readonly workerMs: number;
  /** Set when no caller got anything for it: cancelled, hedged or doubled. */
  readonly wasted?: boolean;
}

/** Sums for one stage of one pipeline. */
export interface StageCostRow {
  readonly pipeline: PipelineId;
  readonly stage: string;
  readonly calls: number;
  readonly tokens: number;
  readonly workerMs: number;
  /** The part of `workerMs` that no caller got anything for. */
  readonly wastedWorkerMs: number;
}

type MutableRow = {
  -readonly [Name in keyof StageCostRow]: StageCostRow[Name];
};

/**
 * Sums up what calls cost, by pipeline and stage.
 *
 * @example
 * ```ts
 * cost.record({ pipeline: "drafts", stage: "rerank" }, { tokens: 0, workerMs: 8 });
 * ```
 */
export class StageCost {
  readonly #maxRows: number;
  readonly #rows = new Map<PipelineId, Map<string, MutableRow>>();
  #rowCount = 0;

  /** @param maxRows Rows kept; beyond it all share the row `other`. */
  constructor(maxRows: number = MAX_COST_ROWS) {
    this.#maxRows = maxRows;
  }

  /** Adds one finished or cancelled call. */
  record(
    of: { readonly pipeline: PipelineId; readonly stage: string },
    cost: CallCost,
  ): void {
    const row = this.#getRow(of.pipeline, of.stage);
    row.calls += 1;
    row.tokens += cost.tokens;
    row.workerMs += cost.workerMs;
    if (cost.wasted) row.wastedWorkerMs += cost.workerMs;
  }

  /** Gives all rows, in order of their first call. */
  getRows(): StageCostRow[] {
    return [...this.#rows.values()]
      .flatMap((byStage) => [...byStage.values()])
      .map((row) => ({ ...row }));
  }

  /** Two look-ups and no string: this runs for each call. */
  #getRow(pipeline: PipelineId, stage: string): MutableRow {
    const known = this.#rows.get(pipeline)?.get(stage);
    if (known !== undefined) return known;
    const isOther = pipeline === OTHER && stage === OTHER;
    if (this.#rowCount < this.#maxRows || isOther) {
      return this.#addRow(pipeline, stage);
    }
    return this.#getRow(OTHER, OTHER);
  }

  #addRow(pipeline: PipelineId, stage: string): MutableRow {
    const row = {
      pipeline,
      stage,
      calls: 0,
      tokens: 0,
      workerMs: 0,
      wastedWorkerMs: 0,
    };
    const byStage = this.#rows.get(pipeline) ?? new Map();
    byStage.set(stage, row);
    this.#rows.set(pipeline, byStage);
    this.#rowCount += 1;
    return row;
  }
}
