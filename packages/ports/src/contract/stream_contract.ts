/**
 * The contract of the endpoint port for streamed answers.
 *
 * @module
 */
import { expect } from "chai";
import type { OutputPart, StageAnswer } from "../endpoint.ts";
import type { PortError } from "../error.ts";
import type { Result } from "ts-results-es";
import {
  addCases,
  type ContractCase,
  expectError,
  PATIENT_MS,
} from "./bench.ts";
import type {
  EndpointBench,
  EndpointFault,
  OpenEndpointBench,
} from "./endpoint_contract.ts";

/**
 * Long against a part's interval and a resume, for a stream that goes silent
 * must be told from one that is slow.
 */
const SILENCE_MS = 1_500;

interface Streamed {
  readonly result: Result<StageAnswer, PortError>;
  readonly parts: readonly OutputPart[];
}

/** Faults under which a caller still gets its whole answer. */
const WHOLE_ROWS: readonly { name: string; faults: EndpointFault[] }[] = [
  { name: "no fault", faults: [{ kind: "none" }] },
  { name: "doubled parts", faults: [{ kind: "duplicate_parts" }] },
  { name: "parts out of order", faults: [{ kind: "reorder_parts" }] },
  { name: "parts of another call", faults: [{ kind: "foreign_parts" }] },
  { name: "an end without last part", faults: [{ kind: "end_without_last" }] },
  { name: "a lost last part", faults: [{ kind: "lose_next_answer" }] },
  {
    name: "a break before the first part",
    faults: [{ kind: "cut_stream", after: 0, forGood: false }],
  },
  {
    name: "a break in mid-stream",
    faults: [{ kind: "cut_stream", after: 3, forGood: false }],
  },
  {
    name: "a break amid doubled, foreign parts out of order",
    faults: [
      { kind: "cut_stream", after: 5, forGood: false },
      { kind: "duplicate_parts" },
      { kind: "reorder_parts" },
      { kind: "foreign_parts" },
    ],
  },
];

const CASES: readonly ContractCase<EndpointBench>[] = [
  ...WHOLE_ROWS.map(({ name, faults }) => ({
    name: `gives the whole answer under ${name}`,
    run: (bench: EndpointBench) => checkWhole(bench, faults),
  })),
  { name: "resumes a stream that goes silent", run: checkSilentStream },
  { name: "gives up a stream that breaks for good", run: checkBrokenForGood },
  { name: "gives up a stream whose engine restarted", run: checkRestart },
  { name: "cancels at the engine too", run: checkCancel },
  { name: "hands on an engine's failure as maybe run", run: checkFailure },
  { name: "keeps streams at once apart", run: checkManyStreams },
];

/**
 * Adds the contract's cases to the running mocha suite.
 *
 * @param name The adapter's name.
 * @param openBench Opens the adapter with a generator of more than 12 parts,
 *   whose text depends on the call's input.
 * @example
 * ```ts
 * addStreamContract("endpoint_http", openHttpEndpointBench);
 * ```
 */
export function addStreamContract(
  name: string,
  openBench: OpenEndpointBench,
): void {
  describe(`stream contract: ${name}`, () => {
    addCases(CASES, () => openBench("generator"));
  });
}

async function runStream(
  bench: EndpointBench,
  options: {
    readonly callId?: string;
    readonly progressTimeoutMs?: number;
    readonly signal?: AbortSignal;
    readonly onPart?: (part: OutputPart) => void;
  } = {},
): Promise<Streamed> {
  const parts: OutputPart[] = [];
  const { callId = "c-1", progressTimeoutMs = PATIENT_MS } = options;
  const call = { ...bench.buildCall(callId), progressTimeoutMs };
  const result = await bench.port.call(call, {
    signal: options.signal,
    onPart: (part) => {
      parts.push(part);
      options.onPart?.(part);
    },
  });
  return { result, parts };
}

/** Every part once and in order, and the text made of just these. */
function expectWhole({ result, parts }: Streamed): void {
  const answer = result.unwrap();
  expectInOrder(parts);
  expect(parts.length).to.equal(answer.outputTokens);
  const text = parts.map((part) => part.text).join("");
  expect(answer.output).to.deep.equal({ text });
}

function expectInOrder(parts: readonly OutputPart[]): void {
  const wanted = parts.map((_, index) => index);
  expect(parts.map((part) => part.sequence)).to.deep.equal(wanted);
}

// A reader sees words twice, in the wrong order, of someone else's text, or a
// text that stops in the middle: the stream was taken as it came.
async function checkWhole(
  bench: EndpointBench,
  faults: readonly EndpointFault[],
): Promise<void> {
  for (const fault of faults) await bench.setFault(fault);
  expectWhole(await runStream(bench));
}

// The text stops growing for good although the engine goes on: after the third
// part the connection is forgotten by something in between.
async function checkSilentStream(bench: EndpointBench): Promise<void> {
  const streamed = await runStream(bench, {
    progressTimeoutMs: SILENCE_MS,
    onPart: (part) => {
      if (part.sequence === 2) void bench.setFault({ kind: "silence" });
    },
  });
  expectWhole(streamed);
}

async function checkBrokenForGood(bench: EndpointBench): Promise<void> {
  await bench.setFault({ kind: "cut_stream", after: 1, forGood: true });
  const { result, parts } = await runStream(bench);
  expectError(result, "answer_lost");
  expectInOrder(parts);
}

// The engine comes back as another instance that knows nothing of the call. Its
// "unknown call" must not be taken for "nothing ran".
async function checkRestart(bench: EndpointBench): Promise<void> {
  const { result, parts } = await runStream(bench, {
    onPart: (part) => {
      if (part.sequence === 2) void bench.setFault({ kind: "restart" });
    },
  });
  expectError(result, "answer_lost");
  expectInOrder(parts);
}

async function checkCancel(bench: EndpointBench): Promise<void> {
  const controller = new AbortController();
  const { result } = await runStream(bench, {
    signal: controller.signal,
    onPart: (part) => {
      if (part.sequence === 1) controller.abort();
    },
  });
  expectError(result, "cancelled");
  while (bench.countCancelled() === 0) {
    // Ends with mocha's own time limit if the cancel never comes.
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function checkFailure(bench: EndpointBench): Promise<void> {
  await bench.setFault({ kind: "fail_next" });
  const { result } = await runStream(bench);
  expectError(result, "answer_lost");
}

async function checkManyStreams(bench: EndpointBench): Promise<void> {
  const ids = Array.from({ length: 20 }, (_, index) => `c-${index}`);
  const all = await Promise.all(
    ids.map((callId) => runStream(bench, { callId })),
  );
  for (const streamed of all) expectWhole(streamed);
  const texts = all.map(({ parts }) => parts[0].text);
  expect(new Set(texts).size).to.equal(ids.length);
}
