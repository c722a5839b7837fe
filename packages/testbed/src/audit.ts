/**
 * Checks the answers that callers received against the runs of the workers.
 *
 * @module
 */
import type { CallerResult } from "./caller.ts";
import type { KeyRuns, WorkerCounters } from "./fakes_client.ts";

/** A violated guarantee of the system. */
export interface Violation {
  readonly guarantee: string;
  readonly detail: string;
}

/** Input of {@link findViolations}. */
export interface AuditInput {
  readonly results: readonly CallerResult[];
  readonly runs: Readonly<Record<string, KeyRuns>>;
  readonly workers: readonly WorkerCounters[];
  /** Operations that must not run more than once per key. */
  readonly nonRepeatableOperations: ReadonlySet<string>;
  /** Concurrent calls that a cold worker can take, by address. */
  readonly coldConcurrency: ReadonlyMap<string, number>;
}

/**
 * Finds every violated guarantee.
 *
 * @param input Answers that callers received, and runs of the workers.
 * @returns Violations; empty when every guarantee held.
 */
export function findViolations(input: AuditInput): Violation[] {
  return [
    ...findRepeatedRuns(input),
    ...input.results.flatMap((result) => checkResult(result, input.runs)),
    ...findOverloadedWorkers(input),
  ];
}

function findRepeatedRuns(input: AuditInput): Violation[] {
  return Object.entries(input.runs).flatMap(([key, keyRuns]) => {
    const operations = keyRuns.operations.filter((name) =>
      input.nonRepeatableOperations.has(name)
    );
    if (operations.length <= 1) return [];
    const detail = `key "${key}" ran ${operations.join(", ")}`;
    return [{ guarantee: "at most once", detail }];
  });
}

function checkResult(
  result: CallerResult,
  runs: Readonly<Record<string, KeyRuns>>,
): Violation[] {
  const violations: Violation[] = [];
  const subject = `"${result.request.name}" under key "${
    result.key ?? "none"
  }"`;
  const { answer, key } = result;
  if (!answer) {
    const lastError = result.attempts.at(-1)?.error;
    violations.push({
      guarantee: "every request is answered",
      detail: `${subject}: ${lastError}`,
    });
    return violations;
  }
  if (key === undefined || !result.request.needsKey) return violations;
  const operations = runs[key]?.operations ?? [];
  const hasRun = operations.some((name) => name !== "");
  if (answer.outcome === "not run" && hasRun) {
    violations.push({ guarantee: "truthful refusal", detail: subject });
  }
  if (answer.outcome === "completed" && !hasRun) {
    violations.push({ guarantee: "truthful answer", detail: subject });
  }
  if (answer.outcome === "completed" && hasOtherKey(answer.output, key)) {
    violations.push({ guarantee: "its own answer", detail: subject });
  }
  return violations;
}

/** Whether an output names another key; plain services return the key they ran. */
function hasOtherKey(output: unknown, key: string): boolean {
  const outputKey = (output as { key?: unknown } | null)?.key;
  return outputKey !== undefined && outputKey !== key;
}

function findOverloadedWorkers(input: AuditInput): Violation[] {
  return input.workers.flatMap((worker) => {
    const limit = input.coldConcurrency.get(worker.address) ?? Infinity;
    const peak = worker.maxConcurrentWhileCold;
    if (worker.fellOver === 0 && peak <= limit) return [];
    const detail = `${worker.service} at ${worker.address} had ${peak} calls ` +
      `while cold, limit ${limit}; overloaded ${worker.fellOver} times`;
    return [{ guarantee: "cold endpoints", detail }];
  });
}
