import * as logger from "@sardinestep/logger";
import type * as rollout from "@sardinestep/rollout";
import { buildPosition } from "@sardinestep/types";
import { expect } from "chai";
import { RolloutOrders } from "./rollout_orders.ts";

function buildOrder(
  target: string,
  epoch: number,
  offset: number,
): rollout.RolloutOrder {
  const position = buildPosition({ epoch, offset });
  return { service: "engine", target, durationMs: 15_000, position };
}

describe("RolloutOrders after a restore of the registry", () => {
  let orders: RolloutOrders;
  const apply = (order: rollout.RolloutOrder) =>
    orders.apply(order, "registry");
  const getTarget = () => orders.getAll()[0]?.target;
  const first = buildOrder("v2", 1, 5);
  const second = buildOrder("v3", 1, 9);

  beforeEach(() => {
    orders = new RolloutOrders(
      new logger.EventLog({
        process: "test",
        vmId: "vm-1",
        output: { writableLength: 0, write: () => true },
      }),
    );
    apply(first);
  });

  it("continue at the new position of the same record", () => {
    const restored = buildOrder("v2", 2, 5);
    apply(restored);
    expect(orders.isContinuation(restored, first)).to.equal(true);
    const restoredAgain = buildOrder("v2", 3, 5);
    apply(restoredAgain);
    expect(orders.isContinuation(restoredAgain, first)).to.equal(true);
  });

  it("continue where the operator writes them again", () => {
    const rewritten = buildOrder("v2", 2, 3);
    apply(rewritten);
    expect(orders.isContinuation(rewritten, first)).to.equal(true);
  });

  // The copy is older than the second order.
  it("are not replaced by an earlier order that is listed again", () => {
    apply(second);
    apply(buildOrder("v2", 2, 5));
    expect(getTarget()).to.equal("v3");
    const rewritten = buildOrder("v3", 2, 6);
    apply(rewritten);
    expect(orders.isContinuation(rewritten, second)).to.equal(true);
  });

  it("are new if the operator gives the same order later", () => {
    const restored = buildOrder("v2", 2, 5);
    apply(restored);
    const again = buildOrder("v2", 2, 12);
    apply(again);
    expect(orders.isContinuation(again, first)).to.equal(false);
    expect(orders.getAll()).to.deep.equal([again]);
  });

  it("end if the registry never lists them again", () => {
    orders.dropBefore(1);
    expect(getTarget()).to.equal("v2");
    orders.dropBefore(2);
    expect(getTarget()).to.equal(undefined);
  });
});
