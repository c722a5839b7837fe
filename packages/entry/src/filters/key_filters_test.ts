import type * as claims from "@sardinestep/claims";
import type * as rpc from "@sardinestep/rpc";
import type { StageResult } from "@sardinestep/types";
import { expect } from "chai";
import { Err, Ok } from "ts-results-es";
import {
  createCompletion,
  createRefusal,
  type RequestAnswer,
} from "../answer.ts";
import { Claimant } from "../claimant.ts";
import type { RequestContext } from "../context.ts";
import type { Dispatcher } from "../dispatcher.ts";
import { HolderLookup } from "../holder_lookup.ts";
import {
  buildContext,
  buildResult,
  buildRpcError,
  COMPLETION,
  createNext,
  createPeers,
  CUSTOMER,
  DEADLINE_AT,
  DRAFT,
  getAnswerSummary,
  HOLDER,
  NO_COST,
  NOW,
  runTicketCall,
} from "../_test_fixtures.ts";
import { createCheckAdmission } from "./check_admission.ts";
import { createClaimKey } from "./claim_key.ts";
import { createFindResults } from "./find_results.ts";

type Run = (context: RequestContext) => Promise<RequestAnswer>;

function createFilter(verdict: rpc.ClaimVerdict, now = NOW) {
  const records: claims.ClaimRecord[] = [];
  const claimed: claims.ClaimRecord[] = [];
  const readNow = () => now;
  const filter = createClaimKey({
    openClaimant: ({ keyId, fingerprint, deadlineAt }) =>
      new Claimant({
        facts: {
          id: HOLDER,
          keyId: keyId ?? { customer: CUSTOMER, key: "" },
          fingerprint,
          deadlineAt,
        },
        recordLater: (record) => records.push(record),
        onStateChange: () => {},
      }),
    claim: (record) => {
      claimed.push(record);
      return Promise.resolve(verdict);
    },
    runMinted: () => expect.fail("runs a UUIDv7 key as a minted one"),
    lookup: new HolderLookup({
      peers: createPeers(() => buildRpcError("timeout")).peers,
      findMember: () => undefined,
      findResults: () => Promise.resolve({ results: [] }),
      readNow,
    }),
    readNow,
  });
  const send = async (run: Run, parts: Partial<RequestContext> = {}) => {
    const context = buildContext(parts);
    const answer = await filter(context, () => run(context));
    return { context, ...getAnswerSummary(answer) };
  };
  return { send, records, claimed };
}

const WON = { kind: "won" } as const;
const REFUSE_UNAVAILABLE = () =>
  Promise.resolve(createRefusal("STAGE_UNAVAILABLE", "Nobody"));

describe("claimKey", () => {
  it("passes a repeatable request without a claim", async () => {
    const { send, claimed } = createFilter(WON);
    const { next, count } = createNext();
    await send(next, { isAtMostOnce: false, pipeline: DRAFT });
    expect([count(), claimed.length]).to.deep.equal([1, 0]);
  });

  it("runs after a won claim and marks the key as settled", async () => {
    const { send, claimed } = createFilter(WON);
    const summary = await send(runTicketCall);
    expect(summary).to.include({ name: "OK", outcome: "completed" });
    expect(summary.context.isKeySettled).to.equal(true);
    expect(claimed).to.have.length(1);
  });

  const verdicts: readonly (rpc.ClaimVerdict & { readonly name: string })[] = [
    { kind: "expired", name: "KEY_EXPIRED" },
    { kind: "unsettled", retryAfterMs: 5, name: "CLAIM_UNAVAILABLE" },
    { kind: "lost", status: { kind: "free" }, name: "HELD_ELSEWHERE" },
    { kind: "lost", status: { kind: "expired" }, name: "KEY_EXPIRED" },
  ];
  for (const { name, ...verdict } of verdicts) {
    it(`runs nothing after the verdict "${verdict.kind}": ${name}`, async () => {
      const { send, records } = createFilter(verdict as rpc.ClaimVerdict);
      const { next, count } = createNext();
      const summary = await send(next);
      expect(summary).to.include({ name, attempt: "not run" });
      expect(summary.outcome).to.not.equal("not run");
      expect(count()).to.equal(0);
      expect(records.map(({ kind }) => kind)).to.deep.equal(["release"]);
    });
  }

  it("answers not run if nothing was sent, and releases the key", async () => {
    const { send, records } = createFilter(WON);
    const summary = await send(REFUSE_UNAVAILABLE);
    expect(summary).to.include({
      name: "STAGE_UNAVAILABLE",
      outcome: "not run",
    });
    expect(records.map(({ kind }) => kind)).to.deep.equal(["release"]);
  });

  // Guards against a second call under a new key after a wrong "not run": the
  // request was given up for another reason while its call was in flight.
  it("never answers not run for a call that was sent", async () => {
    const { send } = createFilter(WON);
    const summary = await send((context) => {
      context.claimant?.beginDispatch(NOW);
      return REFUSE_UNAVAILABLE();
    });
    expect(summary).to.include({
      name: "OUTCOME_UNKNOWN",
      outcome: "unknown",
      attempt: "unknown",
    });
  });

  const late = [
    { title: "sent", name: "DEADLINE_EXCEEDED", isSent: true },
    { title: "not sent", name: "DEADLINE_OUT_OF_REACH", isSent: false },
  ];
  for (const { title, name, isSent } of late) {
    it(`answers at the deadline if the call was ${title}: ${name}`, async () => {
      const { send } = createFilter(WON, DEADLINE_AT - 1);
      const summary = await send((context) => {
        if (isSent) context.claimant?.beginDispatch(NOW);
        return new Promise(() => {});
      });
      expect(summary.name).to.equal(name);
      expect(summary.outcome).to.equal(isSent ? "unknown" : "not run");
      expect(summary.context.claimant?.beginDispatch(NOW)).to.equal(false);
    });
  }
});

function createFindResultsFilter(
  results: readonly StageResult[],
  runner: { readonly at?: string; readonly answer?: RequestAnswer } = {},
) {
  let ended = 0;
  const filter = createFindResults({
    findAll: () => Promise.resolve({ results, runningAt: runner.at }),
    endRun: () => ended += 1,
    waitForRunner: () => Promise.resolve(runner.answer),
  });
  return { filter, countEnded: () => ended };
}

describe("findResults", () => {
  const [first, last] = [buildResult(0), buildResult(1)];
  const cases: readonly {
    readonly title: string;
    readonly kept: readonly StageResult[];
    readonly prior: number;
  }[] = [
    { title: "nothing kept", kept: [], prior: 0 },
    { title: "the first stage kept", kept: [first], prior: 1 },
    { title: "a gap before the last stage", kept: [last], prior: 0 },
    {
      title: "a result of another stage with the same index",
      kept: [buildResult(0, { stageName: "other" })],
      prior: 0,
    },
  ];
  const parts = { pipeline: DRAFT, isAtMostOnce: false };

  for (const { title, kept, prior } of cases) {
    it(`resumes after ${prior} stages: ${title}`, async () => {
      const context = buildContext(parts);
      const filter = createFindResultsFilter(kept).filter;
      await filter(context, () => createNext().next(context));
      expect(context.priorResults).to.have.length(prior);
    });
  }

  it("answers with the last result if all stages are kept", async () => {
    const { next, count } = createNext();
    const context = buildContext(parts);
    const filter = createFindResultsFilter([last, first]).filter;
    const answer = await filter(context, () => next(context));
    expect(answer).to.include({ output: last.output, isReplayed: true });
    expect(count()).to.equal(0);
  });

  const runners = [
    {
      title: "returns the answer of the entry that runs the request",
      isAtMostOnce: false,
    },
    { title: "does not wait if it holds the claim", isAtMostOnce: true },
  ];
  for (const { title, isAtMostOnce } of runners) {
    it(title, async () => {
      const runnerAnswer = createCompletion("there", NO_COST);
      const opened = createFindResultsFilter([], {
        at: "i-2",
        answer: runnerAnswer,
      });
      const context = buildContext({ ...parts, isAtMostOnce });
      const { next, count } = createNext();
      await opened.filter(context, () => next(context));
      expect(count()).to.equal(isAtMostOnce ? 1 : 0);
      expect(opened.countEnded()).to.equal(isAtMostOnce ? 1 : 0);
    });
  }

  it("runs if the other entry has no answer, and reports the end", async () => {
    const opened = createFindResultsFilter([], { at: "i-2" });
    const context = buildContext(parts);
    const { next, count } = createNext();
    await opened.filter(context, () => next(context));
    expect([count(), opened.countEnded()]).to.deep.equal([1, 1]);
  });

  it("looks up nothing for a request without a key", async () => {
    const context = { ...buildContext(parts), keyId: undefined };
    const filter = createFindResults({
      findAll: () => expect.fail("looks up results"),
      endRun: () => {},
      waitForRunner: () => expect.fail("waits for another entry"),
    });
    const answer = await filter(context, () => createNext().next(context));
    expect(answer).to.equal(COMPLETION);
  });
});

describe("checkAdmission", () => {
  const refusal = { code: "QUEUE_FULL", retryAfterMs: 7 } as const;
  const rows = [
    { isLeaving: false, admission: Ok(undefined), name: "OK" },
    { isLeaving: false, admission: Err(refusal), name: "QUEUE_FULL" },
    { isLeaving: true, admission: Ok(undefined), name: "SHUTTING_DOWN" },
  ];
  for (const { isLeaving, admission, name } of rows) {
    it(`${name} if isLeaving is ${isLeaving}`, async () => {
      const dispatcher = { checkAdmission: () => admission };
      const filter = createCheckAdmission(
        dispatcher as unknown as Dispatcher,
        () => !isLeaving,
      );
      const context = buildContext();
      const { next, count } = createNext();
      const answer = await filter(context, () => next(context));
      expect(getAnswerSummary(answer).name).to.equal(name);
      expect(count()).to.equal(name === "OK" ? 1 : 0);
    });
  }

  // A stopping entry accepted requests that its exit then cut off.
  it("refuses a request whose deadline lies after the exit", async () => {
    const dispatcher = { checkAdmission: () => Ok(undefined) };
    const filter = createCheckAdmission(
      dispatcher as unknown as Dispatcher,
      (deadlineAt) => deadlineAt < 1_000,
    );
    const run = async (deadlineAt: number) => {
      const context = { ...buildContext(), deadlineAt };
      return getAnswerSummary(
        await filter(context, () => createNext().next(context)),
      ).name;
    };
    expect([await run(999), await run(1_000)])
      .to.deep.equal(["OK", "SHUTTING_DOWN"]);
  });
});
