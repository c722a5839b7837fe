/**
 * What the demo prints.
 *
 * @module
 */
import type * as testbed from "@sardinestep/testbed";

const OUTPUT_LENGTH = 60;

/** Formats one request with its answer in a line. */
export function formatResult(result: testbed.CallerResult): string {
  const { request, answer, tookMs, attempts } = result;
  const name = request.name.padEnd(34);
  const code = `${answer?.code ?? "-"} ${answer?.name ?? "no answer"}`;
  const outcome = (answer?.outcome ?? "unknown").padEnd(9);
  const took = `${tookMs.toFixed(0)} ms`.padStart(8);
  const tries = attempts.length === 1
    ? ""
    : ` after ${attempts.length} attempts`;
  const output = JSON.stringify(answer?.output ?? answer?.message ?? "");
  return `  ${name} ${outcome} ${took}  ${code}${tries}  ${
    output.slice(0, OUTPUT_LENGTH)
  }`;
}

/** Formats the share of requests that completed within their deadline. */
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
  const inTime =
    results.filter((result) =>
      result.answer?.outcome === "completed" &&
      result.tookMs <= result.request.deadlineMs
    ).length;
  const share = (100 * inTime / results.length).toFixed(1);
  const outcomes = ["completed", "not run", "unknown"].map((outcome) => {
    const count = results.filter((result) =>
      (result.answer?.outcome ?? "unknown") === outcome
    ).length;
    return `${outcome} ${count}`;
  });
  const repeated = results.filter((result) => result.attempts.length > 1);
  return `  ${name.padEnd(24)} ${share.padStart(5)}% in time of ${
    String(results.length).padStart(4)
  } (${outcomes.join(", ")}; repeated ${repeated.length})`;
}
