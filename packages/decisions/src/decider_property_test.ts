import { expect } from "chai";
import * as fc from "fast-check";
import type { DecisionAction } from "./action.ts";
import { buildStage, Fixture } from "./decider_fixture.ts";
import type { CallFailureKind } from "./event.ts";

const ENDPOINTS = ["e-0", "e-1", "e-2"];
const SLICE = 2;
const REASONS: readonly CallFailureKind[] = [
  "not_sent",
  "refused",
  "broken",
  "timeout",
  "bad_answer",
];

type Start = Extract<DecisionAction, { kind: "start_call" }>;

/** Checks each action against what the entry and callers rely on. */
class Checker {
  readonly fixture = new Fixture();
  readonly open = new Map<string, Start>();
  readonly answered = new Set<string>();
  readonly arrived = new Set<string>();
  /** Requests whose single call may have run. */
  readonly mayHaveRun = new Set<string>();
  zonesOut: readonly string[] = [];

  check(actions: readonly DecisionAction[]): void {
    for (const action of actions) this.#checkAction(action);
  }

  #checkAction(action: DecisionAction): void {
    if (action.kind === "cancel_call") {
      const call = this.open.get(action.callId);
      expect(call, "cancelled call").not.to.equal(undefined);
      expect(call && isSingle(call), "single cancelled").to.equal(false);
      this.open.delete(action.callId);
      return;
    }
    expect(this.answered.has(action.requestId), "after the answer").to.equal(
      false,
    );
    if (action.kind === "start_call") this.#checkStart(action);
    else this.answered.add(action.requestId);
  }

  #checkStart(start: Start): void {
    const zone = getZone(start.endpointId);
    expect(this.zonesOut, "zone out").not.to.include(zone);
    this.open.set(start.callId, start);
    const there = [...this.open.values()].filter((each) =>
      each.endpointId === start.endpointId
    );
    expect(there.length, "slice").to.be.at.most(SLICE);
    if (!isSingle(start)) return;
    expect(this.mayHaveRun.has(start.requestId), "ran twice").to.equal(false);
    const own = [...this.open.values()].filter((each) =>
      each.requestId === start.requestId
    );
    expect(own.length, "single calls at once").to.equal(1);
  }
}

function isSingle(call: Start): boolean {
  return call.requestId.startsWith("single") && call.stage === 1;
}

function getZone(endpointId: string): string {
  return endpointId === "e-0" ? "north" : "south";
}

const STEP = fc.record({
  kind: fc.constantFrom(
    "arrive",
    "arrive",
    "finish",
    "finish",
    "fail",
    "gone",
    "zone",
    "tick",
  ),
  pick: fc.nat(1_000),
  ms: fc.nat(400),
  isSingle: fc.boolean(),
});

describe("decider under random events", () => {
  it("answers once, runs a single call once and keeps every bound", () => {
    const property = fc.property(
      fc.array(STEP, { minLength: 20, maxLength: 120 }),
      (steps) => {
        const checker = new Checker();
        for (const id of ENDPOINTS) {
          checker.fixture.addEndpoints([id], { zone: getZone(id) }, SLICE);
        }
        steps.forEach((step, index) => runStep(checker, { step, index }));
        runToEnd(checker);
        expect([...checker.answered].sort())
          .to.deep.equal([...checker.arrived].sort());
      },
    );
    fc.assert(property, { seed: 20261202, numRuns: 300 });
  });
});

interface StepOptions {
  readonly step: { kind: string; pick: number; ms: number; isSingle: boolean };
  readonly index: number;
}

function runStep(checker: Checker, { step, index }: StepOptions): void {
  const { fixture } = checker;
  fixture.now += step.ms / 4;
  const calls = [...checker.open.values()];
  const call = calls[step.pick % Math.max(1, calls.length)];
  switch (step.kind) {
    case "arrive": {
      const id = `${step.isSingle ? "single" : "draft"}-${index}`;
      const last = buildStage({ name: "last", repeatable: !step.isSingle });
      checker.arrived.add(id);
      checker.check(fixture.arrive(id, { stages: [buildStage(), last] }));
      return;
    }
    case "finish":
      return call && finish(checker, call);
    case "fail":
      return call && fail(checker, call, step.pick);
    case "gone": {
      const id = [...checker.arrived][step.pick % checker.arrived.size];
      if (id === undefined || checker.answered.has(id)) return;
      // A gone caller needs no answer, but a held single call may still give one.
      checker.check(fixture.tell({ kind: "caller_gone", requestId: id }));
      const isHeld = [...checker.open.values()].some((each) =>
        each.requestId === id
      );
      if (!isHeld) checker.answered.add(id);
      return;
    }
    case "zone":
      checker.zonesOut = step.pick % 2 === 0 ? [] : ["south"];
      checker.check(
        fixture.tell({ kind: "zones_changed", zonesOut: checker.zonesOut }),
      );
      return;
    default:
      checker.check(fixture.tickAfter(step.ms));
  }
}

function finish(checker: Checker, call: Start): void {
  checker.open.delete(call.callId);
  if (isSingle(call)) checker.mayHaveRun.add(call.requestId);
  const { callId } = call;
  checker.check(checker.fixture.tell({
    kind: "call_finished",
    callId,
    workerMs: 10,
    outputTokens: 0,
  }));
}

function fail(checker: Checker, call: Start, pick: number): void {
  const reason = REASONS[pick % REASONS.length] ?? "broken";
  checker.open.delete(call.callId);
  const isProvedNotRun = reason === "not_sent" || reason === "refused";
  if (isSingle(call) && !isProvedNotRun) {
    checker.mayHaveRun.add(call.requestId);
  }
  const { callId } = call;
  checker.check(checker.fixture.tell({ kind: "call_failed", callId, reason }));
}

/** Lets time pass until every deadline is over and every call has ended. */
function runToEnd(checker: Checker): void {
  for (let round = 0; round < 50; round++) {
    checker.check(checker.fixture.tickAfter(100));
    for (const call of [...checker.open.values()]) {
      if (checker.open.has(call.callId)) finish(checker, call);
    }
  }
}
