import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import type * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { ReportedLoad } from "./leader_table.ts";
import { PieceLeader } from "./piece_leader.ts";
import type { RateLimits } from "./rate_limits.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { Rollouts } from "./rollouts.ts";
import type { PieceAnswer, PieceCall, WireAdapter } from "./ports.ts";

const POOL: serving.PoolSpec = {
  batchSize: 4,
  callMs: 20,
  pieceMs: 1,
  roomBytes: 1_000,
  resultTtlMs: 4_000,
};

/** A leader with simulated endpoints; the test decides when calls end. */
class LeaderHarness {
  readonly calls: { call: PieceCall; end: (pieces: PieceAnswer[]) => void }[] =
    [];
  readonly released: string[] = [];
  readonly releasedInputs: string[] = [];
  /** Fingerprints of requests that may have crashed an endpoint. */
  readonly suspects = new Set<string>();
  ids = ["e1", "e2"];
  isContended = false;
  /** Endpoints that have just broken calls. */
  readonly avoided = new Set<string>();
  /** Load that an earlier leader reported. */
  reported: ReportedLoad | undefined;
  readonly leader: PieceLeader;
  #resultCount = 0;

  constructor() {
    const wire: Partial<WireAdapter> = {
      runPieces: (call) =>
        new Promise((resolve) =>
          this.calls.push({
            call,
            end: (pieces) => resolve({ kind: "done", pieces }),
          })
        ),
      releaseResults: (_, handles) => {
        this.released.push(...handles);
        return Promise.resolve(undefined);
      },
      getResultAddress: () => "a:1",
    };
    const limits: Partial<RateLimits> = {
      mayCall: () => true,
      getPauseMs: () => 0,
      recordSend: () => {},
      recordAnswer: () => {},
    };
    const endpointTracker: Partial<EndpointTracker> = {
      getCallEndpoints: () => this.ids.map(buildEndpoint),
      isAvoided: (id) => this.avoided.has(id),
      startRelease: () => true,
      recordNoticesOf: () => {},
      recordEvidence: () => {},
      limits: limits as RateLimits,
    };
    const rollouts: Partial<Rollouts> = {
      recordSent: () => {},
      recordEnd: () => {},
    };
    const quarantine: Partial<RequestQuarantine> = {
      check: () => undefined,
      isSuspect: (fingerprint) => this.suspects.has(fingerprint),
      recordCompletion: () => {},
    };
    this.leader = new PieceLeader({
      isContended: () => this.isContended,
      findReportedLoad: () => this.reported,
      service: "roster",
      shard: "*",
      getPool: () => POOL,
      endpointTracker: endpointTracker as EndpointTracker,
      rollouts: rollouts as Rollouts,
      quarantine: quarantine as RequestQuarantine,
      wire: wire as WireAdapter,
      events: new logger.EventLog({
        process: "test",
        vmId: "vm-1",
        output: { writableLength: 0, write: () => true },
      }),
      metrics: new metrics.Metrics({ prefix: "test" }),
      releaseInputs: (_, handles) => this.releasedInputs.push(...handles),
    });
  }

  add(
    overrides: Partial<serving.PieceGroup> = {},
  ): Promise<serving.PieceOutcome> {
    const now = performance.now();
    return this.leader.addGroup({
      requestId: "r1",
      fingerprint: "f1",
      stage: 1,
      pieces: 2,
      inputs: ["h1", "h2"],
      resultBytes: 100,
      rank: 0,
      localBytes: {},
      isInvested: true,
      dueAt: now + 1_000,
      expiresAt: now + 5_000,
      giveUpAt: now + 2_000,
      ...overrides,
    });
  }

  /** Ends a call with results, or with a given answer for its first piece. */
  end(index: number, first?: PieceAnswer): void {
    const { call, end } = this.calls[index]!;
    end(
      call.pieces.map((_, piece) =>
        piece === 0 && first !== undefined
          ? first
          : { kind: "made", handle: `a:1/${this.#resultCount++}` }
      ),
    );
  }

  async waitForCalls(count: number): Promise<void> {
    for (let i = 0; i < 200 && this.calls.length < count; i++) await wait(5);
    expect(this.calls).to.have.length(count);
  }
}

function buildEndpoint(id: string): serving.ServingEndpoint {
  return {
    id,
    service: "roster",
    address: `${id}:1`,
    zone: "a",
    slots: 1,
    isDraining: false,
    coldMs: 0,
  };
}

describe("PieceLeader", () => {
  let harness: LeaderHarness;
  beforeEach(() => harness = new LeaderHarness());
  afterEach(() => harness.leader.close());

  it("keeps a group's inputs until it is done when space is not short", async () => {
    const made = harness.add();
    await harness.waitForCalls(1);
    await wait(90);
    expect(harness.releasedInputs).to.deep.equal([]);
    harness.end(0);
    expect((await made).kind).to.equal("made");
  });

  // In a pool that is short of result space, results that are kept until the next
  // stage is done stay one call longer than needed, and the pool idles meanwhile.
  it("releases inputs while the call that read them still runs", async () => {
    const owner = { service: "ranker", shard: "*" };
    void harness.add({ inputOwner: owner });
    await harness.waitForCalls(1);
    expect(harness.releasedInputs).to.deep.equal([]);
    await wait(90);
    expect(harness.releasedInputs).to.deep.equal(["h1", "h2"]);
    harness.end(0);
  });

  // A piece fails after its inputs were released. Retrying it would cost a whole call
  // that can only report that the inputs are gone.
  it("ends a group at once when a piece fails after its inputs were released", async () => {
    const outcome = harness.add({
      inputOwner: { service: "ranker", shard: "*" },
    });
    await harness.waitForCalls(1);
    await wait(90);
    harness.end(0, { kind: "failed" });
    expect((await outcome).kind).to.equal("inputGone");
    await wait(20);
    expect(harness.calls).to.have.length(1);
    expect(harness.released).to.have.length(1);
  });

  // An endpoint at which space was reserved leaves. Pieces that keep the reservation
  // wait for a call that is never sent, while another endpoint is idle.
  it("cancels reservations at an endpoint that is gone", async () => {
    harness.ids = ["e1"];
    const made = harness.add({ pieces: 6, inputs: [] });
    await harness.waitForCalls(1);
    harness.ids = ["e2"];
    await harness.waitForCalls(2);
    expect(
      harness.calls.map(({ call }) => [call.endpointId, call.pieces.length]),
    )
      .to.deep.equal([["e1", 4], ["e2", 2]]);
    harness.end(0);
    harness.end(1);
    const outcome = await made;
    expect(outcome.kind).to.equal("made");
  });

  // Large groups fill the space of both endpoints. They hold it until they are
  // complete, so that every started group can finish before the next one starts.
  it("starts the next group when the results of a finished one are released", async () => {
    const large = { pieces: 4, resultBytes: 200, inputs: [] };
    const first = harness.add({ ...large, requestId: "r1" });
    const second = harness.add({ ...large, requestId: "r2" });
    void harness.add({ ...large, requestId: "r3" });
    await harness.waitForCalls(2);
    harness.end(0);
    harness.end(1);
    const outcomes = await Promise.all([first, second]);
    await wait(40);
    expect(harness.calls).to.have.length(2);
    const [made] = outcomes;
    if (made?.kind !== "made") throw new Error("Group r1 was not completed");
    harness.leader.release(made.results.map((result) => result.handle));
    await harness.waitForCalls(3);
    harness.end(2);
  });

  // Four endpoints that had crashed counted as capacity in the load that admission
  // reads, for seconds.
  it("counts no avoided endpoints in the load of a contended pool", () => {
    harness.avoided.add("e1");
    expect(harness.leader.getLoad().endpoints).to.equal(2);
    harness.leader.close();
    harness = new LeaderHarness();
    harness.isContended = true;
    harness.avoided.add("e1");
    expect(harness.leader.getLoad().endpoints).to.equal(1);
  });

  it("makes a late group of a contended pool after one on time", async () => {
    harness.ids = ["e1"];
    harness.isContended = true;
    const inputs: string[] = [];
    void harness.add({ requestId: "first", pieces: 4, inputs });
    await harness.waitForCalls(1);
    const now = performance.now();
    const add = (requestId: string, dueAt: number) =>
      harness.add({
        requestId,
        dueAt,
        pieces: 4,
        resultBytes: 50,
        expiresAt: now + 60_000,
        giveUpAt: now + 60_000,
        inputs,
      });
    const outcomes = [add("late", now - 10), add("onTime", now + 30_000)];
    await wait(20);
    harness.end(0);
    await harness.waitForCalls(2);
    harness.end(1);
    await harness.waitForCalls(3);
    harness.end(2);
    for (const { kind } of await Promise.all(outcomes)) {
      expect(kind).to.equal("made");
    }
    expect(harness.calls.map(({ call }) => call.pieces[0]!.requestId))
      .to.deep.equal(["first", "onTime", "late"]);
  });

  // An endpoint that crashes on one request loses all other pieces of the call.
  it("sends a suspect in a call of its own and the others together", async () => {
    harness.suspects.add("f-suspect");
    for (const name of ["a", "suspect", "b"]) {
      void harness.add({
        requestId: name,
        fingerprint: `f-${name}`,
        pieces: 1,
      });
    }
    await harness.waitForCalls(2);
    const callGroups = harness.calls.map(({ call }) =>
      call.pieces.map((piece) => piece.requestId).sort()
    );
    expect(callGroups).to.have.deep.members([["a", "b"], ["suspect"]]);
  });
});
