/**
 * Lines of the table of slopes.
 *
 * @module
 */

/** One line of the table. */
export interface SlopeRow {
  readonly role: string;
  readonly quantity: string;
  readonly value: string;
  readonly measuredAt: string;
}

/** Builds a line; `at` names the sizes at which it was measured. */
export function row(
  role: string,
  quantity: string,
  of: { readonly value: string; readonly at: string },
): SlopeRow {
  return { role, quantity, value: of.value, measuredAt: of.at };
}
