import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import * as fc from "fast-check";
import { validateHeaderName, validateHeaderValue } from "node:http";
import { checkFields, checkStatus, HeadChecker } from "./head_checker.ts";
import { formatFault, type HeadFault } from "./head_fault.ts";

const START = "HTTP/1.1 200 OK\r\n";

function checkText(...parts: string[]): HeadFault | undefined {
  const checker = new HeadChecker();
  checker.start();
  for (const part of parts) {
    const fault = checker.check(Buffer.from(part, "latin1"));
    if (fault !== undefined) return fault;
  }
  return undefined;
}

function describeFault(fault: HeadFault | undefined): string {
  return fault === undefined ? "none" : formatFault(fault);
}

describe("HeadChecker", () => {
  it("says what is wrong with a head", function () {
    const heads = [
      `${START}x-a: 1\r\n\r\nbody\0`,
      "HTTP/1.0 204\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nx-a: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\0",
      "HTTP/1.1 103 Early Hints\r\n\r\nx-a: 1\r\n",
      "HTTP/2.0 200 OK\r\n",
      "HTTP/1.2 200 OK\r\n",
      "HTTP/1.1  200 OK\r\n",
      "http/1.1 200 OK\r\n",
      "\r\nHTTP/1.1 200 OK\r\n",
      "HTTP/1.1 000 OK\r\n",
      "HTTP/1.1 099 OK\r\n",
      "HTTP/1.1 0200 OK\r\n",
      "HTTP/1.1 2000 OK\r\n",
      "HTTP/1.1 20\r\n",
      "HTTP/1.1 600 OK\r\n",
      "HTTP/1.1 101 Switching\r\n",
      "HTTP/1.1 200 O\x01K\r\n",
      "HTTP/1.1 200 OK\n",
      `${START}x bad: 1\r\n`,
      `${START}x-bad : 1\r\n`,
      `${START}: 1\r\n`,
      `${START}x-bad\r\n`,
      `${START}x-a: 1\r\n 2\r\n`,
      `${START}x-a: 1\x7f\r\n`,
      `${START}x-a: 1\r2\r\n`,
      `${START}x-a: 1\n`,
      `${START}\rx`,
    ];
    const faults = heads.map((
      head,
    ) => [JSON.stringify(head), describeFault(checkText(head))]);
    expectSnapshot(this, Object.fromEntries(faults));
  });

  it("checks nothing before an answer starts", () => {
    const checker = new HeadChecker();
    expect(checker.check(Buffer.from("garbled"))).to.equal(undefined);
  });

  it("checks each answer of a connection", () => {
    const checker = new HeadChecker();
    for (const text of [`${START}\r\nbody`, "HTTP/1.0 200 OK\r\n\r\n"]) {
      checker.start();
      expect(checker.check(Buffer.from(text))).to.equal(undefined);
    }
    expect(checker.isHttp10).to.equal(true);
    checker.start();
    expect(checker.check(Buffer.from("x"))).not.to.equal(undefined);
  });

  /** Lines of a head in which any byte may stand. */
  const text = fc.array(
    fc.oneof(
      fc.constantFrom(
        "\r\n",
        ": ",
        " ",
        "\t",
        "x-a",
        "1",
        "\0",
        "\x7f",
        "\xff",
      ),
      fc.integer({ min: 0, max: 255 }).map((byte) => String.fromCharCode(byte)),
    ),
    { maxLength: 12 },
  ).map((parts) => parts.join(""));

  it("finds the same however the bytes are split", () => {
    fc.assert(
      fc.property(text, fc.nat(40), (lines, at) => {
        const head = `${START}${lines}\r\n\r\n`;
        const whole = checkText(head);
        expect(checkText(head.slice(0, at), head.slice(at)))
          .to.deep.equal(whole);
        expect(checkText(...head)).to.deep.equal(whole);
      }),
      { seed: 90, numRuns: 500 },
    );
  });

  // Node.js threw while it wrote the head of an answer to a caller.
  it("lets nothing pass that can't be sent to a caller", () => {
    fc.assert(
      fc.property(text, (lines) => {
        const head = `x-first: 1\r\n${lines}`;
        if (checkText(`${START}${head}\r\n\r\n`) !== undefined) return;
        for (const line of head.split("\r\n")) {
          if (line === "") return;
          const colon = line.indexOf(":");
          validateHeaderName(line.slice(0, colon));
          validateHeaderValue("x-a", line.slice(colon + 1));
        }
      }),
      { seed: 90, numRuns: 2_000 },
    );
  });
});

describe("checkFields", () => {
  it("says what is wrong with parsed headers", function () {
    const fields = [["x-a", "1"], ["x a", "1"], ["", "1"], ["x-a", "1\x01"]];
    const faults = fields.map((field) =>
      describeFault(checkFields(field.map((part) => Buffer.from(part))))
    );
    expectSnapshot(this, faults);
  });
});

describe("checkStatus", () => {
  it("takes three digits from 100 to 599, without a switch of protocols", () => {
    const statuses = [0, 1, 99, 100, 101, 200, 599, 600, 999];
    expect(
      statuses.filter((status) => checkStatus(status) === undefined),
    ).to.deep.equal([100, 200, 599]);
  });
});
