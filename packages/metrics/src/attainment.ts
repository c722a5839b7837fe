/**
 * End-to-end attainment: which share of requests finished in their deadline.
 *
 * @module
 */
import type { CustomerId, PipelineId } from "@sardinestep/types";
import { OTHER } from "./labels.ts";

/** Pairs of pipeline and customer that are kept apart. */
export const MAX_ATTAINMENT_ROWS = 500;

/** How a request ended, as attainment sees it. */
export const ATTAINMENT_END = {
  inDeadline: "inDeadline",
  late: "late",
  refused: "refused",
  unknown: "unknown",
} as const;
export type AttainmentEnd =
  (typeof ATTAINMENT_END)[keyof typeof ATTAINMENT_END];

/** Counts for one pipeline and customer. */
export interface AttainmentRow {
  readonly pipeline: PipelineId;
  readonly customer: CustomerId;
  readonly inDeadline: number;
  readonly late: number;
  readonly refused: number;
  readonly unknown: number;
  /** Share of all requests that finished in their deadline, 0 to 1. */
  readonly share: number;
}

interface MutableRow extends Record<AttainmentEnd, number> {
  readonly pipeline: PipelineId;
  readonly customer: CustomerId;
}

/**
 * Counts ends of requests by pipeline and customer. A refused request counts
 * against attainment: refusing everything must not look good.
 *
 * @example
 * ```ts
 * attainment.record("inDeadline", { pipeline: "drafts", customer: "sawmill" });
 * attainment.getRows();
 * ```
 */
export class Attainment {
  readonly #maxRows: number;
  readonly #rows = new Map<PipelineId, Map<CustomerId, MutableRow>>();
  #rowCount = 0;

  /** @param maxRows Rows kept; beyond it all share the row `other`. */
  constructor(maxRows: number = MAX_ATTAINMENT_ROWS) {
    this.#maxRows = maxRows;
  }

  /** Counts the end of one request. */
  record(
    end: AttainmentEnd,
    of: { readonly pipeline: PipelineId; readonly customer: CustomerId },
  ): void {
    this.#getRow(of.pipeline, of.customer)[end] += 1;
  }

  /** Gives all rows, sorted by pipeline and customer. */
  getRows(): AttainmentRow[] {
    return [...this.#rows.values()]
      .flatMap((byCustomer) => [...byCustomer.values()])
      .map((row) => ({ ...row, share: getShare(row) }))
      .sort(compareRows);
  }

  /** Two look-ups and no string: this runs for each request. */
  #getRow(pipeline: PipelineId, customer: CustomerId): MutableRow {
    const known = this.#rows.get(pipeline)?.get(customer);
    if (known !== undefined) return known;
    const isOther = pipeline === OTHER && customer === OTHER;
    if (this.#rowCount < this.#maxRows || isOther) {
      return this.#addRow(pipeline, customer);
    }
    return this.#getRow(OTHER, OTHER);
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
