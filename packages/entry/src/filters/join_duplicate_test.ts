import { expect } from "chai";
import { createRefusal, type RequestAnswer } from "../answer.ts";
import { Claimant } from "../claimant.ts";
import type { RequestContext } from "../context.ts";
import { KeyRegistry } from "../key_registry.ts";
import {
  buildContext,
  COMPLETION,
  createNext,
  CUSTOMER,
  DRAFT,
  getAnswerSummary,
  HOLDER,
  NOW,
} from "../_test_fixtures.ts";
import { createJoinDuplicate } from "./join_duplicate.ts";

function createFilter() {
  const registry = new KeyRegistry({ keepMs: 60_000, maxKeys: 10 });
  return createJoinDuplicate(registry, () => NOW);
}

/** Returns a function that sends the same request on each call. */
function createSender(parts: Partial<RequestContext>) {
  const join = createFilter();
  const { keyId } = buildContext();
  return async (run: () => Promise<RequestAnswer>, more = {}) =>
    getAnswerSummary(
      await join(buildContext({ keyId, ...parts, ...more }), run),
    );
}

function createClaimant(): Claimant {
  const keyId = { customer: CUSTOMER, key: "k" };
  const facts = { id: HOLDER, keyId, fingerprint: "f", deadlineAt: NOW + 1 };
  const claimant = new Claimant({
    facts,
    recordLater: () => {},
    onStateChange: () => {},
  });
  claimant.applyVerdict({ kind: "won" });
  return claimant;
}

const DRAFT_PARTS = { pipeline: DRAFT, isAtMostOnce: false };
const UNKNOWN = createRefusal("DEADLINE_EXCEEDED", "Late");
const CANCELLED = createRefusal("PORT_CANCELLED", "The caller disconnected");

describe("joinDuplicate", () => {
  it("answers a retry with the answer of the first attempt", async () => {
    const send = createSender({});
    const retry = createNext();
    await send(() => Promise.resolve(COMPLETION));
    const summary = await send(retry.next as () => Promise<RequestAnswer>);
    expect(summary).to.include({ name: "OK", replayed: true });
    expect(retry.count()).to.equal(0);
  });

  it("refuses another body under the same key", async () => {
    const send = createSender({});
    await send(() => Promise.resolve(COMPLETION));
    const summary = await send(() => expect.fail(), { fingerprint: "f-2" });
    expect(summary).to.include({ name: "KEY_REUSED", attempt: "not run" });
  });

  it("answers HELD_ELSEWHERE if the first attempt outlasts the deadline of the retry", async () => {
    const send = createSender({});
    void send(() => new Promise(() => {}));
    const summary = await send(() => expect.fail(), { deadlineAt: NOW });
    expect(summary).to.include({ name: "HELD_ELSEWHERE", outcome: "unknown" });
  });

  it("never runs an at-most-once call a second time", async () => {
    const send = createSender({});
    await send(() => Promise.resolve(UNKNOWN));
    const summary = await send(() => expect.fail());
    expect(summary).to.include({ name: "OUTCOME_UNKNOWN", attempt: "not run" });
  });

  // Guards against retries that get "unknown" for two minutes for a call that was
  // never sent: the request was shed after its first stage, so its refusal could
  // not say "not run", and the entry applied that to the at-most-once call.
  it("runs a retry if the at-most-once call is proved not to have been sent", async () => {
    const shed = createRefusal("SHED_AFTER_START", "Shed");
    const claimant = createClaimant();
    claimant.giveUp("cancelled");
    const send = createSender({ claimant });
    await send(() => Promise.resolve(shed));
    const summary = await send(() => Promise.resolve(COMPLETION));
    expect(summary.name).to.equal("OK");
  });

  it("refuses a retry if the at-most-once call was sent and broke", async () => {
    const claimant = createClaimant();
    claimant.beginDispatch(NOW);
    const send = createSender({ claimant });
    await send(() => Promise.resolve(UNKNOWN));
    claimant.fail("broken");
    const summary = await send(() => expect.fail());
    expect(summary.name).to.equal("OUTCOME_UNKNOWN");
  });

  // Guards against the final answer "unknown" for a call that outlasts the deadline of
  // the first attempt and is still running.
  for (const isJoinedBefore of [true, false]) {
    const when = isJoinedBefore ? "before" : "after";
    it(`gives a retry that is sent ${when} the first deadline the late result`, async () => {
      const claimant = createClaimant();
      claimant.beginDispatch(NOW);
      const send = createSender({ claimant });
      let passDeadline = () => {};
      const first = send(() =>
        new Promise((resolve) => {
          passDeadline = () => resolve(UNKNOWN);
        })
      );
      const sendRetry = () => send(() => expect.fail());
      const early = isJoinedBefore ? sendRetry() : undefined;
      passDeadline();
      claimant.giveUp("deadline");
      expect((await first).name).to.equal("DEADLINE_EXCEEDED");
      const retry = early ?? sendRetry();
      claimant.finish({ ticket: 1 });
      expect(await retry).to.include({ name: "OK", replayed: true });
    });
  }

  it("answers HELD_ELSEWHERE while the call of a late attempt runs", async () => {
    const claimant = createClaimant();
    claimant.beginDispatch(NOW);
    const send = createSender({ claimant });
    await send(() => Promise.resolve(UNKNOWN));
    claimant.giveUp("deadline");
    const summary = await send(() => expect.fail(), { deadlineAt: NOW });
    expect(summary).to.include({ name: "HELD_ELSEWHERE", attempt: "not run" });
  });

  // Guards against retries of a late draft that get "unknown" for two minutes: the
  // entry answered with the recorded state of the first attempt instead of resuming
  // after the finished stages.
  it("runs a draft again whose outcome is unknown", async () => {
    const send = createSender(DRAFT_PARTS);
    await send(() => Promise.resolve(UNKNOWN));
    const summary = await send(() => Promise.resolve(COMPLETION));
    expect(summary.name).to.equal("OK");
  });

  // Guards against a retry that is refused as cancelled: the connection breaks, the
  // caller retries at once and joins the first attempt, and then the entry notices
  // the disconnect and cancels that attempt.
  it("runs the retry if the first caller has disconnected", async () => {
    const send = createSender(DRAFT_PARTS);
    let cancel = () => {};
    const first = send(() =>
      new Promise((resolve) => {
        cancel = () => resolve(CANCELLED);
      })
    );
    const retry = send(() => Promise.resolve(COMPLETION));
    cancel();
    expect((await first).name).to.equal("PORT_CANCELLED");
    expect((await retry).name).to.equal("OK");
  });
});
