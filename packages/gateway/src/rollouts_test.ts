import * as logger from "@sardinestep/logger";
import * as metrics from "@sardinestep/metrics";
import * as rollout from "@sardinestep/rollout";
import { expect } from "chai";
import { Rollouts } from "./rollouts.ts";
import { SiteState } from "./site_state.ts";
import { STATE_PART } from "./state_positions.ts";

const SERVICE = "engine";
const ORDER: rollout.RolloutOrder = {
  service: SERVICE,
  target: "v2",
  durationMs: 10_000,
  position: 4,
};

class Vm {
  readonly logLines: Record<string, unknown>[] = [];
  readonly site: SiteState;
  readonly rollouts: Rollouts;
  /** Number of times that a version was stopped on this VM. */
  stops = 0;

  constructor(vmId = "vm-1") {
    const events = new logger.EventLog({
      process: "test",
      vmId,
      output: {
        writableLength: 0,
        write: (text) => this.logLines.push(JSON.parse(text)),
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
    this.site.apply(
      { part: STATE_PART.endpoints, kind: "listing", position: 1 },
      () => {},
    );
    this.rollouts = new Rollouts({
      site: this.site,
      events,
      metrics: new metrics.Metrics({ prefix: "test" }),
      vmId,
      zone: "zone-a",
      settings: rollout.DEFAULT_SETTINGS,
      handleVersionStopped: () => this.stops += 1,
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

  /** Ids of the endpoints that may serve requests of the present version. */
  getPresent(): string[] {
    return this.site.getServiceEndpoints(SERVICE)
      .filter((endpoint) =>
        this.rollouts.mayUse(endpoint, rollout.SIDE.present)
      )
      .map((endpoint) => endpoint.id);
  }

  /** Simulates a read that finds no reported status. */
  readReport(): void {
    for (const run of this.rollouts.unsettledRuns) {
      this.rollouts.recordReport(run, undefined);
    }
    this.rollouts.update();
  }
}

describe("Rollouts", () => {
  it("uses every version that is registered at the start", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.register("b", "v0");
    expect(vm.getPresent()).to.deep.equal(["a", "b"]);
  });

  // Otherwise a version that registers without an order would get its share of
  // all requests.
  it("sends nothing to a version that registers later without an order", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.rollouts.update();
    vm.register("b", "v2");
    vm.rollouts.update();
    expect(vm.getPresent()).to.deep.equal(["a"]);
  });

  it("sends nothing to the target before it has read the reported status", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.register("b", "v2");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    expect(vm.getPresent()).to.deep.equal(["a"]);
    const getShare = () =>
      vm.rollouts.unsettledRuns[0]!.getShare(performance.now());
    expect(getShare()).to.equal(0);
    vm.readReport();
    expect(getShare()).to.be.greaterThan(0);
  });

  // The store is unreachable, and only one VM has seen the bad answers.
  it("stops as soon as another VM's update says that it has stopped", () => {
    const [first, second] = [new Vm("vm-1"), new Vm("vm-2")];
    for (const vm of [first, second]) {
      vm.register("a", "v1");
      vm.register("b", "v2");
      vm.site.orders.apply(ORDER, "registry");
      vm.rollouts.update();
      vm.readReport();
    }
    const updates = second.rollouts.getUpdates()!
      .map((update) => ({ ...update, stopReason: "9 of 10 answers are bad" }));
    first.rollouts.mergeUpdates(updates);
    expect(first.rollouts.unsettledRuns[0]!.phase)
      .to.deep.equal({ kind: "stopped", reason: "9 of 10 answers are bad" });
    expect(first.logLines.at(-1)).to.include({
      event: "rollout_changed",
      phase: "stopped",
      before: "canary",
    });
    first.rollouts.mergeUpdates(updates);
    expect(first.stops).to.equal(1);
  });

  // Otherwise every exchange carries the counters of orders that ended long ago.
  it("sends only the final state of a settled order", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    const [run] = vm.rollouts.unsettledRuns;
    const [endpoint] = vm.site.getServiceEndpoints(SERVICE);
    vm.rollouts.recordSent(endpoint!, "note");
    const { service, target, position } = ORDER;
    vm.rollouts.recordReport(run!, {
      service,
      target,
      position,
      state: rollout.ROLLOUT_STATE.rolledBack,
    });
    vm.rollouts.recordSent(endpoint!, "note");
    const [update] = vm.rollouts.getUpdates()!;
    expect(update).to.deep.include({ finalState: "rolledBack", zones: {} });
    expect(update!.own.tally).to.deep.equal({ present: {}, target: {} });
  });

  it("sends no update when there is no order", () => {
    expect(new Vm().rollouts.getUpdates()).to.equal(undefined);
  });

  it("drops an order that was withdrawn", () => {
    const vm = new Vm();
    vm.register("a", "v1");
    vm.site.orders.apply(ORDER, "registry");
    vm.rollouts.update();
    vm.site.orders.remove(SERVICE);
    vm.rollouts.update();
    expect(vm.rollouts.unsettledRuns).to.deep.equal([]);
  });
});
