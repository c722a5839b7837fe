import { expect } from "chai";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { setTimeout as wait } from "node:timers/promises";
import { type Holder, NoteExchange } from "./mod.ts";

const KEY = "0".repeat(32);
const VERSION = "1".repeat(16);
const WAIT_MS = 50;

async function findFreeAddress(): Promise<string> {
  const socket = createSocket("udp4").bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return `127.0.0.1:${port}`;
}

describe("NoteExchange", () => {
  const exchanges: NoteExchange[] = [];
  let holders: Holder[];
  let errors: string[];

  beforeEach(() => {
    holders = [];
    errors = [];
  });

  afterEach(() => {
    for (const exchange of exchanges.splice(0)) exchange.close();
  });

  async function startAll(count: number): Promise<NoteExchange[]> {
    for (let i = 0; i < count; i++) {
      const rpc = await findFreeAddress();
      holders.push({ vmId: `vm-${i}`, zone: `z${i % 3}`, rpc });
    }
    for (const { vmId, rpc } of holders) {
      const exchange = new NoteExchange({
        vmId,
        getHolders: () => holders,
        handleError: (message) => errors.push(message),
      });
      await exchange.start(rpc);
      exchanges.push(exchange);
    }
    return [...exchanges];
  }

  it("finds at any VM what one VM has recorded", async () => {
    const all = await startAll(6);
    all[0]!.record([{ key: KEY, version: VERSION }]);
    await wait(WAIT_MS);
    for (const exchange of all) {
      expect(await exchange.find(KEY))
        .to.deep.equal({ kind: "known", version: VERSION });
    }
    expect(errors).to.deep.equal([]);
  });

  it("finds it after the VM that recorded it was killed", async () => {
    const [first, ...others] = await startAll(6);
    first!.record([{ key: KEY, version: VERSION }]);
    await wait(WAIT_MS);
    first!.close();
    for (const exchange of others) {
      expect(await exchange.find(KEY))
        .to.deep.equal({ kind: "known", version: VERSION });
    }
  });

  // VMs that stop one after the other would lose all copies.
  it("finds it after all VMs that kept it have stopped in turn", async () => {
    const [first] = await startAll(8);
    first!.record([{ key: KEY, version: VERSION }]);
    await wait(WAIT_MS);
    const keepers = exchanges.filter(({ size }) => size > 0);
    for (const keeper of keepers) {
      holders = holders.filter((_, i) => exchanges[i] !== keeper);
      keeper.sendAllNotes();
      await wait(WAIT_MS);
      keeper.close();
      exchanges.splice(exchanges.indexOf(keeper), 1);
    }
    expect(exchanges.length).to.be.at.least(2);
    for (const exchange of exchanges) {
      expect(await exchange.find(KEY))
        .to.deep.equal({ kind: "known", version: VERSION });
    }
  });

  it("says at once that nobody knows a stream", async () => {
    const [first] = await startAll(4);
    expect(await first!.find(KEY))
      .to.deep.equal({ kind: "unknown", isPartial: false });
  });

  it("says that some VMs don't reply", async () => {
    const [first, second] = await startAll(3);
    second!.close();
    expect(await first!.find(KEY))
      .to.deep.equal({ kind: "unknown", isPartial: true });
  });

  // The error ended what recorded the note.
  it("reports VMs that have no usable address", async () => {
    const [first] = await startAll(1);
    for (const rpc of ["127.0.0.1:99999", "127.0.0.1:-1", "odd"]) {
      holders = [holders[0]!, { vmId: "odd", zone: "z0", rpc }];
      first!.record([{ key: KEY, version: VERSION }]);
      expect((await first!.find(`${rpc}`.padEnd(32, "0"))).kind)
        .to.equal("unknown");
    }
    expect(errors.length).to.be.at.least(3);
    expect(errors.every((error) => /expected IP:port/.test(error)))
      .to.equal(true);
  });

  it("reports bytes that are no datagram of a VM", async () => {
    await startAll(1);
    const socket = createSocket("udp4");
    const port = Number(holders[0]!.rpc.split(":")[1]);
    for (const bytes of ["", "x", "\u0001short", "\u0003ab"]) {
      socket.send(bytes, port, "127.0.0.1");
    }
    await wait(WAIT_MS);
    socket.close();
    expect(errors).to.have.length(4);
  });
});
