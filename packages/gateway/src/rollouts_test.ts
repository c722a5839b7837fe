import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as rollout from "@sardinestep/rollout";
import { expect } from "chai";
import { Rollouts } from "./rollouts.ts";
import { SiteState } from "./site_state.ts";

const SERVICE = "engine";
const ORDER: rollout.RolloutOrder = {
  service: SERVICE,
  target: "v2",
  durationMs: 10_000,
  position: 4,
};

class Vm {
  readonly lines: Record<string, unknown>[] = [];
  readonly site: SiteState;
  readonly rollouts: Rollouts;
  /** How often the others should have heard of a stop at once. */
  stops = 0;

  constructor(vmId = "vm-1") {
    const events = new logger.EventLog({
      process: "test",
      vmId,
      output: {
        writableLength: 0,
        write: (text) => this.lines.push(JSON.parse(text)),
      },
    });
    this.site = new SiteState(events);
    this.site.applyConfiguration({
      version: 1,
      routes: [],
      services: [{
        name: SERVICE,
        healthPath: "/",
        coldStartMs: 0,
        coldPerSecond: 0,
      }],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    }, "registry");
    this.site.setEndpointPosition(1);
    this.rollouts = new Rollouts({
      site: this.site,
      events,
      metrics: new metrics.Metrics({ prefix: "test" }),
      vmId,
      zone: "zone-a",
      settings: rollout.DEFAULT_SETTINGS,
      handleStopped: () => this.stops += 1,
    });
  }

  register(id: string, version: string): void {
    this.site.updateEndpoint({
      id,
      service: SERVICE,
      address: "10.0.0.1:1",
      zone: "zone-a",
      slots: 8,
      isDraining: false,
      coldMs: 0,
      version,
    }, 1);
  }

  /** Ids that requests of the present version may go to. */
  getPresent(): string[] {
    return this.site.getEndpointsOf(SERVICE)
      .filter((one) => this.rollouts.mayUse(one, rollout.SIDE.present))
      .map((one) => one.id);
  }

  /** Reads that nothing was reported yet. */
  readReport(): void {
    for (const run of this.rollouts.open) {
      this.rollouts.recordReport(run, undefined);
    }
    this.rollouts.update();
  }
}

describe("Rollouts", () => {
  it("serves by every version that is there at the start", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.register("b", "v0");
    expect(vm.getPresent()).to.deep.equal(["a", "b"]);
  });

  // A version registers, nobody ordered it, and it gets its share of everything.
  it("gives nothing to a version that comes without an order", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.rollouts.update();
    vm.register("b", "v2");
    vm.rollouts.update();
    expect(vm.getPresent()).to.deep.equal(["a"]);
  });

  it("exposes nothing before it knows what was reported", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.register("b", "v2");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    expect(vm.getPresent()).to.deep.equal(["a"]);
    const getShare = () => vm.rollouts.open[0]!.getShare(performance.now());
    expect(getShare()).to.equal(0);
    vm.readReport();
    expect(getShare()).to.be.greaterThan(0);
  });

  // The store is away, and only one VM has seen the bad answers.
  it("stops as soon as it hears that another VM has stopped", () => {
    const [one, other] = [new Vm("vm-1"), new Vm("vm-2")];
    for (const vm of [one, other]) {
      vm.register("a", "v1");
      vm.register("b", "v2");
      vm.site.orders.apply(ORDER, "registry");
      vm.rollouts.update();
      vm.readReport();
    }
    const news = other.rollouts.getNews()!
      .map((each) => ({ ...each, stopReason: "9 of 10 answers are bad" }));
    one.rollouts.mergeNews(news);
    expect(one.rollouts.open[0]!.phase)
      .to.deep.equal({ kind: "stopped", reason: "9 of 10 answers are bad" });
    expect(one.lines.at(-1)).to.include({
      event: "rollout_changed",
      phase: "stopped",
      before: "canary",
    });
    one.rollouts.mergeNews(news);
    expect(one.stops).to.equal(1);
  });

  // Counters of an order that ended long ago travel with every exchange.
  it("tells of what is settled only how it ended", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    const [run] = vm.rollouts.open;
    const [endpoint] = vm.site.getEndpointsOf(SERVICE);
    vm.rollouts.recordSent(endpoint!, "note");
    const { service, target, position } = ORDER;
    vm.rollouts.recordReport(run!, {
      service,
      target,
      position,
      state: rollout.ROLLOUT_STATE.rolledBack,
    });
    vm.rollouts.recordSent(endpoint!, "note");
    const [news] = vm.rollouts.getNews()!;
    expect(news).to.deep.include({ finalState: "rolledBack", zones: {} });
    expect(news!.own.tally).to.deep.equal({ present: {}, target: {} });
  });

  it("has nothing to tell where nothing was ordered", () => {
    expect(new Vm().rollouts.getNews()).to.equal(undefined);
  });

  it("forgets an order that was taken back", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    vm.site.orders.remove(SERVICE);
    vm.rollouts.update();
    expect(vm.rollouts.open).to.deep.equal([]);
  });
});
