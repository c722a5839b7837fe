import { expect } from "chai";
import { planAsk, planLoan } from "./loan_plan.ts";

describe("loans of rate limits", () => {
  it("are asked for when the next sends would use up what is left", () => {
    const asks = [[3, 8], [2, 8], [0, 0], [1, 13], [0, 1_000]]
      .map(([left = 0, recent = 0]) => planAsk({ left, recent }));
    expect(asks).to.deep.equal([0, 4, 2, 7, 64]);
  });

  it("leave a lender a quarter of its share", () => {
    const loans = [[8, 0], [8, 5], [8, 6], [8, 9]].map((
      [requests = 0, sent = 0],
    ) => planLoan({ requests, sent, asked: 100 }));
    expect(loans).to.deep.equal([6, 1, 0, 0]);
  });

  it("are at most what is asked", () => {
    expect(planLoan({ requests: 100, sent: 0, asked: 3 })).to.equal(3);
  });

  it("may be a whole share of one send that is not used", () => {
    expect(planLoan({ requests: 1, sent: 0, asked: 2 })).to.equal(1);
    expect(planLoan({ requests: 0, sent: 0, asked: 2 })).to.equal(0);
  });
});
