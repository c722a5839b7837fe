import { expect } from "chai";
import fc from "fast-check";
import {
  isAhead,
  mayReadRegistry,
  planRegistryPace,
} from "./registry_reader.ts";

const PACE = planRegistryPace(2_000);

describe("mayReadRegistry", () => {
  it("reads as the first of its zone, and hears of it otherwise", () => {
    const { staleMs } = PACE;
    const mayRead = (rank: number, ageMs: number) =>
      mayReadRegistry({ rank, ageMs }, PACE);
    expect(mayRead(0, 0)).to.equal(true);
    expect(mayRead(1, staleMs)).to.equal(false);
    expect(mayRead(1, staleMs + 1)).to.equal(true);
  });

  // The reader of a zone is cut off from the registry. If its neighbours all took
  // over at once, 16 of them would read; if none did, a worker that leaves would
  // get requests until it exits.
  it("takes over one after the other, and all well within two seconds", () => {
    const takeover = [1, 2, 3, 9].map((rank) => {
      const ages = Array.from({ length: 2_000 }, (_, ageMs) => ageMs);
      return ages.find((ageMs) => mayReadRegistry({ rank, ageMs }, PACE))!;
    });
    expect(takeover).to.deep.equal([1_251, 1_401, 1_551, 1_551]);
  });

  it("compares every topic", () => {
    const own = {
      operatorPosition: 3,
      endpointPosition: 5,
      memberPosition: 1,
      quarantinePosition: 1,
    };
    expect(isAhead(own, own)).to.equal(false);
    expect(isAhead({ ...own, memberPosition: 2 }, own)).to.equal(true);
    expect(isAhead({ ...own, memberPosition: 0 }, own)).to.equal(false);
  });
});

describe("planRegistryPace", () => {
  it("reads less often where more time is given, within limits", () => {
    const reads = [100, 1_000, 2_000, 3_000, 4_000, 60_000]
      .map((followMs) => planRegistryPace(followMs).readMs);
    expect(reads).to.deep.equal([200, 400, 800, 1_200, 1_600, 2_400]);
  });

  // A zone's reader is cut off from the registry or dies, then its heirs. The
  // others rely on what they hear, and a worker that left gets requests past the
  // bound: nobody read in time.
  it("keeps facts younger than the bound, whoever is lost", () => {
    const loss = fc.record({
      vm: fc.nat({ max: VMS - 1 }),
      at: fc.nat({ max: DAY_MS }),
      forMs: fc.integer({ min: 100, max: 4_000 }),
    });
    const day = fc.record({
      followMs: fc.constantFrom(1_000, 2_000, 3_000, 4_000),
      phases: fc.array(fc.nat({ max: EXCHANGE_MS }), {
        minLength: VMS,
        maxLength: VMS,
      }),
      losses: fc.array(loss, { maxLength: 6 }),
    });
    fc.assert(
      fc.property(day, (one) => {
        expect(findOldest(one)).to.be.lessThan(one.followMs - MARGIN_MS);
      }),
      { seed: 7, numRuns: 200 },
    );
  });
});

const VMS = 6;
const DAY_MS = 12_000;
const TICK_MS = 10;
const EXCHANGE_MS = 250;
const READ_TIME_MS = 40;
/** Left for a request that is on its way when a change is learnt. */
const MARGIN_MS = 200;

interface Loss {
  readonly vm: number;
  readonly at: number;
  readonly forMs: number;
}

interface Day {
  readonly followMs: number;
  readonly phases: readonly number[];
  readonly losses: readonly Loss[];
}

/** Oldest facts of a VM that reaches the registry, in milliseconds. */
function findOldest({ followMs, phases, losses }: Day): number {
  const pace = planRegistryPace(followMs);
  const seenAt = Array.from({ length: VMS }, () => 0);
  const readAt = Array.from({ length: VMS }, () => -Infinity);
  const lostUntil = Array.from({ length: VMS }, () => -Infinity);
  let oldest = 0;
  for (let now = 0; now < DAY_MS; now += TICK_MS) {
    for (const { vm, at, forMs } of losses) {
      if (at - at % TICK_MS === now) lostUntil[vm] = now + forMs;
    }
    for (let vm = 0; vm < VMS; vm++) {
      // One that is cut off must not be relied on, and is not judged itself.
      if (lostUntil[vm]! > now) {
        seenAt[vm] = Math.min(seenAt[vm]!, now - pace.staleMs);
        continue;
      }
      const isBack = now - lostUntil[vm]! < TICK_MS * 2;
      if (isBack) seenAt[vm] = now;
      const ageMs = now - seenAt[vm]!;
      oldest = Math.max(oldest, ageMs);
      const isHeard = (other: number) =>
        lostUntil[other]! <= now && now - seenAt[other]! < pace.staleMs;
      const rank = [...Array(vm).keys()].filter(isHeard).length;
      const isDue = now - readAt[vm]! >= pace.readMs ||
        (readAt[vm]! < seenAt[vm]! && ageMs > pace.staleMs);
      if (mayReadRegistry({ rank, ageMs }, pace) && isDue) {
        readAt[vm] = now + READ_TIME_MS;
      }
      if (Math.abs(readAt[vm]! - now) < TICK_MS / 2) seenAt[vm] = now;
      if ((now + phases[vm]!) % EXCHANGE_MS >= TICK_MS) continue;
      for (const other of [0, 1]) {
        if (lostUntil[other]! <= now) {
          seenAt[vm] = Math.max(seenAt[vm]!, seenAt[other]!);
        }
      }
    }
  }
  return oldest;
}
