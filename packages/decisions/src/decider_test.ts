import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  buildRequest,
  buildStage,
  Fixture,
  getStarts,
} from "./decider_fixture.ts";

const TICKET = buildStage({ name: "issue", repeatable: false, billable: true });

describe("decider", () => {
  it("carries a pipeline through its stages", function () {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"]);
    fixture.addEndpoints(["t-1"], { service: "tickets", role: "service" });
    const stages = [buildStage(), { ...TICKET, service: "tickets" }];
    const actions = [...fixture.arrive("r", { stages })];
    for (const callId of ["call-1", "call-2"]) {
      fixture.now += 100;
      actions.push(...fixture.tell({
        kind: "call_finished",
        callId,
        workerMs: 100,
        outputTokens: 1,
      }));
    }
    expectSnapshot(this, actions);
  });

  it("sends nothing new to a zone from the event that takes it out", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["n-1"]);
    fixture.addEndpoints(["s-1"], { zone: "south" });
    fixture.tell({ kind: "zones_changed", zonesOut: ["north"] });
    const starts = ["r1", "r2", "r3"].flatMap((id) =>
      getStarts(fixture.arrive(id))
    );
    expect(starts.map((start) => start.endpointId)).to.deep.equal([
      "s-1",
      "s-1",
    ]);
  });

  for (const state of ["leaving", "silent", "gone"] as const) {
    it(`sends nothing new to an endpoint that is ${state}`, () => {
      const fixture = new Fixture();
      fixture.addEndpoints(["d-1"]);
      fixture.addEndpoints(["d-1"], { state });
      expect(fixture.arrive("r")).to.have.lengthOf(1);
      expect(fixture.arrive("r2")[0]).to.include({
        kind: "refuse",
        code: "STAGE_UNAVAILABLE",
        anySent: false,
      });
    });
  }

  it("gives a cold endpoint no more than it bears while cold", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"], { state: "cold" }, 4);
    const starts = ["r1", "r2"].flatMap((id) => getStarts(fixture.arrive(id)));
    expect(starts).to.have.lengthOf(1);
  });

  it("stops at once when a report shows another run of the endpoint", () => {
    // A caller would see its request broken: the endpoint restarts without an
    // announcement, its report names the new run, the entry goes on sending the
    // load of a warm endpoint, and the cold one falls over.
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"]);
    fixture.now = 10;
    fixture.tell({
      kind: "load_reported",
      report: {
        endpointId: "d-1",
        instance: "run-2",
        state: "cold",
        measuredAt: 5,
        running: 0,
        waiting: 0,
      },
    });
    expect(getStarts(fixture.arrive("r"))).to.have.lengthOf(0);
    fixture.addEndpoints(["d-1"], { instance: "run-2", state: "cold" }, 1);
    expect(getStarts(fixture.arrive("r2"))).to.have.lengthOf(1);
  });

  describe("a call that may not be repeated", () => {
    for (const reason of ["broken", "timeout", "bad_answer"] as const) {
      it(`is not sent again after "${reason}"`, () => {
        // A haulier would be billed twice: the ticket is issued, the answer is
        // lost on the way, and the entry takes the failure for a call not run.
        const fixture = new Fixture();
        fixture.addEndpoints(["d-1", "d-2"]);
        fixture.arrive("r", { stages: [TICKET] });
        const actions = fixture.tell({
          kind: "call_failed",
          callId: "call-1",
          reason,
        });
        expect(actions).to.have.lengthOf(1);
        expect(actions[0]).to.include({
          kind: "refuse",
          code: "OUTCOME_UNKNOWN",
          anySent: true,
        });
      });
    }

    for (const reason of ["not_sent", "refused"] as const) {
      it(`goes to another endpoint after "${reason}"`, () => {
        const fixture = new Fixture();
        fixture.addEndpoints(["d-1", "d-2"]);
        const [first] = getStarts(fixture.arrive("r", { stages: [TICKET] }));
        const [second] = getStarts(
          fixture.tell({ kind: "call_failed", callId: "call-1", reason }),
        );
        expect(second?.endpointId).to.be.a("string");
        expect(second?.endpointId).not.to.equal(first?.endpointId);
      });
    }

    it("is neither cancelled at the deadline nor when its caller goes", () => {
      // A caller would be told "not run" and try again with a fresh key while
      // the first ticket is being issued.
      const fixture = new Fixture();
      fixture.addEndpoints(["d-1"]);
      fixture.arrive("r", { stages: [TICKET] });
      const gone = fixture.tell({ kind: "caller_gone", requestId: "r" });
      const late = fixture.tickAfter(3_000);
      const finished = fixture.tell({
        kind: "call_finished",
        callId: "call-1",
        workerMs: 3_000,
        outputTokens: 0,
      });
      expect([...gone, ...late]).to.deep.equal([]);
      expect(finished).to.deep.equal([{ kind: "complete", requestId: "r" }]);
    });

    it("is never hedged", () => {
      const fixture = new Fixture();
      fixture.addEndpoints(["d-1", "d-2"]);
      fixture.arrive("r", { stages: [TICKET] });
      expect(getStarts(fixture.tickAfter(1_000))).to.deep.equal([]);
    });
  });

  it("hedges a repeatable call that stalls and cancels the slower one", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1", "d-2"]);
    const [first] = getStarts(fixture.arrive("r"));
    const [second] = getStarts(fixture.tickAfter(300));
    expect(second).to.include({ isHedge: true });
    expect(second?.endpointId).not.to.equal(first?.endpointId);
    const actions = fixture.tell({
      kind: "call_finished",
      callId: second?.callId ?? "",
      workerMs: 100,
      outputTokens: 0,
    });
    expect(actions).to.deep.equal([
      { kind: "cancel_call", callId: first?.callId },
      { kind: "complete", requestId: "r" },
    ]);
  });

  it("does not hedge once output has begun or a call is billable", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1", "d-2"]);
    fixture.arrive("r");
    fixture.tell({ kind: "call_progressed", callId: "call-1" });
    fixture.arrive("r2", { stages: [buildStage({ billable: true })] });
    expect(getStarts(fixture.tickAfter(1_000))).to.deep.equal([]);
  });

  it("cancels a repeatable call at the deadline and answers at once", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"]);
    fixture.arrive("r");
    const actions = fixture.tickAfter(2_000);
    expect(actions[0]).to.deep.equal({ kind: "cancel_call", callId: "call-1" });
    expect(actions[1]).to.include({ code: "DEADLINE_EXCEEDED", anySent: true });
  });

  it("refuses at the door when a later stage is the bottleneck", () => {
    // A caller would wait for its whole deadline in vain: the early stages are
    // quick and run for everyone, the generators are far behind.
    const fixture = new Fixture();
    fixture.addEndpoints(["e-1", "e-2"], { service: "encoders" }, 50);
    fixture.addEndpoints(["d-1"], {}, 1);
    const stages = [
      buildStage({ name: "encode", service: "encoders", expectedMs: 10 }),
      buildStage({ expectedMs: 500 }),
    ];
    const answers = Array.from(
      { length: 10 },
      (_, index) => fixture.arrive(`r${index}`, { stages })[0],
    );
    const refused = answers.filter((answer) => answer?.kind === "refuse");
    expect(refused.length).to.be.greaterThan(5);
    expect(refused[0]).to.include({
      code: "DEADLINE_OUT_OF_REACH",
      anySent: false,
    });
  });

  it("looks at admission without changing anything", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"], {}, 1);
    const ask = () =>
      fixture.decider.checkAdmission({
        now: fixture.now,
        random: 0.5,
        request: buildRequest("q"),
      });
    const before = JSON.stringify(fixture.decider.getSummary());
    const first = ask();
    for (let count = 0; count < 50; count++) ask();
    expect(ask()).to.deep.equal(first);
    expect(JSON.stringify(fixture.decider.getSummary())).to.equal(before);
  });

  it("holds a customer to its limit", () => {
    const fixture = new Fixture();
    fixture.addEndpoints(["d-1"]);
    const customers = [{ customerId: "a", weight: 1, maxConcurrency: 1 }];
    fixture.tell({ kind: "customers_changed", customers });
    fixture.arrive("r1");
    expect(fixture.arrive("r2")[0]).to.include({ code: "CUSTOMER_LIMIT" });
    expect(getStarts(fixture.arrive("r3", { customer: "b" })))
      .to.have.lengthOf(1);
  });

  it("spreads the times at which refused callers come back", () => {
    const fixture = new Fixture();
    const times = [0.1, 0.5, 0.9].flatMap((random) => {
      const request = buildRequest(`r${random}`);
      const actions = fixture.decider.decide({
        kind: "request_arrived",
        now: 0,
        random,
        request,
      });
      return actions.map((each) =>
        each.kind === "refuse" ? each.retryAfterMs : 0
      );
    });
    expect(new Set(times).size).to.equal(3);
    expect(Math.min(...times)).to.be.greaterThan(0);
  });
});
