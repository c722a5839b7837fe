import { expect } from "chai";
import { GrowingBuffer } from "./growing_buffer.ts";

const TOTAL_BYTES = 1_048_576;
const PART_BYTES = 16;

describe("GrowingBuffer", () => {
  it("keeps the bytes in their order", () => {
    const bytes = new GrowingBuffer();
    for (const text of ["ab", "", "cde"]) bytes.append(Buffer.from(text));
    expect(bytes.getBytes().toString()).to.equal("abcde");
    expect(bytes.getLast(2).toString()).to.equal("de");
    expect(bytes.getLast(9).toString()).to.equal("abcde");
    expect(bytes.length).to.equal(5);
  });

  it("is empty after its bytes were dropped", () => {
    const bytes = new GrowingBuffer();
    bytes.append(Buffer.from("ab"));
    bytes.drop();
    bytes.append(Buffer.from("c"));
    expect(bytes.getBytes().toString()).to.equal("c");
  });

  it("gives the same bytes for parts of all sizes", () => {
    const bytes = new GrowingBuffer();
    const parts = [1_023, 2, 5_000, 0, 200_000, 1, 65_536, 3].map((size, i) =>
      Buffer.alloc(size, i)
    );
    for (let i = 0; i < parts.length; i++) {
      bytes.append(parts[i]!);
      const expected = Buffer.concat(parts.slice(0, i + 1));
      expect(bytes.getBytes().equals(expected)).to.equal(true);
      expect(bytes.getLast(2).equals(expected.subarray(-2))).to.equal(true);
    }
  });

  // Many answers at once would take more memory than is counted.
  it("takes at most 64 KiB more than its bytes", () => {
    const bytes = new GrowingBuffer();
    for (let i = 0; i < TOTAL_BYTES; i += PART_BYTES) {
      bytes.append(Buffer.alloc(PART_BYTES));
      expect(bytes.capacity).to.be.at.most(bytes.length + 65_536);
      expect(bytes.capacity).to.be.at.most(Math.max(1_024, 2 * bytes.length));
    }
  });
});
