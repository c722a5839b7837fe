/**
 * Operators that change the configuration during fault pairs.
 *
 * @module
 */
import * as rpc from "@sardinestep/rpc";
import * as testbed from "@sardinestep/testbed";
import { randomUUID } from "node:crypto";
import { CONFIGURATION, ZONES } from "../small_plan.ts";

/** The failure domain that is taken out of service. */
const ZONE_OUT = ZONES[2];
const PUBLISH_TIMEOUT_MS = 8_000;
const STATUS_TIMEOUT_MS = 1_000;
const RACE_ROUNDS = 2;
const CONVERGENCE_BOUND_MS = 5_000;
const PUBLISH_BOUND_MS = 12_000;

/** Publishes configurations and checks that all processes converge. */
export class Operators {
  readonly #deployment: testbed.Deployment;
  readonly #violations: testbed.Violation[] = [];
  #zonesOut: readonly string[] = [];

  constructor(deployment: testbed.Deployment) {
    this.#deployment = deployment;
  }

  /** Takes the failure domain out; resolves once the change is accepted. */
  async takeZoneOut(): Promise<void> {
    this.#zonesOut = [ZONE_OUT];
    await this.#publishUntilAccepted();
  }

  /** Brings the failure domain back; resolves once the change is accepted. */
  async bringZoneBack(): Promise<void> {
    this.#zonesOut = [];
    await this.#publishUntilAccepted();
  }

  /** Publishes concurrently on the same base version, once at each control. */
  async race(): Promise<void> {
    for (let round = 0; round < RACE_ROUNDS; round += 1) {
      const base = await this.#readHighest();
      const verdicts = await Promise.all(
        this.#deployment.vms.map((_vm, index) => this.#publishAt(index, base)),
      );
      const accepted = verdicts.filter(({ kind }) => kind === "accepted");
      if (accepted.length <= 1) continue;
      const detail = `on base ${base}: ${JSON.stringify(verdicts)}`;
      this.#violations.push({
        guarantee: "at most one of the racing operators wins",
        detail,
      });
    }
  }

  /** Counts the calls received by workers in {@link ZONE_OUT}. */
  async countCallsInZoneOut(): Promise<number> {
    const workers = await this.#deployment.readWorkerCounters();
    return workers
      .filter((worker) => worker.zone === ZONE_OUT)
      .reduce((sum, worker) => sum + worker.calls, 0);
  }

  /** Waits until all processes report one version; returns all violations. */
  async expectOneVersion(): Promise<testbed.Violation[]> {
    const violations = this.#violations.splice(0);
    try {
      await testbed.waitFor(async () => {
        const versions = await this.#readVersions();
        return versions.every((version) =>
          version === versions[0] && version > 0
        );
      }, {
        description: "one version everywhere",
        timeoutMs: CONVERGENCE_BOUND_MS,
      });
    } catch (error) {
      const versions = await this.#readVersions();
      const detail = `${error}; reported versions: ${versions.join(", ")}`;
      violations.push({
        guarantee: "in effect everywhere within seconds",
        detail,
      });
    }
    return violations;
  }

  async #publishUntilAccepted(): Promise<void> {
    let index = 0;
    await testbed.waitFor(async () => {
      const verdict = await this.#publishAt(index, await this.#readHighest());
      index += 1;
      return verdict.kind === "accepted";
    }, {
      description: "an accepted configuration",
      timeoutMs: PUBLISH_BOUND_MS,
    });
  }

  async #publishAt(index: number, base: number): Promise<rpc.PublishVerdict> {
    const vm = this.#deployment.vms[index % this.#deployment.vms.length];
    const record = {
      kind: "publish",
      recordId: randomUUID(),
      base,
      author: `operator ${index}`,
      note: "",
      configuration: { ...CONFIGURATION, zonesOut: this.#zonesOut },
    } as const;
    const answer = await rpc.callOnce(vm?.controlRpc ?? "", "publish", record, {
      timeoutMs: PUBLISH_TIMEOUT_MS,
    });
    return answer.isOk() ? answer.value : { kind: "unknown" };
  }

  async #readHighest(): Promise<number> {
    return Math.max(...await this.#readVersions());
  }

  async #readVersions(): Promise<number[]> {
    const addresses = this.#deployment.vms.flatMap((vm) => [
      vm.entryRpc,
      vm.controlRpc,
    ]);
    return await Promise.all(addresses.map(async (address) => {
      const status = await rpc.callOnce(address, "status", {}, {
        timeoutMs: STATUS_TIMEOUT_MS,
      });
      return status.isOk() ? status.value.configVersion : 0;
    }));
  }
}
