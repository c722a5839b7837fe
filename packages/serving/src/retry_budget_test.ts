import { expect } from "chai";
import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { RetryBudget } from "./retry_budget.ts";

const OPTIONS = { ratio: 0.2, extra: 50, windowMs: 10_000 };
const STEP_MS = 250;
const END_MS = 40_000;

function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** What happens in a simulated site, in steps of {@link STEP_MS}. */
interface Play {
  readonly vms: number;
  /** Requests to each VM that gets any. */
  readonly requestsPerStep: number;
  /** Whether all requests fail at a time, and as often as they are sent. */
  readonly isFailing: (now: number) => boolean;
  /** VMs that get the requests of a time. */
  readonly pickVms: (now: number) => readonly number[];
  /** VMs whose processes start at a time. */
  readonly findStarted?: (now: number) => readonly number[];
}

/** Returns the most by which the retries of a window exceed the limit. */
function findExcess(play: Play): number {
  const random = createRandom(74);
  const createBudget = (startedAt: number) =>
    new RetryBudget(OPTIONS, { startedAt, random });
  const budgets = Array.from({ length: play.vms }, () => createBudget(-20_000));
  const requests: number[] = [];
  const retries: number[] = [];
  for (let now = 0; now < END_MS; now += STEP_MS) {
    for (const vm of play.findStarted?.(now) ?? []) {
      budgets[vm] = createBudget(now);
    }
    const targets = play.pickVms(now);
    const perVm = Math.round(play.requestsPerStep * play.vms / targets.length);
    for (const vm of targets) {
      for (let i = 0; i < perVm; i++) {
        requests.push(now);
        budgets[vm]!.recordRequest("desk", now);
      }
    }
    if (!play.isFailing(now)) continue;
    for (const budget of budgets) {
      while (budget.mayRetry("desk", now, play.vms)) {
        const { isAllowed } = budget.takeRetry("desk", now, play.vms);
        if (isAllowed) retries.push(now);
      }
    }
  }
  return Math.max(...retries.map((from) => {
    const to = from + OPTIONS.windowMs;
    const limit = OPTIONS.ratio * countMostRequests(requests, from) +
      OPTIONS.extra;
    return countBetween(retries, from, to) - limit;
  }));
}

/** Requests of the window, the one before or half a window before, the most. */
function countMostRequests(requests: readonly number[], from: number): number {
  const { windowMs } = OPTIONS;
  return Math.max(
    ...[from, from - windowMs / 2, from - windowMs].map((start) =>
      countBetween(requests, start, start + windowMs)
    ),
  );
}

function countBetween(times: readonly number[], from: number, to: number) {
  return times.filter((time) => time >= from && time < to).length;
}

const ALL = [0, 1, 2, 3, 4, 5, 6, 7];
const PLAY: Play = {
  vms: ALL.length,
  requestsPerStep: 2,
  isFailing: (now) => now >= 12_000,
  pickVms: () => ALL,
};

describe("the retries of all VMs", () => {
  it("stay within the limit when every request fails", () => {
    expect(findExcess(PLAY)).to.be.at.most(0);
  });

  it("stay within the limit after a burst", () => {
    const pickVms = (now: number) =>
      now % 12_000 < 3_000 ? [...ALL, ...ALL, ...ALL] : ALL;
    expect(findExcess({ ...PLAY, pickVms })).to.be.at.most(0);
  });

  // A process that started anew used the share of the process before once more.
  it("stay within the limit when all VMs restart", () => {
    for (const startedAt of [12_250, 13_000, 15_000, 20_000]) {
      const findStarted = (now: number) => now === startedAt ? ALL : [];
      expect(findExcess({ ...PLAY, findStarted })).to.be.at.most(0);
    }
  });

  it("stay within the limit when all VMs restart again and again", () => {
    const findStarted = (now: number) => now % 2_000 === 0 ? ALL : [];
    expect(findExcess({ ...PLAY, findStarted })).to.be.at.most(0);
  });

  // Requests of one window were credited at the VM that had them and at the next.
  it("stay within the limit when callers move to other VMs", () => {
    for (const movedAt of [12_000, 12_250, 14_000, 17_000]) {
      const pickVms = (now: number) =>
        now < movedAt ? ALL.slice(4) : ALL.slice(0, 4);
      expect(findExcess({ ...PLAY, pickVms })).to.be.at.most(0);
    }
  });

  it("stay within the limit whichever VMs restart and get requests", () => {
    const vms = fc.array(fc.nat(7), { minLength: 1, maxLength: 8 });
    const phase = fc.record({ targets: vms, started: vms });
    fc.assert(
      fc.property(
        fc.array(phase, { minLength: 4, maxLength: 20 }),
        fc.integer({ min: 0, max: 20_000 }),
        (phases, failingFrom) => {
          const phaseMs = END_MS / phases.length;
          const getPhase = (now: number) => phases[Math.floor(now / phaseMs)]!;
          const isStart = (now: number) =>
            now > 0 && getPhase(now) !== getPhase(now - STEP_MS);
          const excess = findExcess({
            ...PLAY,
            isFailing: (now) => now >= failingFrom,
            pickVms: (now) => [...new Set(getPhase(now).targets)],
            findStarted: (now) => isStart(now) ? getPhase(now).started : [],
          });
          expect(excess).to.be.at.most(0);
        },
      ),
      { numRuns: 30, seed: 74 },
    );
  }).timeout(60_000);
});

describe("RetryBudget", () => {
  /** Uses up what the budget allows at a time; returns the number of retries. */
  function takeAll(budget: RetryBudget, now: number): number {
    let retries = 0;
    while (budget.mayRetry("desk", now, 1)) {
      if (budget.takeRetry("desk", now, 1).isAllowed) retries += 1;
    }
    return retries;
  }

  function createBudget(overrides: Partial<typeof OPTIONS> = {}): RetryBudget {
    const random = createRandom(7);
    return new RetryBudget({ ...OPTIONS, ...overrides }, {
      startedAt: 0,
      random,
    });
  }

  it("allows half of the limit in the long run", () => {
    const budget = createBudget();
    let retries = 0;
    for (let now = 0; now < END_MS; now += STEP_MS) {
      for (let i = 0; i < 5; i++) budget.recordRequest("desk", now);
      retries += takeAll(budget, now);
    }
    const limit = (OPTIONS.ratio * 200 + OPTIONS.extra) * END_MS /
      OPTIONS.windowMs;
    expect(retries).to.be.within(limit / 2, limit);
  });

  it("starts without credits, and gets them by time and by requests", () => {
    const budget = createBudget();
    expect(budget.getCredit("desk", 0, 1))
      .to.deep.equal({ earned: 0, extra: 0, senders: 1 });
    budget.recordRequest("desk", 0);
    const { earned, extra } = budget.getCredit("desk", 1_000, 1);
    expect([earned, extra].map((credit) => credit.toFixed(2)))
      .to.deep.equal(["0.13", "3.25"]);
  });

  // An endpoint fails every request and every VM retries every failure: load
  // doubles and overloads the other endpoints. Ten VMs together must stay within
  // the limit.
  it("stays within the limit over all VMs when every request fails", () => {
    const members = 10;
    const budgets = Array.from({ length: members }, () => createBudget());
    let retries = 0;
    for (const budget of budgets) {
      for (let i = 0; i < 20; i++) {
        const now = i * OPTIONS.windowMs / 20;
        budget.recordRequest("bookings", now);
        if (budget.takeRetry("bookings", now, members).isAllowed) retries += 1;
      }
    }
    expect(retries).to.be.greaterThan(40);
    expect(retries).to.be.at.most(0.2 * 200 + 50);
  });

  it("drops credits that weren't used in time", () => {
    const budget = createBudget({ extra: 0 });
    for (let i = 0; i < 10; i++) budget.recordRequest("desk", 0);
    expect(budget.mayRetry("desk", 3_999, 1)).to.equal(true);
    expect(budget.mayRetry("desk", 4_000, 1)).to.equal(false);
  });

  // A retry was sent after the operator had allowed none.
  it("applies a changed limit to requests of before", () => {
    const budget = createBudget();
    for (let i = 0; i < 10; i++) budget.recordRequest("desk", 1_000);
    expect(budget.mayRetry("desk", 1_000, 1)).to.equal(true);
    budget.setOptions({ ...OPTIONS, ratio: 0, extra: 0 });
    expect(budget.mayRetry("desk", 1_000, 1)).to.equal(false);
    budget.setOptions({ ...OPTIONS, ratio: 0.4, extra: 0 });
    expect(budget.getCredit("desk", 1_000, 1).earned).to.be.closeTo(2.6, 1e-6);
  });

  it("counts each service separately", () => {
    const budget = createBudget({ extra: 4 });
    expect(budget.takeRetry("a", 4_000, 1).isAllowed).to.equal(true);
    expect(budget.takeRetry("a", 4_000, 1).isAllowed).to.equal(false);
    expect(budget.mayRetry("a", 4_000, 1)).to.equal(false);
    expect(budget.takeRetry("b", 4_000, 1).isAllowed).to.equal(true);
    expect(budget.takeRetry("a", 8_000, 1).isAllowed).to.equal(true);
  });

  // A brief view of fewer VMs must not turn into their shares.
  it("keeps no more than the share of the VMs that it counts now", () => {
    const budget = createBudget();
    expect(budget.getCredit("desk", 4_000, 1).extra).to.be.closeTo(13, 1e-6);
    expect(budget.getCredit("desk", 4_001, 10).extra).to.be.closeTo(1.3, 1e-6);
  });

  // On a large site no VM would ever have a whole retry for a small service.
  it("uses a limit that is less than one retry for each VM", () => {
    const vms = 200;
    const random = createRandom(3);
    const budgets = Array.from(
      { length: vms },
      () => new RetryBudget(OPTIONS, { startedAt: -20_000, random }),
    );
    let retries = 0;
    for (let now = 0; now < OPTIONS.windowMs; now += STEP_MS) {
      for (const budget of budgets) {
        if (budget.takeRetry("desk", now, vms).isAllowed) retries += 1;
      }
    }
    expect(retries).to.be.within(OPTIONS.extra / 2, OPTIONS.extra);
  });
});
