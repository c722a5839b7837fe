import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  type AnswerState,
  decideAnswer,
  MIN_ANSWER_BYTES,
} from "./decide_answer.ts";

const MEBIBYTE = 1_048_576;
const LIMIT_BYTES = 48 * MEBIBYTE;
const CHUNK_BYTES = 65_536;

function buildState(overrides: Partial<AnswerState> = {}): AnswerState {
  return {
    limitBytes: LIMIT_BYTES,
    heldBytes: 0,
    answerBytes: 0,
    ...overrides,
  };
}

describe("decideAnswer", () => {
  it("decides by what is free", function () {
    const own = 8 * MEBIBYTE;
    const states: Record<string, AnswerState> = {
      alone: buildState({ answerBytes: own, heldBytes: own }),
      "as much as is free": buildState({
        answerBytes: own,
        heldBytes: LIMIT_BYTES - own,
      }),
      "one byte more": buildState({
        answerBytes: own,
        heldBytes: LIMIT_BYTES - own + 1,
      }),
      "small, nothing free": buildState({
        answerBytes: MIN_ANSWER_BYTES,
        heldBytes: LIMIT_BYTES,
      }),
      "large, nothing free": buildState({
        answerBytes: MIN_ANSWER_BYTES + 1,
        heldBytes: LIMIT_BYTES + MEBIBYTE,
      }),
    };
    expectSnapshot(
      this,
      Object.fromEntries(
        Object.entries(states).map(([name, s]) => [name, decideAnswer(s)]),
      ),
    );
  });

  // Answers without an end would fill the memory of the process together.
  it("keeps n answers without an end within the budget", () => {
    for (const count of [1, 5, 60, 500]) {
      const held = new Array<number>(count).fill(0);
      const ended = new Set<number>();
      for (let round = 0; round < 1_000; round++) {
        for (let i = 0; i < count; i++) {
          if (ended.has(i)) continue;
          held[i]! += CHUNK_BYTES;
          const heldBytes = held.reduce((sum, bytes) => sum + bytes, 0);
          expect(heldBytes).to.be.at.most(LIMIT_BYTES + CHUNK_BYTES);
          const state = buildState({ heldBytes, answerBytes: held[i]! });
          if (decideAnswer(state).kind === "read") continue;
          held[i] = 0;
          ended.add(i);
        }
      }
      expect(ended.size).to.equal(count);
    }
  });
});
