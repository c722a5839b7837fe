import { expect } from "chai";
import { GrowingBuffer } from "./growing_buffer.ts";

const TOTAL_BYTES = 1_048_576;
const PART_BYTES = 16;

describe("GrowingBuffer", () => {
  it("keeps the bytes in their order", () => {
    const bytes = new GrowingBuffer();
    for (const text of ["ab", "", "cde"]) bytes.append(Buffer.from(text));
    expect(bytes.getBytes().toString()).to.equal("abcde");
    expect(bytes.getBytes(-2).toString()).to.equal("de");
    expect(bytes.length).to.equal(5);
  });

  it("is empty after its bytes were dropped", () => {
    const bytes = new GrowingBuffer();
    bytes.append(Buffer.from("ab"));
    bytes.drop();
    bytes.append(Buffer.from("c"));
    expect(bytes.getBytes().toString()).to.equal("c");
  });

  // Copying everything for each part blocks the event loop.
  it("moves at most as many bytes as it holds", () => {
    const bytes = new GrowingBuffer();
    for (let i = 0; i < TOTAL_BYTES; i += PART_BYTES) {
      bytes.append(Buffer.alloc(PART_BYTES));
    }
    expect(bytes.movedTotal).to.be.at.most(TOTAL_BYTES);
  });
});
