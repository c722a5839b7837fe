/**
 * Faults of settings and configuration: where, what stands there, and what was
 * expected. A check gives all of them at once, so that a file is mended in one
 * go.
 *
 * @module
 */
import { match } from "ts-pattern";
import type * as z from "zod";

/** One thing that is wrong with a settings file or a configuration. */
export interface Fault {
  /** JSON path, such as `$.base.pipelines["drafts"].stages[0].service`. */
  readonly path: string;
  /** What stands there; undefined when the field is missing. */
  readonly value: unknown;
  /** What was expected, in words. */
  readonly expected: string;
  /** The file, where it came from one. */
  readonly file?: string;
}

/** One step of a path: a field, a name or an index. */
export type PathSegment = string | number;

/** Values longer than this are cut: a fault has to fit a terminal. */
const MAX_VALUE_LENGTH = 120;
/** Fields whose keys are names that operators choose; these are quoted. */
const FIELDS_OF_NAMES: ReadonlySet<PathSegment> = new Set([
  "pipelines",
  "services",
  "customers",
  "sites",
]);
const IDENTIFIER = /^[A-Za-z_$][\w$]*$/;

/**
 * Formats a JSON path.
 *
 * @param segments Fields, names and indexes from the root on.
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
  const isName = parent !== undefined && FIELDS_OF_NAMES.has(parent);
  if (isName || !IDENTIFIER.test(segment)) {
    return `[${JSON.stringify(segment)}]`;
  }
  return `.${segment}`;
}

/**
 * Formats a fault as one line.
 *
 * @param fault The fault.
 * @returns File, path, value and what was expected.
 * @example
 * ```ts
 * formatFault({ path: "$.controls", value: 3, expected: "an array" });
 * // $.controls: expected an array, found 3
 * ```
 */
export function formatFault(fault: Fault): string {
  const place = fault.file ? `${fault.file}: ${fault.path}` : fault.path;
  return `${place}: expected ${fault.expected}, found ${
    formatValue(fault.value)
  }`;
}

/**
 * Formats a value for one line of text.
 *
 * @param value Plain data; undefined stands for a missing field.
 * @returns JSON, cut after 120 characters.
 * @example
 * ```ts
 * formatValue(undefined); // nothing
 * ```
 */
export function formatValue(value: unknown): string {
  if (value === undefined) return "nothing";
  const text = JSON.stringify(value) ?? String(value);
  if (text.length <= MAX_VALUE_LENGTH) return text;
  return `${text.slice(0, MAX_VALUE_LENGTH)}...`;
}

/**
 * Finds the value at a path of plain data.
 *
 * Only own fields count: a service called `constructor` would otherwise be
 * found in every object.
 *
 * @param value Plain data.
 * @param segments The path.
 * @returns The value, or undefined.
 * @example
 * ```ts
 * findAt({ stages: [{ name: "draft" }] }, ["stages", 0, "name"]); // "draft"
 * ```
 */
export function findAt(
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
 * Builds faults from a schema's issues.
 *
 * @param error What the schema library returned.
 * @param value The whole value that was checked.
 * @returns Every fault, in the order of the library.
 */
export function buildFaults(error: z.ZodError, value: unknown): Fault[] {
  return error.issues.flatMap((issue) => buildFaultsOfIssue(issue, value));
}

function buildFaultsOfIssue(
  issue: z.core.$ZodIssue,
  root: unknown,
): Fault[] {
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
 * Makes a fault for what stands at a path.
 *
 * @param root The whole value.
 * @param segments The path of the fault.
 * @param expected What was expected, in words.
 * @returns The fault.
 */
export function createFault(
  root: unknown,
  segments: readonly PathSegment[],
  expected: string,
): Fault {
  return {
    path: formatPath(segments),
    value: findAt(root, segments),
    expected,
  };
}

function formatExpected(issue: z.core.$ZodIssue): string {
  return match(issue)
    .with({ code: "invalid_type" }, (it) => formatType(it.expected))
    .with({ code: "too_small" }, (it) => formatBound(it, "small"))
    .with({ code: "too_big" }, (it) => formatBound(it, "big"))
    .with(
      { code: "invalid_value" },
      (it) =>
        `one of ${it.values.map((value) => formatValue(value)).join(", ")}`,
    )
    .otherwise((it) => it.message.replace(/^expected /, ""));
}

function formatType(type: string): string {
  if (type === "int") return "a whole number";
  const article = /^[aeiou]/.test(type) ? "an" : "a";
  return `${article} ${type === "record" ? "object" : type}`.replace(
    "a object",
    "an object",
  );
}

function formatBound(
  issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig,
  side: "small" | "big",
): string {
  const bound = issue.code === "too_small" ? issue.minimum : issue.maximum;
  const unit = formatUnit(issue.origin);
  const inclusive = issue.inclusive ?? true;
  if (side === "small") {
    return inclusive ? `at least ${bound}${unit}` : `more than ${bound}${unit}`;
  }
  return inclusive ? `at most ${bound}${unit}` : `less than ${bound}${unit}`;
}

function formatUnit(origin: string): string {
  if (origin === "array") return " element(s)";
  if (origin === "string") return " character(s)";
  return "";
}
