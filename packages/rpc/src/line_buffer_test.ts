import { expect } from "chai";
import { LineBuffer } from "./line_buffer.ts";

const MAX_BYTES = 8;

describe("LineBuffer", () => {
  function addTexts(texts: readonly string[]): unknown[] {
    const buffer = new LineBuffer(MAX_BYTES);
    return texts.map((text) => {
      const step = buffer.addBytes(Buffer.from(text, "latin1"));
      return step.kind === "lines" ? step.lines : step.kind;
    });
  }

  it("gives the lines that a part completes", () => {
    expect(addTexts(["a\nb", "c\n\nd\ne", "\n"]))
      .to.deep.equal([["a"], ["bc", "", "d"], ["e"]]);
  });

  it("joins a character whose bytes arrive apart", () => {
    expect(addTexts(["\xc3", "\xa9\n"])).to.deep.equal([[], ["é"]]);
  });

  it("refuses a line as soon as it is too long", () => {
    expect(addTexts(["12345678", "9"])).to.deep.equal([[], "tooLong"]);
    expect(addTexts(["12345678\n", "123456789\n"]))
      .to.deep.equal([["12345678"], "tooLong"]);
  });
});
