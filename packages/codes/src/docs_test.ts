import { expect } from "chai";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { CODES } from "./table.ts";

const PAGE = join(import.meta.dirname, "../../../docs/RESULT-CODES.md");
const FIRST_CELL_OF_CODE = /^\d+$/;

/** Rows of the page's table whose first cell is a number. */
function readRows(): string[][] {
  return readFileSync(PAGE, "utf8")
    .split("\n")
    .filter((line) => line.startsWith("|"))
    .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()))
    .filter((cells) => FIRST_CELL_OF_CODE.test(cells[0]));
}

describe("docs/RESULT-CODES.md", () => {
  it("shows exactly the codes of the code, in the same order", () => {
    const expected = Object.entries(CODES).map(([name, row]) => [
      String(row.code),
      name,
      String(row.httpStatus),
      row.outcome,
      row.retryAfter ? "yes" : "no",
      row.meaning,
    ]);
    expect(readRows()).to.deep.equal(expected);
  });

  it("keeps every code inside the range of its kind", () => {
    const codes = Object.values(CODES).map((row) => row.code);
    expect(codes).to.satisfy((all: number[]) =>
      all.every((code) => code === 0 || (code >= 1000 && code < 7000))
    );
    expect(codes).to.deep.equal([...codes].sort((a, b) => a - b));
  });
});
