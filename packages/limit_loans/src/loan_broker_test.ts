import { expect } from "chai";
import { setTimeout as wait } from "node:timers/promises";
import { type LoanAsk, LoanBroker } from "./loan_broker.ts";
import { LoanLedger } from "./loan_ledger.ts";
import { LOAN_MS, planLoan } from "./loan_plan.ts";

describe("LoanLedger", () => {
  it("gives each send once, and none after the end of its loan", () => {
    const ledger = new LoanLedger();
    ledger.add("e1", { count: 1, endsAt: 20 });
    ledger.add("e1", { count: 2, endsAt: 10 });
    expect(ledger.count("e1", 0)).to.equal(3);
    expect(ledger.removeSend("e1", 0)).to.equal(true);
    expect(ledger.count("e1", 10)).to.equal(1);
    expect([ledger.removeSend("e1", 11), ledger.removeSend("e1", 12)])
      .to.deep.equal([true, false]);
  });

  it("forgets endpoints that are gone", () => {
    const ledger = new LoanLedger();
    ledger.add("e1", { count: 1, endsAt: 20 });
    ledger.keep(new Set(["e2"]));
    expect(ledger.count("e1", 0)).to.equal(0);
  });
});

describe("LoanBroker", () => {
  const SHARE = 8;
  let calls: { lender: string; asks: readonly LoanAsk[] }[];
  let lent: Map<string, number>;
  let isSilent: boolean;

  beforeEach(() => {
    calls = [];
    lent = new Map();
    isSilent = false;
  });

  function createBroker(lenders: readonly string[]): LoanBroker {
    return new LoanBroker({
      getLenders: () => lenders,
      callLender: (lender, asks) => {
        calls.push({ lender, asks });
        if (isSilent) return Promise.resolve(undefined);
        return Promise.resolve(asks.map(({ count: asked }) => {
          const sent = lent.get(lender) ?? 0;
          const count = planLoan({ requests: SHARE, sent, asked });
          lent.set(lender, sent + count);
          return count;
        }));
      },
    });
  }

  it("asks a VM once for all endpoints", async () => {
    const broker = createBroker(["a"]);
    broker.addAsk("e1", 2);
    broker.addAsk("e2", 3);
    await wait(5);
    expect(calls).to.deep.equal([{
      lender: "a",
      asks: [{ endpointId: "e1", count: 2 }, { endpointId: "e2", count: 3 }],
    }]);
    expect(broker.ledger.count("e2", performance.now())).to.equal(3);
  });

  it("asks two VMs for a part each, and not again at once", async () => {
    const broker = createBroker(["a", "b", "c"]);
    broker.addAsk("e1", 5);
    broker.addAsk("e1", 5);
    await wait(5);
    expect(calls.map(({ asks }) => asks[0]!.count)).to.deep.equal([3, 3]);
  });

  // A VM without a spare share was asked again and again.
  it("passes over a VM that has nothing left", async () => {
    const broker = createBroker(["a"]);
    broker.addAsk("e1", 20);
    await wait(60);
    broker.addAsk("e1", 20);
    await wait(5);
    expect(calls).to.have.length(1);
    expect(broker.ledger.count("e1", performance.now())).to.equal(6);
  });

  it("takes no answer for no loan", async () => {
    isSilent = true;
    const broker = createBroker(["a"]);
    broker.addAsk("e1", 2);
    await wait(5);
    expect(broker.ledger.count("e1", performance.now())).to.equal(0);
  });

  // Sends of a late answer would fall outside the window of the lender.
  it("counts the end of a loan from the time of the ask", async () => {
    const broker = createBroker(["a"]);
    broker.addAsk("e1", 2);
    await wait(5);
    const now = performance.now();
    expect(broker.ledger.count("e1", now + LOAN_MS)).to.equal(0);
  });
});
