import { expect } from "chai";
import { ConnectionCloses } from "./connection_closes.ts";

describe("ConnectionCloses", () => {
  // An answer that closes its connection would leave those behind it without one.
  it("lets only the newest request announce a close, and adds none after it", () => {
    const closes = new ConnectionCloses<object>();
    const connection = {};
    const first = closes.addRequest(connection)!;
    const second = closes.addRequest(connection)!;
    expect(closes.mayAnnounce(first)).to.equal(false);
    expect(closes.mayAnnounce(second)).to.equal(true);
    expect(closes.addRequest(connection)).to.equal(undefined);
    expect(closes.addRequest({})).not.to.equal(undefined);
  });
});
