import { buildPosition } from "@sardinestep/types";
import { expect } from "chai";
import {
  STATE_PART,
  type StateArrival,
  StatePositions,
} from "./state_positions.ts";

const part = STATE_PART.operator;

describe("StatePositions", () => {
  /** Holds operator records up to a position. */
  function hold(position: number): StatePositions {
    const positions = new StatePositions();
    positions.update({ part, kind: "listing", position });
    return positions;
  }

  const cases: readonly [string, StateArrival, boolean][] = [
    ["an older listing", { part, kind: "listing", position: 9 }, true],
    ["an equal listing", { part, kind: "listing", position: 10 }, false],
    [
      "records that begin before the end",
      { part, kind: "records", from: 9, position: 12 },
      true,
    ],
    [
      "records that begin at the end",
      { part, kind: "records", from: 10, position: 12 },
      false,
    ],
    [
      "equal state of another VM",
      { part, kind: "relayed", position: 10 },
      true,
    ],
    [
      "newer state of another VM",
      { part, kind: "relayed", position: 11 },
      false,
    ],
    [
      "a listing of a restored store, whose offsets went back",
      {
        part,
        kind: "listing",
        position: buildPosition({ epoch: 1, offset: 2 }),
      },
      false,
    ],
  ];
  for (const [description, arrival, isOutdated] of cases) {
    it(`${isOutdated ? "rejects" : "accepts"} ${description}`, () => {
      expect(hold(10).isOutdated(arrival)).to.equal(isOutdated);
    });
  }

  // Guards against a part that counts as read with the state of another one.
  it("moves the position of one part alone", () => {
    expect(hold(10).all).to.deep.equal({
      operatorPosition: 10,
      endpointPosition: -1,
      memberPosition: -1,
      quarantinePosition: -1,
    });
  });
});
