/**
 * Differences between two configurations.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { formatPath, formatValue, type PathSegment } from "./fault.ts";

/** A value that differs between two configurations. */
export interface ConfigurationChange {
  /** JSON path of the value. */
  readonly path: string;
  /** Undefined if the value was added. */
  readonly before: unknown;
  /** Undefined if the value was removed. */
  readonly after: unknown;
}

/**
 * Compares two configurations value by value.
 *
 * @param before The old configuration.
 * @param after The new configuration.
 * @returns All differences, ordered by path; a list of names is one value.
 * @example
 * ```ts
 * findChanges(inForce, edited).map(formatChange);
 * ```
 */
export function findChanges(
  before: unknown,
  after: unknown,
): readonly ConfigurationChange[] {
  return compareValues(before, after, []);
}

function compareValues(
  before: unknown,
  after: unknown,
  path: readonly PathSegment[],
): ConfigurationChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isNested(before) || !isNested(after)) {
    return [{ path: formatPath(path), before, after }];
  }
  return getSegments(before, after).flatMap((segment) =>
    compareValues(getOwn(before, segment), getOwn(after, segment), [
      ...path,
      segment,
    ])
  );
}

/** Objects and lists of objects are nested; lists of names are one value. */
function isNested(value: unknown): value is Record<PathSegment, unknown> {
  if (typeof value !== "object" || value === null) return false;
  if (!Array.isArray(value)) return true;
  return value.length > 0 &&
    value.every((element) => typeof element === "object");
}

function getSegments(
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
  segment: PathSegment,
): unknown {
  return Object.hasOwn(value, segment) ? value[segment] : undefined;
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
export function formatChange(change: ConfigurationChange): string {
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
