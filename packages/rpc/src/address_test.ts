import { expect } from "chai";
import { isAddress } from "./address.ts";

describe("isAddress", () => {
  for (const text of ["10.0.0.1:80", "127.0.0.1:65535", "[::1]:7000"]) {
    it(`accepts ${text}`, () => expect(isAddress(text)).to.equal(true));
  }

  // Connecting to any of them throws, or reaches another address than is written.
  const unusable = [
    "",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:080",
    "10.0.0.1:1e3",
    "10.0.0.1:80/path",
    "10.0.0.1:80\0",
    "010.0.0.1:80",
    "999.1.1.1:80",
    "worker:80",
    "::1:80",
    "[10.0.0.1]:80",
  ];
  for (const text of unusable) {
    it(`rejects ${JSON.stringify(text)}`, () =>
      expect(isAddress(text)).to.equal(false));
  }
});
