/**
 * What an attempt shows of its endpoint's speed and version, and of its request.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import type { AttemptOutcome } from "./attempt.ts";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";
import { buildRequestOutcome } from "./version_evidence.ts";

/** The parts of the gateway that learn from attempts. */
export type AttemptRecordDependencies = Pick<
  FlowDependencies,
  "rollouts" | "quarantine" | "endpointTracker" | "metrics" | "isContended"
>;

/** Records one attempt, from its start to its end. */
export class AttemptRecord {
  readonly #deps: AttemptRecordDependencies;
  readonly #request: RoutedRequest;
  readonly #endpoint: serving.ServingEndpoint;
  readonly #startedAt = performance.now();
  /** Slowdown to expect; undefined where speeds don't count. */
  readonly #slowdown: number | undefined;
  #firstEventMs: number | undefined;

  /**
   * @param deps Where it is recorded.
   * @param request The request.
   * @param endpoint The endpoint to which it is sent now.
   */
  constructor(
    deps: AttemptRecordDependencies,
    request: RoutedRequest,
    endpoint: serving.ServingEndpoint,
  ) {
    this.#deps = deps;
    this.#request = request;
    this.#endpoint = endpoint;
    this.#slowdown = this.#recordSlowdown();
    deps.rollouts.recordSent(endpoint, request.route.name);
  }

  /** Records the first event of a stream; later calls have no effect. */
  recordFirstEvent(): void {
    this.#firstEventMs ??= performance.now() - this.#startedAt;
  }

  /** Records how the attempt ended. */
  recordEnd(outcome: AttemptOutcome): void {
    const { rollouts, quarantine, endpointTracker } = this.#deps;
    const { route, requestId, fingerprint, partKeys, caller } = this.#request;
    const endpoint = this.#endpoint;
    const firstEventMs = this.#firstEventMs;
    const tookMs = performance.now() - this.#startedAt;
    if (firstEventMs !== undefined && this.#slowdown !== undefined) {
      endpointTracker.speeds.recordFirstEvent(
        endpoint,
        firstEventMs,
        this.#slowdown,
      );
    }
    const end = buildRequestOutcome(outcome, {
      firstEventMs,
      tookMs,
      objectiveMs: route.objectiveMs,
    });
    rollouts.recordEnd(endpoint, route.name, end);
    quarantine.recordOutcome(endpoint, outcome, {
      requestId,
      fingerprint,
      parts: caller.prompt.slice(0, -1).map(({ id }) => id),
      partKeys,
      ageMs: tookMs,
    });
  }

  /** Builds the log fields of what is known of the endpoint's speed. */
  buildSpeedFields() {
    if (this.#slowdown === undefined) return {};
    const { speeds } = this.#deps.endpointTracker;
    return speeds.buildLogFields(this.#endpoint.id, performance.now());
  }

  #recordSlowdown(): number | undefined {
    if (!this.#deps.isContended()) return undefined;
    const { id, service } = this.#endpoint;
    const slowdown = this.#deps.endpointTracker.speeds.getSlowdown(
      id,
      this.#startedAt,
    );
    this.#deps.metrics.recordMs(
      "sent_slowdown_percent",
      { service },
      100 * slowdown,
    );
    return slowdown;
  }
}
