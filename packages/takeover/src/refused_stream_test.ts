import { expect } from "chai";
import {
  decideRefused,
  type RefusedRequest,
  RESUME_PAUSE_MS,
} from "./refused_stream.ts";

const REQUEST: RefusedRequest = {
  hasStarted: true,
  isResumable: true,
  attempts: 1,
  maxAttempts: 2,
  hasEndpoint: true,
};

const FINAL: Readonly<Record<string, Partial<RefusedRequest>>> = {
  "that has not begun": { hasStarted: false },
  "that can't be resumed": { isResumable: false },
  "without an attempt left": { attempts: 2 },
  "without an endpoint left": { hasEndpoint: false },
};

describe("decideRefused", () => {
  it("pauses a stream that may go on", () => {
    expect(decideRefused(REQUEST))
      .to.deep.equal({ kind: "pause", pauseMs: RESUME_PAUSE_MS });
  });

  for (const [name, state] of Object.entries(FINAL)) {
    it(`gives up a request ${name}`, () => {
      expect(decideRefused({ ...REQUEST, ...state }))
        .to.deep.equal({ kind: "giveUp" });
    });
  }
});
