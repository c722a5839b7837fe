import { expect } from "chai";
import { pickByExpectedFinish } from "./expected_finish.ts";
import { isPlacedByOwnEvidence, type SharedSpeed } from "./relayed_speeds.ts";
import { HostSpeeds, SHARE_SOURCE } from "./host_speeds.ts";

function buildShared(more: Partial<SharedSpeed> = {}): SharedSpeed {
  return { id: "e1", slowdown: 2.5, ageMs: 0, ...more };
}

describe("HostSpeeds with figures of other VMs", () => {
  it("uses the newest figure, own or relayed", () => {
    const speeds = new HostSpeeds();
    speeds.recordReport("e1", 1, 1_000);
    speeds.recordShared([buildShared({ ageMs: 100 })], 1_050);
    expect(speeds.getSlowdown("e1", 1_050)).to.equal(1);
    speeds.recordShared([buildShared({ ageMs: 10 })], 1_050);
    expect(speeds.getSlowdown("e1", 1_050)).to.be.greaterThan(2);
    speeds.recordReport("e1", 1, 1_060);
    expect(speeds.getSlowdown("e1", 1_060)).to.equal(1);
  });

  // Failure: a view arrives late, or its sender dies and sends no correction.
  it("ignores late figures and forgets relayed ones within seconds", () => {
    const speeds = new HostSpeeds();
    speeds.recordShared([buildShared({ ageMs: 1_500 })], 2_000);
    expect(speeds.getSlowdown("e1", 2_000)).to.equal(1);
    speeds.recordShared([buildShared()], 2_000);
    expect(speeds.getSlowdown("e1", 2_900)).to.be.closeTo(1, 0.1);
    expect(speeds.getSlowdown("e1", 4_000)).to.equal(1);
  });

  // Failure: a VM passes on figures that can't be true.
  it("ignores wrong figures and bounds absurd ones", () => {
    const speeds = new HostSpeeds();
    const wrong = [0, -1, NaN].map((slowdown) => buildShared({ slowdown }));
    const ages = [-1, NaN].map((ageMs) => buildShared({ ageMs }));
    speeds.recordShared([...wrong, ...ages], 0);
    expect(speeds.getSlowdown("e1", 0)).to.equal(1);
    speeds.recordShared([buildShared({ slowdown: 1e9 })], 0);
    expect(speeds.getSlowdown("e1", 0)).to.equal(5);
  });

  // Failure: a VM claims again and again that a usual endpoint is slow.
  it("excludes no endpoint on the word of another VM", () => {
    const speeds = new HostSpeeds();
    const candidates = ["e1", "e2"].map((id) => ({
      id,
      zone: "a",
      slots: 32,
      inFlight: 0,
    }));
    const counts = new Map<string, number>();
    const runFor = (fromMs: number, toMs: number) => {
      counts.clear();
      for (let now = fromMs; now < toMs; now += 10) {
        speeds.recordShared([buildShared({ slowdown: 4 })], now);
        const requestId = `r${now}`;
        const isOwnOnly = isPlacedByOwnEvidence(requestId);
        const id = pickByExpectedFinish(
          candidates.map((candidate) => ({
            ...candidate,
            slowdown: isOwnOnly
              ? speeds.getOwnSlowdown(candidate.id, now)
              : speeds.getSlowdown(candidate.id, now),
          })),
          { requestId, ownZone: "a", otherZoneCost: 0.5 },
        )!;
        counts.set(id, (counts.get(id) ?? 0) + 1);
        speeds.recordReport(id, 1, now + 5);
      }
    };
    runFor(0, 20_000);
    expect(counts.get("e1")).to.be.greaterThan(20);
  });

  // Guards against views that grow with the site.
  it("passes on at most 32 recent figures, unusual ones first", () => {
    const speeds = new HostSpeeds();
    for (let i = 0; i < 100; i++) {
      speeds.recordReport(`e${i}`, i % 10 === 0 ? 2.5 : 1, i);
    }
    speeds.recordShared([buildShared({ id: "relayed", ageMs: 20 })], 100);
    const own = speeds.getShared(100, SHARE_SOURCE.own);
    const all = speeds.getShared(100, SHARE_SOURCE.all);
    expect(own).to.have.length(32);
    expect(own.slice(0, 10).every(({ slowdown }) => slowdown === 2.5)).to.equal(
      true,
    );
    expect(own.some(({ id }) => id === "relayed")).to.equal(false);
    expect(all.some(({ id }) => id === "relayed")).to.equal(true);
    expect(JSON.stringify(all).length).to.be.lessThan(1_600);
    expect(speeds.getShared(2_000, SHARE_SOURCE.all)).to.deep.equal([]);
  });
});
