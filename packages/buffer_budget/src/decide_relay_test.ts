import { expectSnapshot } from "@sardinestep/testing";
import { expect } from "chai";
import { decideRelay, getUnreadRoom, type RelayState } from "./decide_relay.ts";

const MEBIBYTE = 1_048_576;
const LIMIT_BYTES = 48 * MEBIBYTE;

function buildState(overrides: Partial<RelayState> = {}): RelayState {
  return {
    limitBytes: LIMIT_BYTES,
    heldBytes: 0,
    unreadBytes: 0,
    connectionBytes: 0,
    allowanceBytes: 0,
    ...overrides,
  };
}

describe("decideRelay", () => {
  // A changed threshold would change which callers are paused or ended.
  it("decides by share, allowance and pause", function () {
    const own = 12 * MEBIBYTE + 1;
    const full = { unreadBytes: 24 * MEBIBYTE, heldBytes: 24 * MEBIBYTE };
    const states: Record<string, RelayState> = {
      idle: buildState(),
      "at its share": buildState({
        connectionBytes: own - 1,
        unreadBytes: own - 1,
        heldBytes: own - 1,
      }),
      "above its share": buildState({
        connectionBytes: own,
        unreadBytes: own,
        heldBytes: own,
      }),
      "above its share, within the allowance": buildState({
        connectionBytes: own,
        unreadBytes: own,
        heldBytes: own,
        allowanceBytes: own + 1,
      }),
      "paused shortly": buildState({
        connectionBytes: own,
        unreadBytes: own,
        heldBytes: own,
        pausedMs: 400,
      }),
      "paused for long": buildState({
        connectionBytes: own,
        unreadBytes: own,
        heldBytes: own,
        pausedMs: 1_000,
      }),
      "paused for long, unread share full": buildState({
        ...full,
        connectionBytes: 8 * MEBIBYTE,
        pausedMs: 1_000,
      }),
      "small, unread share full": buildState({
        ...full,
        connectionBytes: 16_384,
      }),
      "bodies fill the budget": buildState({
        heldBytes: LIMIT_BYTES,
        unreadBytes: 20_000,
        connectionBytes: 20_000,
        allowanceBytes: 30_000,
        pausedMs: 2_000,
      }),
    };
    expectSnapshot(
      this,
      Object.fromEntries(
        Object.entries(states).map(([name, s]) => [name, decideRelay(s)]),
      ),
    );
  });

  // Callers that don't read must never take the part that bodies need.
  it("keeps n callers that never read below half of the budget", () => {
    const PIECE_BYTES = 65_536;
    for (const count of [1, 2, 5, 40]) {
      const held = new Array<number>(count).fill(0);
      for (let round = 0; round < 1_000; round++) {
        for (let i = 0; i < count; i++) {
          const unreadBytes = held.reduce((sum, n) => sum + n, 0);
          const state = buildState({
            heldBytes: unreadBytes,
            unreadBytes,
            connectionBytes: held[i]!,
          });
          if (decideRelay(state).kind === "read") held[i]! += PIECE_BYTES;
        }
      }
      const unreadBytes = held.reduce((sum, n) => sum + n, 0);
      expect(unreadBytes).to.be.at.most(
        LIMIT_BYTES / 2 + count * PIECE_BYTES,
      );
      const room = getUnreadRoom(
        buildState({ heldBytes: unreadBytes, unreadBytes }),
      );
      expect(room).to.be.at.least(
        LIMIT_BYTES / 2 / (count + 1) - count * PIECE_BYTES,
      );
    }
  });
});
