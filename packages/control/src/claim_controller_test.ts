import type * as claims from "@sardinestep/claims";
import type * as timeline from "@sardinestep/timeline";
import { expect } from "chai";
import * as uuid from "uuid";
import { FakeLog, letRun } from "./_fake_log.ts";
import { ClaimController } from "./claim_controller.ts";

const CUSTOMER = "sawmill";
/** Longer than any test: no verdict here is decided by waiting. */
const BOUND_MS = 600_000;
const UNSETTLED = { kind: "unsettled", retryAfterMs: 2_000 };

type ClaimRequest = Extract<claims.ClaimRecord, { kind: "claim" }>;

function buildClaim(
  key: string,
  sequence: number,
  instance = "i-1",
): ClaimRequest {
  const keyId = { customer: CUSTOMER, key };
  return { kind: "claim", id: { instance, sequence }, keyId, fingerprint: "f" };
}

function listRecords(value: unknown): readonly claims.ClaimRecord[] {
  return (value as claims.ClaimGroup).records;
}

describe("ClaimController", () => {
  let log: FakeLog;
  let controller: ClaimController;
  let counts: Record<string, number>;

  beforeEach(async () => {
    log = new FakeLog();
    counts = {};
    controller = new ClaimController({
      log,
      lingerMs: 0,
      appendsPerSecond: 1_000_000,
      keyWindowMs: 600_000,
      timeline: { record: () => {} } as unknown as timeline.Timeline,
      count: (name, by = 1) => counts[name] = (counts[name] ?? 0) + by,
      onReachable: () => {},
      onFault: (error) => {
        throw error;
      },
    });
    controller.start();
    await letRun();
  });

  afterEach(() => {
    controller.close();
    log.setDown(true);
  });

  /** Waits for an append of the controller; events decide, not the clock. */
  async function takeAppend() {
    while (log.appends.length === 0) await letRun();
    const append = log.appends.shift();
    if (!append) throw new Error("Cannot find an append");
    return append;
  }

  it("settles claims of one group by their order in the log", async () => {
    const key = uuid.v7();
    const first = controller.claim(buildClaim(key, 1), BOUND_MS);
    const append = await takeAppend();
    const second = controller.claim(buildClaim(key, 1, "i-2"), BOUND_MS);
    await append.succeed();
    await (await takeAppend()).succeed();
    expect(await first).to.deep.equal({ kind: "won" });
    expect((await second).kind).to.equal("lost");
  });

  it("collects what comes while an append is under way", async () => {
    void controller.claim(buildClaim(uuid.v7(), 1), BOUND_MS);
    const append = await takeAppend();
    for (const sequence of [2, 3, 4]) {
      void controller.claim(buildClaim(uuid.v7(), sequence), BOUND_MS);
    }
    await letRun();
    expect(log.appends).to.have.length(0);
    await append.succeed();
    const group = await takeAppend();
    expect(listRecords(group.value)).to.have.length(3);
  });

  // A ticket is refused although its claim stands in the log and holds the key
  // for good. The log took the append and its answer was lost on the way back.
  it("hears of a claim whose append's answer was lost", async () => {
    const claim = controller.claim(buildClaim(uuid.v7(), 1), BOUND_MS);
    await (await takeAppend()).loseAnswer();
    expect(await claim).to.deep.equal({ kind: "won" });
  });

  for (const kind of ["refused", "rate_limited", "not_sent"] as const) {
    it(`sends a claim again after an append that was ${kind}`, async () => {
      const record = buildClaim(uuid.v7(), 1);
      const claim = controller.claim(record, BOUND_MS);
      await (await takeAppend()).fail(kind, 1);
      const again = await takeAppend();
      expect(listRecords(again.value)).to.deep.equal([record]);
      await again.succeed();
      expect(await claim).to.deep.equal({ kind: "won" });
    });
  }

  // Callers of the whole site miss their deadlines in an outage of the log: each
  // claim waited for its own bound in place of being refused as not run.
  it("settles every waiting claim at once when the log goes away", async () => {
    const waiting = [1, 2, 3].map((sequence) =>
      controller.claim(buildClaim(uuid.v7(), sequence), BOUND_MS)
    );
    await takeAppend();
    log.setDown(true);
    const verdicts = await Promise.all(waiting);
    expect(verdicts).to.deep.equal([UNSETTLED, UNSETTLED, UNSETTLED]);
    expect(controller.waitingRecords).to.equal(0);
    const later = controller.claim(buildClaim(uuid.v7(), 4), BOUND_MS);
    expect(await later).to.deep.equal(UNSETTLED);
  });

  // A key that nobody stands behind holds for good: its claimant was told
  // "unsettled", went away, and the claim went to the log after all.
  it("never appends a claim that was given up before", async () => {
    void controller.claim(buildClaim(uuid.v7(), 1), BOUND_MS);
    const append = await takeAppend();
    const abandoned = buildClaim(uuid.v7(), 2);
    expect(await controller.claim(abandoned, 0)).to.deep.equal(UNSETTLED);
    await append.succeed();
    void controller.claim(buildClaim(uuid.v7(), 3), BOUND_MS);
    await (await takeAppend()).succeed();
    const appended = log.records.flatMap(({ value }) => listRecords(value));
    expect(appended.map(({ id }) => id.sequence)).to.deep.equal([1, 3]);
  });

  it("never sends a claim again that was given up while appended", async () => {
    const abandoned = controller.claim(buildClaim(uuid.v7(), 1), 0);
    const append = await takeAppend();
    expect(await abandoned).to.deep.equal(UNSETTLED);
    void controller.claim(buildClaim(uuid.v7(), 2), BOUND_MS);
    await append.fail("refused", 1);
    const again = await takeAppend();
    const sequences = listRecords(again.value).map(({ id }) => id.sequence);
    expect(sequences).to.deep.equal([2]);
  });

  it("gives no verdict 'won' to a claim that was released", async () => {
    const record = buildClaim(uuid.v7(), 1);
    const { id, keyId } = record;
    log.place({ kind: "group", records: [{ kind: "release", id, keyId }] });
    await letRun();
    const verdict = await controller.claim(record, BOUND_MS);
    expect(verdict).to.deep.equal(UNSETTLED);
    expect(log.appends).to.have.length(0);
  });

  it("answers a copy of a settled claim without an append", async () => {
    const record = buildClaim(uuid.v7(), 1);
    const claim = controller.claim(record, BOUND_MS);
    await (await takeAppend()).succeed();
    await claim;
    const copy = await controller.claim(record, BOUND_MS);
    expect(copy).to.deep.equal({ kind: "won" });
    expect(counts.appends_total).to.equal(1);
  });

  it("keeps outcomes over an outage and appends them after it", async () => {
    const { id, keyId } = buildClaim(uuid.v7(), 1);
    const release = { kind: "release", id, keyId } as const;
    log.setDown(true);
    await letRun();
    expect(controller.recordLater([release])).to.equal(1);
    await letRun();
    expect(log.appends).to.have.length(0);
    log.setDown(false);
    expect(listRecords((await takeAppend()).value)).to.deep.equal([release]);
  });

  // A log service that is at its limit never recovers: it says when to come
  // back, and each new claim makes the control ask again at once.
  it("waits as long as a rate-limited log asks, also when claims come", async () => {
    void controller.claim(buildClaim(uuid.v7(), 1), BOUND_MS);
    await (await takeAppend()).fail("rate_limited", BOUND_MS);
    void controller.claim(buildClaim(uuid.v7(), 2), BOUND_MS);
    controller.recordLater([]);
    await letRun();
    expect(log.appends).to.have.length(0);
  });

  it("settles nothing as won on close", async () => {
    const claim = controller.claim(buildClaim(uuid.v7(), 1), BOUND_MS);
    await takeAppend();
    controller.close();
    expect(await claim).to.deep.equal(UNSETTLED);
  });
});
