import { expect } from "chai";
import { MAX_NOTES, NOTE_TTL_MS, NoteTable } from "./mod.ts";

describe("NoteTable", () => {
  it("finds what was recorded, for a bounded time", () => {
    const table = new NoteTable();
    table.record([{ key: "k", version: "v" }], 0);
    expect(table.find("k", NOTE_TTL_MS - 1)).to.equal("v");
    expect(table.find("k", NOTE_TTL_MS)).to.equal(undefined);
    table.record([{ key: "other", version: "v" }], NOTE_TTL_MS);
    expect(table.size).to.equal(1);
  });

  it("keeps a note for longer when it is recorded again", () => {
    const table = new NoteTable();
    table.record([{ key: "k", version: "v" }], 0);
    table.record([{ key: "k", version: "v" }], NOTE_TTL_MS - 1);
    expect(table.find("k", NOTE_TTL_MS + 1)).to.equal("v");
  });

  // A stream that two attempts began under one id has no certain version.
  it("knows no version of an attempt that has two", () => {
    const table = new NoteTable();
    for (const version of ["v", "w", "v"]) {
      table.record([{ key: "k", version }], 0);
    }
    expect(table.find("k", 1)).to.equal(undefined);
    expect(table.getAll(1)).to.deep.equal([]);
  });

  it("keeps the newest notes in bounded memory", () => {
    const table = new NoteTable();
    for (let i = 0; i <= MAX_NOTES; i++) {
      table.record([{ key: `k${i}`, version: "v" }], i / 1_000);
    }
    expect(table.size).to.equal(MAX_NOTES);
    expect(table.find("k0", 17)).to.equal(undefined);
    expect(table.find(`k${MAX_NOTES}`, 17)).to.equal("v");
  });
});
