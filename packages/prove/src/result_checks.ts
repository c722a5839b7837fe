/**
 * Checks and formatting of the results that callers received.
 *
 * @module
 */
import type * as testbed from "@sardinestep/testbed";

/**
 * Checks that every result completed.
 *
 * @param results Results as received by callers.
 * @param guarantee Guarantee that is reported as broken.
 * @returns One violation per result that did not complete.
 */
export function expectCompleted(
  results: readonly testbed.CallerResult[],
  guarantee: string,
): testbed.Violation[] {
  return results
    .filter((result) => result.answer?.outcome !== "completed")
    .map((result) => ({ guarantee, detail: formatResult(result) }));
}

/** Formats a result with all its attempts on one line. */
export function formatResult(result: testbed.CallerResult): string {
  const { request, key, attempts } = result;
  const tries = attempts.map(({ answer, error, url, tookMs }) =>
    `${url} after ${tookMs.toFixed(0)} ms: ${
      answer ? `${answer.name}/${answer.outcome}` : error
    }`
  );
  return `"${request.name}" key ${key}: ${tries.join("; ")}`;
}

/** Counts results by the outcome that the caller received. */
export function countOutcomes(
  results: readonly testbed.CallerResult[],
): string {
  const counts = new Map<string, number>();
  for (const { answer } of results) {
    const outcome = answer?.outcome ?? "no answer";
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  return [...counts].map(([outcome, count]) => `${outcome} ${count}`).join(
    ", ",
  );
}
