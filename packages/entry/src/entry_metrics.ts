/**
 * Counters and histograms of an entry.
 *
 * @module
 */
import * as metrics from "@sardinestep/metrics";
import type { RequestFacts } from "@sardinestep/types";
import type { RequestAnswer } from "./answer.ts";
import type { RequestContext } from "./context.ts";

/** Measurements of one finished call. */
export interface CallMeasurement {
  readonly tokens: number;
  /** Worker time that the endpoint reported, in milliseconds. */
  readonly workerMs: number;
  /** Whether the answer was discarded. */
  readonly isWasted: boolean;
  /** Time from send to answer, in milliseconds. */
  readonly durationMs: number;
}

/** All metrics of an entry. */
export class EntryMetrics {
  readonly metrics = new metrics.Metrics({ prefix: "sardinestep" });
  readonly attainment = new metrics.DeadlineAttainment();
  readonly stageCost = new metrics.StageCost();

  /** Records a finished call and its cost. */
  recordCall(facts: RequestFacts, stage: number, call: CallMeasurement): void {
    const name = facts.stages[stage]?.name ?? "";
    const labels = { pipeline: facts.pipeline, stage: name };
    const { tokens, workerMs, isWasted } = call;
    this.stageCost.record(labels, { tokens, workerMs, wasted: isWasted });
    this.metrics.recordMs("stage_ms", labels, call.durationMs);
  }

  /** Counts a call that failed without an answer. */
  countCallError(facts: RequestFacts, stage: number, kind: string): void {
    const name = facts.stages[stage]?.name ?? "";
    this.metrics.count("call_errors_total", { stage: name, kind });
  }

  /** Counts a call that a final check before sending rejected. */
  countUnsent(check: string): void {
    this.metrics.count("calls_unsent_total", { check });
  }

  /** Records the time to the first part of a generated text. */
  recordFirstPart(facts: RequestFacts, now: number): void {
    const durationMs = now - facts.arrivedAt;
    this.metrics.recordMs(
      "first_part_ms",
      { pipeline: facts.pipeline },
      durationMs,
    );
  }

  /** Counts a refusal by result code, even if the pipeline is not known yet. */
  countRefusalCode(name: string): void {
    this.metrics.count("refusals_total", { code: name });
  }

  /** Formats all metrics in the Prometheus text format. */
  formatPrometheus(): string {
    for (const { pipeline, customer, ...counts } of this.attainment.getRows()) {
      for (const [end, value] of Object.entries(counts)) {
        const labels = { pipeline, customer, end };
        this.metrics.setGauge("attainment", labels, value);
      }
    }
    for (const { pipeline, stage, ...sums } of this.stageCost.getRows()) {
      for (const [sum, value] of Object.entries(sums)) {
        this.metrics.setGauge("stage_cost", { pipeline, stage, sum }, value);
      }
    }
    return this.metrics.formatPrometheus();
  }

  /** Records the final answer of a request. */
  recordAnswer(
    context: RequestContext,
    answer: RequestAnswer,
    now: number,
  ): void {
    const isRefused = answer.kind === "refused";
    if (isRefused) this.countRefusalCode(answer.failure.code);
    if (!context.pipeline) return;
    const labels = {
      pipeline: context.pipeline.pipelineId,
      customer: context.customer,
    };
    this.attainment.record(getAttainmentEnd(context, answer, now), labels);
    const durationMs = now - context.incoming.arrivedAt;
    const name = isRefused ? "refusal_ms" : "request_ms";
    this.metrics.recordMs(name, { pipeline: labels.pipeline }, durationMs);
  }
}

function getAttainmentEnd(
  context: RequestContext,
  answer: RequestAnswer,
  now: number,
): metrics.AttainmentOutcome {
  if (answer.kind === "refused") {
    return answer.failure.outcome === "not run" ? "refused" : "unknown";
  }
  return now <= context.deadlineAt ? "inDeadline" : "late";
}
