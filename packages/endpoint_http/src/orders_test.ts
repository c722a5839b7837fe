import type * as ports from "@sardinestep/ports";
import * as fakes from "@sardinestep/fakes";
import { expect } from "chai";
import { openHttpEndpoints } from "./endpoints.ts";

const PATIENT_MS = 10_000;

function buildOrder(version: string, fencing: number): ports.EngineOrder {
  return { wanted: { model: "m", version, role: "generator" }, fencing };
}

// An engine goes back to an old model version. A control that was frozen wakes up
// and sends the order that it had decided before; an engine that checks the
// fencing number refuses it, one that ignores the number takes it.
describe("an old order", () => {
  const engines = [
    { checksFencing: true, error: "refused", inForce: 7 },
    { checksFencing: false, error: undefined, inForce: 6 },
  ];

  for (const { checksFencing, error, inForce } of engines) {
    it(`is ${error ?? "taken"} where checking is ${checksFencing}`, async () => {
      const engine = await fakes.startFakeEndpoint({
        role: "generator",
        checksFencing,
        orderMs: 0,
      });
      const port = openHttpEndpoints();
      try {
        const { address } = engine;
        await port.sendOrder(address, buildOrder("new", 7), PATIENT_MS);
        const old = buildOrder("old", 6);
        const told = await port.sendOrder(address, old, PATIENT_MS);
        expect(told.isErr() ? told.error.kind : undefined).to.equal(error);
        // Only reading back shows what an engine without the check has done.
        const read = await fetch(`http://${address}/v1/orders`);
        expect(await read.json()).to.include({ fencing: inForce });
      } finally {
        await port.close();
        await engine.close();
      }
    });
  }
});
