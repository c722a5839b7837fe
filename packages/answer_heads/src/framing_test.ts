import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import { buildHeaderMap, checkFraming, findFraming } from "./framing.ts";
import { formatFault } from "./head_fault.ts";

const REQUEST = { method: "POST", headers: [] };

function describeFraming(
  status: number,
  headers: Readonly<Record<string, string>>,
  isHttp10 = false,
): string {
  const head = { status, headers: new Map(Object.entries(headers)), isHttp10 };
  const fault = checkFraming(head, REQUEST);
  return fault === undefined ? "none" : formatFault(fault);
}

describe("checkFraming", () => {
  it("says what is wrong with a length or a coding", function () {
    const chunked = { "transfer-encoding": "chunked" };
    expectSnapshot(this, {
      neither: describeFraming(200, {}),
      length: describeFraming(200, { "content-length": "5" }),
      lengthWithBlanks: describeFraming(200, { "content-length": " 5 " }),
      list: describeFraming(200, { "content-length": "5, 5" }),
      sign: describeFraming(200, { "content-length": "+5" }),
      hex: describeFraming(200, { "content-length": "0x5" }),
      empty: describeFraming(200, { "content-length": "" }),
      chunked: describeFraming(200, { "transfer-encoding": " Chunked " }),
      unknown: describeFraming(200, { "transfer-encoding": "xchunked" }),
      twice: describeFraming(200, { "transfer-encoding": "chunked, chunked" }),
      both: describeFraming(200, { ...chunked, "content-length": "5" }),
      chunkedInHttp10: describeFraming(200, chunked, true),
      noContent: describeFraming(204, { "content-length": "0" }),
      noContentWithLength: describeFraming(204, { "content-length": "5" }),
      noContentWithChunks: describeFraming(204, chunked),
    });
  });

  it("takes a status only from requests that asked for it", () => {
    const requests = [
      REQUEST,
      { method: "GET", headers: ["If-None-Match", "e"] },
      { method: "POST", headers: ["if-none-match", "e"] },
      { method: "GET", headers: ["x-a", "if-none-match"] },
      { method: "HEAD", headers: ["if-modified-since", "d"] },
      { method: "GET", headers: ["Range", "bytes=0-1"] },
    ];
    const isTaken = (status: number) =>
      requests.map((request) =>
        checkFraming({ status, headers: new Map() }, request) === undefined
      );
    expect(isTaken(304))
      .to.deep.equal([false, true, false, false, true, false]);
    expect(isTaken(206))
      .to.deep.equal([false, false, false, false, false, true]);
  });
});

describe("findFraming", () => {
  it("finds what shows the end of a body", () => {
    const find = (status: number, name = "x-a", method = "GET") =>
      findFraming({ status, headers: new Map([[name, "1"]]) }, method);
    expect(find(200)).to.equal("connection");
    expect(find(200, "content-length")).to.equal("length");
    expect(find(200, "transfer-encoding")).to.equal("chunks");
    expect(find(204)).to.equal("none");
    expect(find(304)).to.equal("none");
    expect(find(200, "transfer-encoding", "HEAD")).to.equal("none");
  });
});

describe("buildHeaderMap", () => {
  it("joins the values of repeated headers", () => {
    const raw = ["X-A", "1", "x-a", "2"].map((text) => Buffer.from(text));
    expect([...buildHeaderMap(raw)]).to.deep.equal([["x-a", "1, 2"]]);
  });
});
