/**
 * Compares what callers were told with what the workers ran.
 *
 * @module
 */
import type { CallerResult } from "./caller.ts";
import type { KeyRuns, WorkerCounters } from "./stand_ins.ts";

/** A promise of the brief that was broken. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** What an audit looks at. */
export interface AuditInput {
  readonly results: readonly CallerResult[];
  readonly runs: Readonly<Record<string, KeyRuns>>;
  readonly workers: readonly WorkerCounters[];
  /** Operations that may not be repeated. */
  readonly singleOperations: ReadonlySet<string>;
  /** How many calls a cold worker bears, by address. */
  readonly coldConcurrency: ReadonlyMap<string, number>;
}

/**
 * Finds every broken promise.
 *
 * @param input What callers were told and what ran.
 * @returns Violations; empty when every promise was kept.
 */
export function findViolations(input: AuditInput): Violation[] {
  return [
    ...findDoubleRuns(input),
    ...input.results.flatMap((result) => checkResult(result, input.runs)),
    ...findFallenWorkers(input),
  ];
}

function findDoubleRuns(input: AuditInput): Violation[] {
  return Object.entries(input.runs).flatMap(([key, keyRuns]) => {
    const operations = keyRuns.operations.filter((name) =>
      input.singleOperations.has(name)
    );
    if (operations.length <= 1) return [];
    const detail = `key "${key}" ran ${operations.join(", ")}`;
    return [{ promise: "at most once", detail }];
  });
}

function checkResult(
  result: CallerResult,
  runs: Readonly<Record<string, KeyRuns>>,
): Violation[] {
  const violations: Violation[] = [];
  const about = `"${result.request.name}" under key "${result.key ?? "none"}"`;
  const { answer, key } = result;
  if (!answer) {
    const last = result.attempts.at(-1)?.error;
    violations.push({ promise: "an answer", detail: `${about}: ${last}` });
    return violations;
  }
  if (key === undefined || !result.request.needsKey) return violations;
  const operations = runs[key]?.operations ?? [];
  const hasRun = operations.some((name) => name !== "");
  if (answer.outcome === "not run" && hasRun) {
    violations.push({ promise: "a true refusal", detail: about });
  }
  if (answer.outcome === "completed" && !hasRun) {
    violations.push({ promise: "a true answer", detail: about });
  }
  if (answer.outcome === "completed" && isForeign(answer.output, key)) {
    violations.push({ promise: "its own answer", detail: about });
  }
  return violations;
}

/** A plain service's output names the key it ran under. */
function isForeign(output: unknown, key: string): boolean {
  const named = (output as { key?: unknown } | null)?.key;
  return named !== undefined && named !== key;
}

function findFallenWorkers(input: AuditInput): Violation[] {
  return input.workers.flatMap((worker) => {
    const bound = input.coldConcurrency.get(worker.address) ?? Infinity;
    const peak = worker.maxConcurrentWhileCold;
    if (worker.fellOver === 0 && peak <= bound) return [];
    const detail = `${worker.service} at ${worker.address} had ${peak} calls ` +
      `while cold and bears ${bound}; fell over ${worker.fellOver} times`;
    return [{ promise: "cold endpoints", detail }];
  });
}
