/**
 * End-to-end attainment: the share of requests completed within their deadline.
 *
 * @module
 */
import type { CustomerId, PipelineId } from "@sardinestep/types";
import { OTHER_LABEL_VALUE } from "./labels.ts";

/** Maximum pairs of pipeline and customer that get their own row. */
export const MAX_ATTAINMENT_ROWS = 500;

/** Outcome of a request as counted by attainment. */
export const ATTAINMENT_OUTCOME = {
  inDeadline: "inDeadline",
  late: "late",
  refused: "refused",
  unknown: "unknown",
} as const;
export type AttainmentOutcome =
  (typeof ATTAINMENT_OUTCOME)[keyof typeof ATTAINMENT_OUTCOME];

/** Request counts of one pipeline and customer. */
export interface AttainmentRow {
  readonly pipeline: PipelineId;
  readonly customer: CustomerId;
  readonly inDeadline: number;
  readonly late: number;
  readonly refused: number;
  readonly unknown: number;
  /** Share of all requests completed within their deadline, 0 to 1. */
  readonly share: number;
}

interface MutableRow extends Record<AttainmentOutcome, number> {
  readonly pipeline: PipelineId;
  readonly customer: CustomerId;
}

/**
 * Counts request outcomes by pipeline and customer. A refused request counts as
 * missed: otherwise refusing all requests would improve attainment.
 *
 * @example
 * ```ts
 * attainment.record("inDeadline", { pipeline: "drafts", customer: "sawmill" });
 * attainment.getRows();
 * ```
 */
export class DeadlineAttainment {
  readonly #maxRows: number;
  readonly #rows = new Map<PipelineId, Map<CustomerId, MutableRow>>();
  #rowCount = 0;

  /** @param maxRows Maximum rows; further pairs share the row `other`. */
  constructor(maxRows: number = MAX_ATTAINMENT_ROWS) {
    this.#maxRows = maxRows;
  }

  /** Counts the outcome of one request. */
  record(
    outcome: AttainmentOutcome,
    scope: { readonly pipeline: PipelineId; readonly customer: CustomerId },
  ): void {
    this.#getRow(scope.pipeline, scope.customer)[outcome] += 1;
  }

  /** Returns all rows, sorted by pipeline and customer. */
  getRows(): AttainmentRow[] {
    return [...this.#rows.values()]
      .flatMap((byCustomer) => [...byCustomer.values()])
      .map((row) => ({ ...row, share: getShare(row) }))
      .sort(compareRows);
  }

  /** Runs for each request: two map lookups, no string concatenation. */
  #getRow(pipeline: PipelineId, customer: CustomerId): MutableRow {
    const existing = this.#rows.get(pipeline)?.get(customer);
    if (existing !== undefined) return existing;
    const isOther = pipeline === OTHER_LABEL_VALUE &&
      customer === OTHER_LABEL_VALUE;
    if (this.#rowCount < this.#maxRows || isOther) {
      return this.#addRow(pipeline, customer);
    }
    return this.#getRow(OTHER_LABEL_VALUE, OTHER_LABEL_VALUE);
  }

  #addRow(pipeline: PipelineId, customer: CustomerId): MutableRow {
    const row = {
      pipeline,
      customer,
      inDeadline: 0,
      late: 0,
      refused: 0,
      unknown: 0,
    };
    const byCustomer = this.#rows.get(pipeline) ?? new Map();
    byCustomer.set(customer, row);
    this.#rows.set(pipeline, byCustomer);
    this.#rowCount += 1;
    return row;
  }
}

function getShare(row: MutableRow): number {
  const total = row.inDeadline + row.late + row.refused + row.unknown;
  return total === 0 ? 0 : row.inDeadline / total;
}

function compareRows(left: AttainmentRow, right: AttainmentRow): number {
  if (left.pipeline !== right.pipeline) {
    return left.pipeline < right.pipeline ? -1 : 1;
  }
  if (left.customer === right.customer) return 0;
  return left.customer < right.customer ? -1 : 1;
}
