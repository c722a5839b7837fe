/**
 * Formats the results that the demo prints.
 *
 * @module
 */
import type * as testbed from "@sardinestep/testbed";

const MAX_OUTPUT_CHARS = 60;

/** Formats a request and its answer as one line. */
export function formatResult(result: testbed.CallerResult): string {
  const { request, answer, tookMs, attempts } = result;
  const name = request.name.padEnd(34);
  const code = `${answer?.code ?? "-"} ${answer?.name ?? "no answer"}`;
  const outcome = (answer?.outcome ?? "unknown").padEnd(9);
  const took = `${tookMs.toFixed(0)} ms`.padStart(8);
  const attemptsText = attempts.length === 1
    ? ""
    : ` after ${attempts.length} attempts`;
  const output = JSON.stringify(answer?.output ?? answer?.message ?? "");
  return `  ${name} ${outcome} ${took}  ${code}${attemptsText}  ${
    output.slice(0, MAX_OUTPUT_CHARS)
  }`;
}

/** Formats, by pipeline, the share of requests completed within their deadline. */
export function formatAttainment(
  results: readonly testbed.CallerResult[],
): string[] {
  const byPipeline = new Map<string, testbed.CallerResult[]>();
  for (const result of results) {
    const list = byPipeline.get(result.request.pipeline) ?? [];
    list.push(result);
    byPipeline.set(result.request.pipeline, list);
  }
  const lines = [...byPipeline].map(([pipeline, list]) =>
    formatRow(pipeline, list)
  );
  return [...lines, formatRow("all", results)];
}

function formatRow(
  name: string,
  results: readonly testbed.CallerResult[],
): string {
  const withinDeadline =
    results.filter((result) =>
      result.answer?.outcome === "completed" &&
      result.tookMs <= result.request.deadlineMs
    ).length;
  const share = (100 * withinDeadline / results.length).toFixed(1);
  const outcomes = ["completed", "not run", "unknown"].map((outcome) => {
    const count = results.filter((result) =>
      (result.answer?.outcome ?? "unknown") === outcome
    ).length;
    return `${outcome} ${count}`;
  });
  const retried = results.filter((result) => result.attempts.length > 1);
  return `  ${name.padEnd(24)} ${share.padStart(5)}% within deadline of ${
    String(results.length).padStart(4)
  } (${outcomes.join(", ")}; retried ${retried.length})`;
}
