import { expect } from "chai";
import {
  isFramingExcessive,
  MAX_FRAMING_BYTES,
  MAX_HEAD_BYTES,
} from "./answer_framing.ts";

describe("isFramingExcessive", () => {
  const cases: readonly [string, number, number, boolean][] = [
    ["a head of the largest size", 0, MAX_HEAD_BYTES, false],
    ["heads up to the limit", 0, MAX_FRAMING_BYTES, false],
    ["heads beyond the limit", 0, MAX_FRAMING_BYTES + 1, true],
    ["chunks of 1 byte", 1_000_000, 5_000_000, false],
    ["chunks of 1 byte with extensions", 1_000_000, 20_000_000, true],
  ];
  for (const [name, bodyBytes, framingBytes, isExcessive] of cases) {
    it(`is ${isExcessive} for ${name}`, () => {
      expect(isFramingExcessive({ bodyBytes, framingBytes }))
        .to.equal(isExcessive);
    });
  }
});
