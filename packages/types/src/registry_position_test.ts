import { expect } from "chai";
import {
  buildPosition,
  getEpoch,
  getOffset,
  MAX_EPOCH,
  NO_POSITION,
} from "./registry_position.ts";

describe("registry positions", () => {
  it("order by epoch first, also where offsets went back", () => {
    const before = buildPosition({ epoch: 1, offset: 500 });
    const after = buildPosition({ epoch: 2, offset: 3 });
    expect(after).to.be.greaterThan(before);
    expect([getEpoch(after), getOffset(after)]).to.deep.equal([2, 3]);
  });

  it("are plain offsets where the registry has no epoch", () => {
    expect(buildPosition({ epoch: 0, offset: 42 })).to.equal(42);
    expect(getEpoch(NO_POSITION)).to.equal(-1);
    expect(getOffset(NO_POSITION)).to.equal(-1);
  });

  it("are exact up to the highest epoch", () => {
    const parts = { epoch: MAX_EPOCH, offset: 2 ** 36 - 1 };
    const position = buildPosition(parts);
    expect(Number.isSafeInteger(position)).to.equal(true);
    expect({ epoch: getEpoch(position), offset: getOffset(position) })
      .to.deep.equal(parts);
  });
});
