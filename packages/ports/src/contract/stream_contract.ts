/**
 * Contract of the endpoint port for streamed answers.
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
  LONG_TIMEOUT_MS,
} from "./fixture.ts";
import type {
  EndpointFault,
  EndpointFixture,
  OpenEndpointFixture,
} from "./endpoint_contract.ts";

/**
 * Long compared with the interval between parts and with a resume, so that a slow
 * stream is not taken for a silent one.
 */
const SILENCE_MS = 1_500;

interface StreamedCall {
  readonly result: Result<StageAnswer, PortError>;
  readonly parts: readonly OutputPart[];
}

/** Faults under which a caller still gets the complete answer. */
const COMPLETE_ROWS: readonly { name: string; faults: EndpointFault[] }[] = [
  { name: "no fault", faults: [{ kind: "none" }] },
  { name: "duplicate parts", faults: [{ kind: "duplicate_parts" }] },
  { name: "parts out of order", faults: [{ kind: "reorder_parts" }] },
  { name: "parts of another call", faults: [{ kind: "foreign_parts" }] },
  {
    name: "an end without the last part",
    faults: [{ kind: "end_without_last" }],
  },
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
    name: "a break among duplicate, reordered and foreign parts",
    faults: [
      { kind: "cut_stream", after: 5, forGood: false },
      { kind: "duplicate_parts" },
      { kind: "reorder_parts" },
      { kind: "foreign_parts" },
    ],
  },
];

const CASES: readonly ContractCase<EndpointFixture>[] = [
  ...COMPLETE_ROWS.map(({ name, faults }) => ({
    name: `returns the complete answer under ${name}`,
    run: (fixture: EndpointFixture) => checkComplete(fixture, faults),
  })),
  { name: "resumes a stream that goes silent", run: checkSilentStream },
  {
    name: "fails a stream that breaks on every resume",
    run: checkBrokenForGood,
  },
  { name: "fails a stream whose engine restarted", run: checkRestart },
  { name: "also cancels the call at the engine", run: checkCancel },
  { name: "reports an engine's failure as possibly run", run: checkFailure },
  { name: "keeps concurrent streams separate", run: checkManyStreams },
];

/**
 * Registers the cases of the contract with mocha.
 *
 * @param name The adapter's name.
 * @param openFixture Opens the adapter with a generator of more than 12 parts,
 *   whose text depends on the call's input.
 * @example
 * ```ts
 * addStreamContract("endpoint_http", openHttpEndpointFixture);
 * ```
 */
export function addStreamContract(
  name: string,
  openFixture: OpenEndpointFixture,
): void {
  describe(`stream contract: ${name}`, () => {
    addCases(CASES, () => openFixture("generator"));
  });
}

async function runStream(
  fixture: EndpointFixture,
  options: {
    readonly callId?: string;
    readonly progressTimeoutMs?: number;
    readonly signal?: AbortSignal;
    readonly onPart?: (part: OutputPart) => void;
  } = {},
): Promise<StreamedCall> {
  const parts: OutputPart[] = [];
  const { callId = "c-1", progressTimeoutMs = LONG_TIMEOUT_MS } = options;
  const call = { ...fixture.buildCall(callId), progressTimeoutMs };
  const result = await fixture.port.call(call, {
    signal: options.signal,
    onPart: (part) => {
      parts.push(part);
      options.onPart?.(part);
    },
  });
  return { result, parts };
}

/** Expects every part once and in order, and a text that consists of just them. */
function expectComplete({ result, parts }: StreamedCall): void {
  const answer = result.unwrap();
  expectInOrder(parts);
  expect(parts.length).to.equal(answer.outputTokens);
  const text = parts.map((part) => part.text).join("");
  expect(answer.output).to.deep.equal({ text });
}

function expectInOrder(parts: readonly OutputPart[]): void {
  const expected = parts.map((_, index) => index);
  expect(parts.map((part) => part.sequence)).to.deep.equal(expected);
}

// Guards against output that is repeated, reordered, truncated or mixed with the
// text of another call, which results from using a stream as received.
async function checkComplete(
  fixture: EndpointFixture,
  faults: readonly EndpointFault[],
): Promise<void> {
  for (const fault of faults) await fixture.setFault(fault);
  expectComplete(await runStream(fixture));
}

// The connection goes silent after the third part while the engine continues: a
// device on the path has lost its state. The text would never be completed.
async function checkSilentStream(fixture: EndpointFixture): Promise<void> {
  const streamed = await runStream(fixture, {
    progressTimeoutMs: SILENCE_MS,
    onPart: (part) => {
      if (part.sequence === 2) void fixture.setFault({ kind: "silence" });
    },
  });
  expectComplete(streamed);
}

async function checkBrokenForGood(fixture: EndpointFixture): Promise<void> {
  await fixture.setFault({ kind: "cut_stream", after: 1, forGood: true });
  const { result, parts } = await runStream(fixture);
  expectError(result, "answer_lost");
  expectInOrder(parts);
}

// The restarted engine is a new instance without the call. Its response "unknown
// call" must not be taken for "nothing ran".
async function checkRestart(fixture: EndpointFixture): Promise<void> {
  const { result, parts } = await runStream(fixture, {
    onPart: (part) => {
      if (part.sequence === 2) void fixture.setFault({ kind: "restart" });
    },
  });
  expectError(result, "answer_lost");
  expectInOrder(parts);
}

async function checkCancel(fixture: EndpointFixture): Promise<void> {
  const controller = new AbortController();
  const { result } = await runStream(fixture, {
    signal: controller.signal,
    onPart: (part) => {
      if (part.sequence === 1) controller.abort();
    },
  });
  expectError(result, "cancelled");
  while (fixture.countCancelled() === 0) {
    // Ends by mocha's timeout if the cancel never arrives.
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function checkFailure(fixture: EndpointFixture): Promise<void> {
  await fixture.setFault({ kind: "fail_next" });
  const { result } = await runStream(fixture);
  expectError(result, "answer_lost");
}

async function checkManyStreams(fixture: EndpointFixture): Promise<void> {
  const ids = Array.from({ length: 20 }, (_, index) => `c-${index}`);
  const streamedCalls = await Promise.all(
    ids.map((callId) => runStream(fixture, { callId })),
  );
  for (const streamed of streamedCalls) expectComplete(streamed);
  const texts = streamedCalls.map(({ parts }) => parts[0].text);
  expect(new Set(texts).size).to.equal(ids.length);
}
