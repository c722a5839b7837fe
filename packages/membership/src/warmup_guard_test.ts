import type { EndpointFacts, MemberFacts } from "@sardinestep/types";
import { expect } from "chai";
import {
  buildQuarantineMs,
  CALLS_PER_STEP,
  pickWarmer,
  PROVEN_CALLS,
  WarmupGuard,
} from "./mod.ts";

const QUARANTINE_MS = 1_000;
const VIEW_FRESH_MS = 100;
const READY_AT = QUARANTINE_MS;

function buildMember(vmId: string, state: MemberFacts["state"] = "live") {
  return {
    vmId,
    zone: "z",
    site: "s",
    entryRpc: "",
    controlRpc: "",
    entryInstance: `${vmId}#1`,
    state,
    heardAt: 0,
  };
}

const MEMBERS = ["a", "b", "c"].map((vmId) => buildMember(vmId));
const WARMER = pickWarmer("e", MEMBERS)!;
const OTHERS = MEMBERS.filter((member) => member.vmId !== WARMER);

function buildFacts(more: Partial<EndpointFacts> = {}): EndpointFacts {
  return {
    endpointId: "e",
    service: "drafts",
    role: "generator",
    zone: "z",
    address: "",
    instance: "e#1",
    state: "cold",
    coldConcurrency: 2,
    warmConcurrency: 8,
    ...more,
  };
}

/** Confirms the view at short intervals up to a time. */
function recordConfirmedUntil(
  guard: WarmupGuard,
  from: number,
  until: number,
): void {
  for (let now = from; now <= until; now += VIEW_FRESH_MS / 2) {
    guard.recordConfirmed(now, now);
  }
}

/** A guard that has waited out its quarantine at {@link READY_AT}. */
function createReadyGuard(vmId = WARMER): WarmupGuard {
  const guard = createGuard(vmId);
  guard.applyView({ members: MEMBERS, viewAt: 0 }, 0);
  guard.applyEndpoint(buildFacts(), 0);
  recordConfirmedUntil(guard, 0, READY_AT);
  return guard;
}

function createGuard(vmId: string): WarmupGuard {
  return new WarmupGuard({
    vmId,
    quarantineMs: QUARANTINE_MS,
    viewFreshMs: VIEW_FRESH_MS,
  });
}

describe("WarmupGuard", () => {
  it("gives a cold endpoint's concurrency to its warmer alone", () => {
    expect(createReadyGuard().getSlice("e", READY_AT)).to.equal(2);
    for (const { vmId } of OTHERS) {
      expect(createReadyGuard(vmId).getSlice("e", READY_AT)).to.equal(0);
    }
  });

  it("waits out the quarantine after the start", () => {
    const guard = createReadyGuard();
    expect(guard.getSlice("e", READY_AT - 1)).to.equal(0);
  });

  it("serves a newly listed endpoint at once where the members are old", () => {
    const guard = createReadyGuard();
    const endpointId = Array.from({ length: 20 }, (_, count) => `new-${count}`)
      .find((id) => pickWarmer(id, MEMBERS) === WARMER)!;
    guard.applyEndpoint(buildFacts({ endpointId }), READY_AT);
    expect(guard.getSlice(endpointId, READY_AT)).to.equal(2);
  });

  // An entry is frozen and wakes up much later. Meanwhile another one has taken
  // its endpoints over. It would send at once, before any timer of it ran, if
  // the age of the view did not stop it.
  it("stops as soon as its view is stale, and then waits again", () => {
    const guard = createReadyGuard();
    const awakeAt = READY_AT + 60_000;
    expect(guard.getSlice("e", awakeAt)).to.equal(0);
    recordConfirmedUntil(guard, awakeAt, awakeAt + QUARANTINE_MS / 2);
    expect(guard.getSlice("e", awakeAt + QUARANTINE_MS / 2)).to.equal(0);
    recordConfirmedUntil(
      guard,
      awakeAt + QUARANTINE_MS / 2,
      awakeAt + QUARANTINE_MS,
    );
    expect(guard.getSlice("e", awakeAt + QUARANTINE_MS)).to.equal(2);
  });

  it("stops and waits again after a pause or while control is not fresh", () => {
    const guard = createReadyGuard();
    guard.handlePause();
    expect(guard.getSlice("e", READY_AT)).to.equal(0);
    guard.applyView({ members: MEMBERS, viewAt: undefined }, READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.equal(0);
    guard.recordConfirmed(READY_AT, READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.equal(0);
  });

  it("waits out the quarantine when it becomes the warmer", () => {
    const members = OTHERS.concat(buildMember(WARMER, "silent"));
    const vmId = pickWarmer("e", members)!;
    const guard = createReadyGuard(vmId);
    guard.applyView({ members, viewAt: READY_AT }, READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.equal(0);
    recordConfirmedUntil(guard, READY_AT, READY_AT + QUARANTINE_MS);
    expect(guard.getSlice("e", READY_AT + QUARANTINE_MS)).to.equal(2);
    guard.applyView({ members: MEMBERS, viewAt: 0 }, READY_AT + QUARANTINE_MS);
    expect(guard.getSlice("e", READY_AT + QUARANTINE_MS)).to.equal(0);
  });

  // A warm endpoint restarts unannounced. The warmer would fill it at once,
  // while the others, who do not know yet, still send their shares of a
  // warm one.
  it("waits until all know when a warm endpoint turned cold", () => {
    const guard = createReadyGuard();
    guard.applyEndpoint(buildFacts({ state: "warm" }), READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.be.above(0);
    guard.applyEndpoint(buildFacts({ instance: "e#2" }), READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.equal(0);
    recordConfirmedUntil(guard, READY_AT, READY_AT + QUARANTINE_MS);
    expect(guard.getSlice("e", READY_AT + QUARANTINE_MS)).to.equal(2);
  });

  it("grows with finished calls only while the endpoint is warming", () => {
    const guard = createReadyGuard();
    const finish = () => guard.recordFinished("e", "e#1");
    for (let count = 0; count < CALLS_PER_STEP; count += 1) finish();
    expect(guard.getSlice("e", READY_AT)).to.equal(2);
    guard.applyEndpoint(buildFacts({ state: "warming" }), READY_AT);
    expect(guard.getSlice("e", READY_AT)).to.equal(3);
    guard.recordFinished("e", "e#0");
    for (let count = 0; count < 100; count += 1) finish();
    expect(guard.getSlice("e", READY_AT)).to.equal(8);
    guard.recordFailed("e");
    expect(guard.getSlice("e", READY_AT)).to.equal(2);
  });

  it("tells once that an endpoint has proved to be warm", () => {
    const guard = createReadyGuard();
    const told = Array.from(
      { length: PROVEN_CALLS * 2 },
      () => guard.recordFinished("e", "e#1"),
    );
    expect(told.indexOf(true)).to.equal(PROVEN_CALLS - 1);
    expect(told.filter(Boolean)).to.have.length(1);
  });

  for (const state of ["silent", "leaving", "gone"] as const) {
    it(`gives nothing of an endpoint that is ${state}`, () => {
      const guard = createReadyGuard();
      guard.applyEndpoint(buildFacts({ state }), READY_AT);
      expect(guard.getSlice("e", READY_AT)).to.equal(0);
    });
  }

  it("covers lag, silence, views and calls by the quarantine", () => {
    const quarantineMs = buildQuarantineMs({
      listLagMs: 5_000,
      silentAfterMs: 4_000,
      viewFreshMs: 1_000,
      longestCallMs: 10_000,
    });
    expect(quarantineMs).to.equal(23_000);
  });
});
