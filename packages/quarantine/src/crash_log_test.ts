import { expect } from "chai";
import fc from "fast-check";
import { CrashLog, findPoisonRequests, getOpenSuspects } from "./mod.ts";

const SETTLED_MS = 1_500;
const NO_REQUESTS: ReadonlySet<string> = new Set();

function recordCrash(
  log: CrashLog,
  id: string,
  fingerprints: readonly string[],
  at: number,
): void {
  const suspects = fingerprints.map((fingerprint) => ({
    fingerprint,
    runMs: 100,
    isCleared: false,
  }));
  log.record({ id, service: "engine", at, suspects }, at);
}

function find(log: CrashLog, now: number): string[] {
  const crashes = log.getSettled(now);
  return findPoisonRequests({
    crashes,
    known: NO_REQUESTS,
    onProbation: NO_REQUESTS,
  })
    .map((poison) => poison.fingerprint);
}

describe("CrashLog", () => {
  it("finds a poison request when each VM saw one of its crashes", () => {
    const logs = ["e1", "e2", "e3"].map((id, index) => {
      const log = new CrashLog();
      recordCrash(log, id, ["p", `concurrent-${index}`], 0);
      return log;
    });
    const [first, ...others] = logs;
    expect(find(first!, SETTLED_MS)).to.deep.equal([]);
    for (const other of others) first!.merge(other.getUpdates(10)!, 20);
    expect(find(first!, SETTLED_MS)).to.deep.equal(["p"]);
  });

  it("waits for the evidence of the other VMs", () => {
    const log = new CrashLog();
    for (const id of ["e1", "e2", "e3"]) recordCrash(log, id, ["p"], 0);
    expect(find(log, 500)).to.deep.equal([]);
  });

  // Guards against quarantining a request that many callers send, which is running
  // at nearly all endpoints when a zone fails.
  it("clears requests answered shortly before, on this or another VM", () => {
    const [here, there] = [new CrashLog(), new CrashLog()];
    there.recordCompletion({ service: "engine", fingerprint: "hot" }, 0);
    for (const id of ["e1", "e2", "e3"]) recordCrash(here, id, ["hot"], 100);
    there.merge(here.getUpdates(100)!, 200);
    here.merge(there.getUpdates(300)!, 400);
    expect(find(here, 100 + SETTLED_MS)).to.deep.equal([]);
  });

  it("clears requests answered later, only by the same service", () => {
    const log = new CrashLog();
    for (const id of ["e1", "e2", "e3"]) recordCrash(log, id, ["p"], 0);
    log.recordCompletion({ service: "archive", fingerprint: "p" }, 2_000);
    expect(find(log, 2_000)).to.deep.equal(["p"]);
    log.recordCompletion({ service: "engine", fingerprint: "p" }, 2_100);
    expect(find(log, 2_200)).to.deep.equal([]);
    expect(log.isSuspect("p")).to.equal(false);
  });

  // Connections are cut for many reasons; an endpoint that answers hasn't crashed.
  it("voids a crash when the endpoint answers afterwards", () => {
    const log = new CrashLog();
    for (const id of ["e1", "e2", "e3"]) recordCrash(log, id, ["p"], 0);
    log.recordAnswer("e1", 10);
    expect(log.getSettled(SETTLED_MS).filter((crash) => crash.isVoid))
      .to.have.length(0);
    log.recordAnswer("e1", 300);
    expect(find(log, SETTLED_MS)).to.deep.equal([]);
  });

  it("sends a change for several exchanges, then nothing", () => {
    const log = new CrashLog();
    recordCrash(log, "e1", ["p"], 0);
    expect(log.getUpdates(1_000)).to.have.length(1);
    expect(log.getUpdates(3_000)).to.equal(undefined);
  });

  it("drops old crashes, and the oldest above the limit", () => {
    const log = new CrashLog();
    for (let i = 0; i < 1_000; i++) recordCrash(log, `e${i}`, ["p"], i);
    expect(log.getSettled(3_000).length).to.be.at.most(256);
    expect(log.getSettled(3_600_000)).to.have.length(0);
  });

  it("merges to the same result in any order", () => {
    const received = ["a", "b", "c", "d"].map((name, index) => ({
      id: `e${index % 2}`,
      service: "engine",
      ageMs: 0,
      isVoid: index === 3,
      suspects: [
        { fingerprint: "p", runMs: 10 + index, isCleared: index === 2 },
        { fingerprint: name, runMs: 5, isCleared: false },
      ],
    }));
    const merge = (order: readonly typeof received[number][]) => {
      const log = new CrashLog();
      for (const crash of order) log.merge([crash], 0);
      return log.getSettled(SETTLED_MS)
        .map((crash) => ({
          ...crash,
          suspects: getOpenSuspects(crash)
            .map((suspect) => suspect.fingerprint).sort(),
        }))
        .sort((a, b) => a.id < b.id ? -1 : 1);
    };
    const shuffled = fc.shuffledSubarray(received, {
      minLength: received.length,
    });
    fc.assert(fc.property(shuffled, (order) => {
      expect(merge(order)).to.deep.equal(merge(received));
    }));
  });
});
