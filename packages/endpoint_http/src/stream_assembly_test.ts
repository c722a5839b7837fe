import { expect } from "chai";
import fc from "fast-check";
import { createCounters } from "./counters.ts";
import { StreamAssembly } from "./stream_assembly.ts";

const CALL_ID = "c-1";
const SEED = 20;
const RUNS = 500;
const PART_COUNT = 8;

interface Event {
  readonly name: string;
  readonly data: string;
}

function buildPart(sequence: number, callId = CALL_ID): Event {
  const data = JSON.stringify({ callId, sequence, text: `${sequence},` });
  return { name: "part", data };
}

const LAST: Event = {
  name: "last",
  data: JSON.stringify({
    callId: CALL_ID,
    parts: PART_COUNT,
    instance: "i-1",
    outputTokens: PART_COUNT,
    workerMs: 1,
  }),
};

const NOISE: readonly Event[] = [
  buildPart(1, "foreign"),
  buildPart(-1),
  buildPart(0.5),
  { name: "part", data: "{" },
  { name: "part", data: "null" },
  { name: "last", data: "{}" },
];

const ORDERED = Array.from({ length: PART_COUNT }, (_, index) => index);

describe("stream assembly", () => {
  // A reader sees a sentence with words of another call, or words twice: parts
  // were taken as they came. Here they come in any order, doubled and amid
  // foreign and malformed ones, the last part anywhere.
  it("gives each part once and in order, whatever comes", () => {
    const everything = [...ORDERED.map((one) => buildPart(one)), LAST];
    const extras = fc.array(fc.constantFrom(...everything, ...NOISE), {
      maxLength: 12,
    });
    const events = extras.chain((more) =>
      fc.shuffledSubarray([...everything, ...more], {
        minLength: everything.length + more.length,
      })
    );
    fc.assert(fc.property(events, expectWhole), { seed: SEED, numRuns: RUNS });
  });

  it("is not whole while a part is missing", () => {
    const parts = ORDERED.map((one) => buildPart(one));
    const missing = fc.integer({ min: 0, max: PART_COUNT });
    const all = [...parts, LAST];
    fc.assert(
      fc.property(missing, (index) => {
        const rest = all.filter((_, position) => position !== index);
        expect(runAll(rest).assembly.answer).to.equal(undefined);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

function runAll(events: readonly Event[]) {
  const given: number[] = [];
  let wholeCount = 0;
  const assembly = new StreamAssembly({
    callId: CALL_ID,
    counters: createCounters(),
    onPart: (part) => given.push(part.sequence),
    onWhole: () => wholeCount += 1,
  });
  for (const event of events) assembly.handleEvent(event.name, event.data);
  return { assembly, given, wholeCount };
}

function expectWhole(events: readonly Event[]): void {
  const { assembly, given, wholeCount } = runAll(events);
  expect(given).to.deep.equal(ORDERED);
  expect(assembly.answer?.output).to.deep.equal({ text: "0,1,2,3,4,5,6,7," });
  expect(wholeCount).to.equal(1);
}
