/**
 * Validation faults of settings and configuration: path, actual value and
 * expectation. A check reports all faults at once, so that a file can be
 * corrected in one pass.
 *
 * @module
 */
import { match } from "ts-pattern";
import type * as z from "zod";

/** A validation error in a settings file or a configuration. */
export interface ValidationFault {
  /** JSON path, such as `$.base.pipelines["drafts"].stages[0].service`. */
  readonly path: string;
  /** The value found; undefined if the field is missing. */
  readonly value: unknown;
  /** Description of the expected value. */
  readonly expected: string;
  /** The file that was read, if any. */
  readonly file?: string;
}

/** One step of a path: a field, a name or an index. */
export type PathSegment = string | number;

/** Longer values are truncated, so that a fault fits on a terminal. */
const MAX_VALUE_CHARS = 120;
/** Records keyed by names that operators choose; paths quote these names. */
const FIELDS_KEYED_BY_NAME: ReadonlySet<PathSegment> = new Set([
  "pipelines",
  "services",
  "customers",
  "sites",
]);
const IDENTIFIER = /^[A-Za-z_$][\w$]*$/;

/**
 * Formats a JSON path.
 *
 * @param segments Fields, names and indexes, starting at the root.
 * @returns The path; names that operators choose are quoted.
 * @example
 * ```ts
 * formatPath(["base", "pipelines", "drafts", "stages", 0]);
 * // $.base.pipelines["drafts"].stages[0]
 * ```
 */
export function formatPath(segments: readonly PathSegment[]): string {
  const steps = segments.map((segment, index) =>
    formatSegment(segment, segments[index - 1])
  );
  return `$${steps.join("")}`;
}

function formatSegment(segment: PathSegment, parent?: PathSegment): string {
  if (typeof segment === "number") return `[${segment}]`;
  const isName = parent !== undefined && FIELDS_KEYED_BY_NAME.has(parent);
  if (isName || !IDENTIFIER.test(segment)) {
    return `[${JSON.stringify(segment)}]`;
  }
  return `.${segment}`;
}

/**
 * Formats a fault as one line.
 *
 * @param fault The fault.
 * @returns The file, path, expectation and value.
 * @example
 * ```ts
 * formatFault({ path: "$.controls", value: 3, expected: "an array" });
 * // $.controls: expected an array, found 3
 * ```
 */
export function formatFault(fault: ValidationFault): string {
  const location = fault.file ? `${fault.file}: ${fault.path}` : fault.path;
  return `${location}: expected ${fault.expected}, found ${
    formatValue(fault.value)
  }`;
}

/**
 * Formats a value for one line of text.
 *
 * @param value Plain data, or undefined for a missing field.
 * @returns JSON, truncated after 120 characters.
 * @example
 * ```ts
 * formatValue(undefined); // nothing
 * ```
 */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAX_VALUE_CHARS) return text;
  return `${text.slice(0, MAX_VALUE_CHARS)}...`;
}

/**
 * Finds the value at a path in plain data.
 *
 * Considers own fields only: otherwise every object would contain a service
 * called `constructor`.
 *
 * @param value Plain data.
 * @param segments The path.
 * @returns The value, or undefined if the path does not exist.
 * @example
 * ```ts
 * findAtPath({ stages: [{ name: "draft" }] }, ["stages", 0, "name"]);
 * // "draft"
 * ```
 */
export function findAtPath(
  value: unknown,
  segments: readonly PathSegment[],
): unknown {
  return segments.reduce<unknown>((current, segment) => {
    if (typeof current !== "object" || current === null) return undefined;
    if (!Object.hasOwn(current, segment)) return undefined;
    return (current as Record<PathSegment, unknown>)[segment];
  }, value);
}

/**
 * Converts the issues of a schema check into faults.
 *
 * @param error Error of the schema library.
 * @param value The whole value that was checked.
 * @returns All faults, in the order of the issues.
 */
export function buildFaults(
  error: z.ZodError,
  value: unknown,
): ValidationFault[] {
  return error.issues.flatMap((issue) => buildIssueFaults(issue, value));
}

function buildIssueFaults(
  issue: z.core.$ZodIssue,
  root: unknown,
): ValidationFault[] {
  const segments = issue.path.map((segment) =>
    typeof segment === "symbol" ? String(segment) : segment
  );
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      createFault(root, [...segments, key], "no field of this name")
    );
  }
  if (issue.code === "invalid_key") {
    const name = segments.at(-1);
    const expected = issue.issues.map(formatExpected).join(" and ");
    return [{
      path: formatPath(segments),
      value: name,
      expected: `a name of ${expected}`,
    }];
  }
  return [createFault(root, segments, formatExpected(issue))];
}

/**
 * Creates a fault for the value at a path.
 *
 * @param root The whole value.
 * @param segments The path of the fault.
 * @param expected Description of the expected value.
 * @returns The fault.
 */
export function createFault(
  root: unknown,
  segments: readonly PathSegment[],
  expected: string,
): ValidationFault {
  return {
    path: formatPath(segments),
    value: findAtPath(root, segments),
    expected,
  };
}

function formatExpected(issue: z.core.$ZodIssue): string {
  return match(issue)
    .with({ code: "invalid_type" }, (narrowed) => formatType(narrowed.expected))
    .with({ code: "too_small" }, (narrowed) => formatBound(narrowed, "min"))
    .with({ code: "too_big" }, (narrowed) => formatBound(narrowed, "max"))
    .with(
      { code: "invalid_value" },
      (narrowed) =>
        `one of ${
          narrowed.values.map((value) => formatValue(value)).join(", ")
        }`,
    )
    .otherwise((narrowed) => narrowed.message.replace(/^expected /, ""));
}

function formatType(type: string): string {
  if (type === "int") return "an integer";
  const article = /^[aeiou]/.test(type) ? "an" : "a";
  return `${article} ${type === "record" ? "object" : type}`.replace(
    "a object",
    "an object",
  );
}

function formatBound(
  issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig,
  limit: "min" | "max",
): string {
  const bound = issue.code === "too_small" ? issue.minimum : issue.maximum;
  const unit = formatUnit(issue.origin);
  const inclusive = issue.inclusive ?? true;
  if (limit === "min") {
    return inclusive ? `at least ${bound}${unit}` : `more than ${bound}${unit}`;
  }
  return inclusive ? `at most ${bound}${unit}` : `less than ${bound}${unit}`;
}

function formatUnit(origin: string): string {
  if (origin === "array") return " element(s)";
  if (origin === "string") return " character(s)";
  return "";
}
