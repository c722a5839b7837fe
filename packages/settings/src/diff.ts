/**
 * Differences between two configurations.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { formatPath, formatValue, type PathSegment } from "./fault.ts";

/** One value that differs. */
export interface Change {
  /** JSON path of the value. */
  readonly path: string;
  /** Undefined when it was added. */
  readonly before: unknown;
  /** Undefined when it was removed. */
  readonly after: unknown;
}

/**
 * Compares two configurations value by value.
 *
 * @param before The configuration to start from.
 * @param after The configuration that it becomes.
 * @returns Every difference, ordered by path; lists of names are one value.
 * @example
 * ```ts
 * diffConfigurations(inForce, edited).map(formatChange);
 * ```
 */
export function diffConfigurations(
  before: unknown,
  after: unknown,
): readonly Change[] {
  return compareValues(before, after, []);
}

function compareValues(
  before: unknown,
  after: unknown,
  path: readonly PathSegment[],
): Change[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isBranch(before) || !isBranch(after)) {
    return [{ path: formatPath(path), before, after }];
  }
  return getSteps(before, after).flatMap((step) =>
    compareValues(getOwn(before, step), getOwn(after, step), [...path, step])
  );
}

/** Objects and lists of objects are looked into; lists of names are not. */
function isBranch(value: unknown): value is Record<PathSegment, unknown> {
  if (typeof value !== "object" || value === null) return false;
  if (!Array.isArray(value)) return true;
  return value.length > 0 && value.every((it) => typeof it === "object");
}

function getSteps(
  before: Record<PathSegment, unknown>,
  after: Record<PathSegment, unknown>,
): PathSegment[] {
  if (Array.isArray(before) && Array.isArray(after)) {
    const length = Math.max(before.length, after.length);
    return Array.from({ length }, (_, index) => index);
  }
  return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
}

function getOwn(
  value: Record<PathSegment, unknown>,
  step: PathSegment,
): unknown {
  return Object.hasOwn(value, step) ? value[step] : undefined;
}

/**
 * Formats a change as one line: `+` added, `-` removed, `~` changed.
 *
 * @param change The change.
 * @returns The line.
 * @example
 * ```ts
 * formatChange({ path: "$.zonesOut", before: [], after: ["yard-b"] });
 * // ~ $.zonesOut: [] -> ["yard-b"]
 * ```
 */
export function formatChange(change: Change): string {
  if (change.before === undefined) {
    return `+ ${change.path}: ${formatValue(change.after)}`;
  }
  if (change.after === undefined) {
    return `- ${change.path}: ${formatValue(change.before)}`;
  }
  return `~ ${change.path}: ${formatValue(change.before)} -> ${
    formatValue(change.after)
  }`;
}
