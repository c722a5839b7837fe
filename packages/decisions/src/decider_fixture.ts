/**
 * Deciders, endpoints and requests for tests.
 *
 * @module
 */
import type {
  EndpointFacts,
  RequestFacts,
  StageSpec,
} from "@sardinestep/types";
import type { DecisionAction } from "./action.ts";
import { createDecider, type Decider } from "./decider.ts";
import type { DecisionEvent } from "./event.ts";

/** An event without the fields that the fixture sets. */
type EventInput<T> = T extends unknown ? Omit<T, "now" | "random"> : never;

/** A decider with a manual clock. */
export class Fixture {
  readonly decider: Decider;
  now = 0;

  constructor(zone = "north") {
    this.decider = createDecider({ zone });
  }

  /** Sends an event with the current time. */
  send(event: EventInput<DecisionEvent>): readonly DecisionAction[] {
    const filled = { ...event, now: this.now, random: 0.5 };
    return this.decider.decide(filled as DecisionEvent);
  }

  /** Advances the clock and sends a tick. */
  advance(ms: number): readonly DecisionAction[] {
    this.now += ms;
    return this.send({ kind: "ticked" });
  }

  /** Adds endpoints of one service, each with a slice of two calls by default. */
  addEndpoints(
    endpointIds: readonly string[],
    facts: Partial<EndpointFacts> = {},
    slice = 2,
  ): void {
    for (const endpointId of endpointIds) {
      this.send({
        kind: "endpoint_changed",
        endpoint: buildEndpoint(endpointId, facts),
        slice,
      });
    }
  }

  /** Sends the arrival of a request. */
  sendRequest(
    requestId: string,
    facts: Partial<RequestFacts> = {},
  ): readonly DecisionAction[] {
    const request = buildRequest(requestId, { arrivedAt: this.now, ...facts });
    return this.send({ kind: "request_arrived", request });
  }
}

/** Builds a warm endpoint of the service `drafting`. */
export function buildEndpoint(
  endpointId: string,
  facts: Partial<EndpointFacts> = {},
): EndpointFacts {
  return {
    endpointId,
    service: "drafting",
    role: "generator",
    zone: "north",
    address: "127.0.0.1:7000",
    instance: "run-1",
    state: "warm",
    coldConcurrency: 1,
    warmConcurrency: 4,
    ...facts,
  };
}

/** Builds a repeatable stage of 100 ms at the service `drafting`. */
export function buildStage(
  options: Partial<StageSpec> = {},
): StageSpec {
  return {
    name: "draft",
    service: "drafting",
    billable: false,
    repeatable: true,
    operation: "",
    expectedMs: 100,
    ...options,
  };
}

/** Builds a one-stage `draft` request with a deadline in two seconds. */
export function buildRequest(
  requestId: string,
  facts: Partial<RequestFacts> = {},
): RequestFacts {
  const arrivedAt = facts.arrivedAt ?? 0;
  const stages = facts.stages ?? [buildStage()];
  return {
    requestId,
    customer: "a",
    pipeline: "drafts",
    requestClass: "draft",
    stages,
    arrivedAt,
    deadlineAt: arrivedAt + 2_000,
    stageSizes: stages.map(() => 1),
    firstStage: 0,
    ...facts,
  };
}

/** Returns the `start_call` actions among `actions`. */
export function getStarts(actions: readonly DecisionAction[]) {
  return actions.flatMap((action) =>
    action.kind === "start_call" ? [action] : []
  );
}
