import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import {
  type AnswerState,
  decideAnswer,
  MIN_ANSWER_BYTES,
  OVERDRAFT_SHARE,
} from "./decide_answer.ts";

const MEBIBYTE = 1_048_576;
const LIMIT_BYTES = 48 * MEBIBYTE;
const CHUNK_BYTES = 65_536;
/** Answers of one chunk each that fit into the limit. */
const MAX_LARGE_ANSWERS = LIMIT_BYTES / CHUNK_BYTES;

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
      "small, overdraft used up": buildState({
        answerBytes: MIN_ANSWER_BYTES,
        heldBytes: LIMIT_BYTES * (1 + OVERDRAFT_SHARE) + 1,
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
  for (const count of [1, 5, 60, 500, 2_000]) {
    it(`keeps ${count} answers without an end within the budget`, () => {
      const maxOverdraft = count > MAX_LARGE_ANSWERS
        ? LIMIT_BYTES * OVERDRAFT_SHARE
        : 0;
      const held = new Array<number>(count).fill(0);
      const ended = new Set<number>();
      let total = 0;
      for (let round = 0; round < 1_000; round++) {
        for (let i = 0; i < count; i++) {
          if (ended.has(i)) continue;
          held[i]! += CHUNK_BYTES;
          total += CHUNK_BYTES;
          const heldBytes = total;
          expect(heldBytes)
            .to.be.at.most(LIMIT_BYTES + maxOverdraft + CHUNK_BYTES);
          const state = buildState({ heldBytes, answerBytes: held[i]! });
          if (decideAnswer(state).kind === "read") continue;
          total -= held[i]!;
          held[i] = 0;
          ended.add(i);
        }
      }
      expect(ended.size).to.equal(count);
    });
  }
});
