/**
 * Tokens and worker time spent, by stage.
 *
 * @module
 */
import type { PipelineId } from "@sardinestep/types";
import { OTHER_LABEL_VALUE } from "./labels.ts";

/** Maximum pairs of pipeline and stage that get their own row. */
export const MAX_STAGE_COST_ROWS = 300;

/** Cost of one call of a stage. */
export interface CallCost {
  readonly tokens: number;
  /** Worker time reported by the endpoint. */
  readonly workerMs: number;
  /** Set if no caller used the result: cancelled, hedged or duplicate call. */
  readonly wasted?: boolean;
}

/** Total cost of one stage of one pipeline. */
export interface StageCostRow {
  readonly pipeline: PipelineId;
  readonly stage: string;
  readonly calls: number;
  readonly tokens: number;
  readonly workerMs: number;
  /** The part of `workerMs` whose results no caller used. */
  readonly wastedWorkerMs: number;
}

type MutableRow = {
  -readonly [Name in keyof StageCostRow]: StageCostRow[Name];
};

/**
 * Sums the cost of calls by pipeline and stage.
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

  /** @param maxRows Maximum rows; further pairs share the row `other`. */
  constructor(maxRows: number = MAX_STAGE_COST_ROWS) {
    this.#maxRows = maxRows;
  }

  /** Adds the cost of one finished or cancelled call. */
  record(
    scope: { readonly pipeline: PipelineId; readonly stage: string },
    cost: CallCost,
  ): void {
    const row = this.#getRow(scope.pipeline, scope.stage);
    row.calls += 1;
    row.tokens += cost.tokens;
    row.workerMs += cost.workerMs;
    if (cost.wasted) row.wastedWorkerMs += cost.workerMs;
  }

  /** Returns all rows, grouped by pipeline in order of first call. */
  getRows(): StageCostRow[] {
    return [...this.#rows.values()]
      .flatMap((byStage) => [...byStage.values()])
      .map((row) => ({ ...row }));
  }

  /** Runs for each call: two map lookups, no string concatenation. */
  #getRow(pipeline: PipelineId, stage: string): MutableRow {
    const existing = this.#rows.get(pipeline)?.get(stage);
    if (existing !== undefined) return existing;
    const isOther = pipeline === OTHER_LABEL_VALUE &&
      stage === OTHER_LABEL_VALUE;
    if (this.#rowCount < this.#maxRows || isOther) {
      return this.#addRow(pipeline, stage);
    }
    return this.#getRow(OTHER_LABEL_VALUE, OTHER_LABEL_VALUE);
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
