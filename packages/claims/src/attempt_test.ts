import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import fc from "fast-check";
import { decideAttempt, openAttempt } from "./attempt.ts";
import type { AttemptEvent } from "./attempt_state.ts";

const FACTS = {
  id: { instance: "a", sequence: 1 },
  keyId: { customer: "timburmat", key: "key" },
  fingerprint: "f",
  deadlineAt: 100,
};
const WON: AttemptEvent = { kind: "verdict", verdict: { kind: "won" } };
const UNSETTLED: AttemptEvent = {
  kind: "verdict",
  verdict: { kind: "unsettled", retryAfterMs: 5 },
};
const DISPATCH: AttemptEvent = { kind: "dispatch", now: 50 };
const LATE_DISPATCH: AttemptEvent = { kind: "dispatch", now: 100 };
const GIVE_UP: AttemptEvent = { kind: "give_up", reason: "deadline" };

function buildAnswered(dispatch: number): AttemptEvent {
  return { kind: "answered", dispatch, answer: "ticket 1" };
}

/** Faults in the order in which they happen to one attempt. */
const STORIES: Readonly<Record<string, readonly AttemptEvent[]>> = {
  "runs once and records the answer": [WON, DISPATCH, buildAnswered(1)],
  "the verdict comes after the caller was told not run": [
    UNSETTLED,
    WON,
    DISPATCH,
  ],
  "the entry is frozen after it won and wakes after the deadline": [
    WON,
    LATE_DISPATCH,
    DISPATCH,
  ],
  "a second endpoint is tried after a failed connect": [
    WON,
    DISPATCH,
    { kind: "not_sent", dispatch: 1 },
    DISPATCH,
    { kind: "not_sent", dispatch: 1 },
    buildAnswered(2),
  ],
  "the connection breaks after the first byte": [
    WON,
    DISPATCH,
    { kind: "broken", dispatch: 1 },
    DISPATCH,
  ],
  "the endpoint refuses": [WON, DISPATCH, { kind: "refused", dispatch: 1 }],
  "the answer comes after the deadline": [
    WON,
    DISPATCH,
    GIVE_UP,
    buildAnswered(1),
  ],
};

describe("decideAttempt", () => {
  // Each title is the story: what a caller is told and what the log keeps must
  // stay true whatever comes late, and at most one send may get through.
  for (const [name, events] of Object.entries(STORIES)) {
    it(name, function () {
      let { state } = openAttempt(FACTS);
      const rows = events.map((event) => {
        const step = decideAttempt(state, event);
        state = step.state;
        const { facts: _facts, ...rest } = state;
        return { event, state: rest, actions: step.actions };
      });
      expectSnapshot(this, rows);
    });
  }

  // A ticket is issued twice, or a caller repeats what was told "not run" and
  // runs after all: no order of events may lead there.
  it("sends once at most unless the send is proved not to have left", () => {
    const dispatch = fc.nat({ max: 3 });
    const event: fc.Arbitrary<AttemptEvent> = fc.oneof(
      fc.constantFrom(WON, UNSETTLED, DISPATCH, LATE_DISPATCH, GIVE_UP),
      dispatch.map((number) => ({
        kind: "not_sent" as const,
        dispatch: number,
      })),
      dispatch.map((number) => ({
        kind: "broken" as const,
        dispatch: number,
      })),
      dispatch.map(buildAnswered),
    );
    fc.assert(
      fc.property(fc.array(event, { maxLength: 12 }), (events) => {
        let { state } = openAttempt(FACTS);
        let open = 0;
        for (const next of events) {
          const before = state;
          const step = decideAttempt(state, next);
          state = step.state;
          const isProved = next.kind === "not_sent" &&
            before.kind === "dispatched" &&
            before.dispatch === next.dispatch;
          if (isProved) open -= 1;
          for (const action of step.actions) {
            if (action.kind === "send") open += 1;
            const isNotRun = action.kind === "answer" &&
              action.answer.kind === "not_run";
            if (isNotRun) expect(open).to.equal(0);
          }
          expect(open).to.be.at.most(1);
          if (state.kind === "abandoned") expect(open).to.equal(0);
        }
      }),
      { seed: 20_261_202, numRuns: 1_000 },
    );
  });
});
