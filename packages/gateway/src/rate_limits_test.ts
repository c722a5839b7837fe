import type * as limitLoans from "@sardinestep/limit_loans";
import * as logger from "@sardinestep/logger";
import type * as serving from "@sardinestep/serving";
import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { RateLimits } from "./rate_limits.ts";
import { SiteState } from "./site_state.ts";

const VMS = ["vm-0", "vm-1", "vm-2", "vm-3"];
const ENDPOINT: serving.ServingEndpoint = {
  id: "e1",
  service: "engine",
  address: "10.0.0.1:1",
  zone: "zone-a",
  slots: 8,
  isDraining: false,
  coldMs: 0,
};
/** Window in which the endpoint counts requests, in milliseconds. */
const WINDOW_MS = 4_000;
const PER_SECOND = 20;
const TICK_MS = 5;

describe("rate limits of endpoints, over VMs that lend each other", () => {
  let vms: Map<string, RateLimits>;
  let sent: { vmId: string; at: number }[];

  beforeEach(() => {
    vms = new Map(VMS.map((vmId) => [vmId, createVm(vmId)]));
    sent = [];
  });

  function createVm(vmId: string): RateLimits {
    const events = new logger.EventLog({
      process: "test",
      vmId,
      output: { writableLength: 0, write: () => true },
    });
    const site = new SiteState(events);
    for (const id of VMS) {
      site.updateMember({ vmId: id, zone: "zone-a", rpc: id, cores: 1 });
    }
    site.updateEndpoint(ENDPOINT, 1);
    const callLender = async (
      lender: string,
      asks: readonly limitLoans.LoanAsk[],
    ) => {
      await wait(3);
      return vms.get(lender)!.lend(asks);
    };
    const limits = new RateLimits({ site, events, vmId, callLender });
    limits.recordAnswer(ENDPOINT, PER_SECOND);
    return limits;
  }

  /** Sends what the VMs may, each as often as it likes. */
  async function send(
    perSecond: (vmId: string, elapsedMs: number) => number,
    forMs: number,
  ): Promise<void> {
    const startedAt = performance.now();
    const owed = new Map(VMS.map((vmId) => [vmId, 0]));
    let last = startedAt;
    while (last < startedAt + forMs) {
      await wait(TICK_MS);
      const now = performance.now();
      for (const [vmId, limits] of vms) {
        let due = owed.get(vmId)! +
          perSecond(vmId, now - startedAt) * (now - last) / 1_000;
        for (; due >= 1; due--) {
          if (limits.getWaitMs(ENDPOINT, now) > 0) continue;
          limits.recordSend(ENDPOINT);
          sent.push({ vmId, at: now });
        }
        owed.set(vmId, due);
      }
      last = now;
    }
  }

  function countMostInWindow(): number {
    return Math.max(
      ...sent.map(({ at: start }) =>
        sent.filter(({ at }) => at >= start && at < start + WINDOW_MS).length
      ),
    );
  }

  // A VM with most of the traffic kept to a quarter of the limit.
  it("lets one VM use what the others leave over", async () => {
    await send((vmId) => vmId === "vm-0" ? 0.6 * PER_SECOND : 0, 6_000);
    const counted = sent.filter(({ at }) => at > sent[0]!.at + 2_000);
    expect(counted.length).to.be.at.least(0.75 * 0.6 * PER_SECOND * 3.9);
  });

  // Loans must not add up to more than the limit.
  it("keep the limit while the traffic moves from VM to VM", async () => {
    await send((vmId, elapsedMs) => {
      const hot = VMS[Math.floor(elapsedMs / 1_500) % VMS.length];
      return vmId === hot ? 5 * PER_SECOND : PER_SECOND / 8;
    }, 9_000);
    expect(countMostInWindow()).to.be.at.most(PER_SECOND * WINDOW_MS / 1_000);
    expect(sent.length).to.be.at.least(PER_SECOND * 4);
  });
});
