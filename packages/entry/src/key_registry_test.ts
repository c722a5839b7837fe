import { expect } from "chai";
import { createCompletion, createRefusal } from "./answer.ts";
import { KeyRegistry, waitAtMost } from "./key_registry.ts";
import { COMPLETION, CUSTOMER, NO_COST } from "./_test_fixtures.ts";

const KEY_ID = { customer: CUSTOMER, key: "k" };
const FOREIGN = { customer: "rival", key: "k" };

function openRegistry(maxKeys = 10): KeyRegistry {
  return new KeyRegistry({ keepMs: 60_000, maxKeys });
}

async function settleWith(
  answer: ReturnType<typeof createRefusal> | typeof COMPLETION,
): Promise<KeyRegistry> {
  const registry = openRegistry();
  const given = Promise.resolve(answer);
  registry.track(KEY_ID, "f", given);
  await given;
  return registry;
}

describe("KeyRegistry", () => {
  it("joins a running request, under its own customer and body only", () => {
    const registry = openRegistry();
    registry.track(KEY_ID, "f", new Promise(() => {}));
    const kinds = [
      registry.getRelation(KEY_ID, "f"),
      registry.getRelation(KEY_ID, "other"),
      registry.getRelation(FOREIGN, "f"),
    ].map(({ kind }) => kind);
    expect(kinds).to.deep.equal(["running", "reused", "new"]);
  });

  const settled = [
    { title: "completed", answer: COMPLETION, kind: "completed" },
    {
      title: "refused as not run",
      answer: createRefusal("QUEUE_FULL", "Full"),
      kind: "new",
    },
    {
      title: "not run, of a key of which nothing is known",
      answer: createRefusal("CLAIM_UNAVAILABLE", "Log", { attempt: "not run" }),
      kind: "new",
    },
    {
      title: "refused as unknown",
      answer: createRefusal("OUTCOME_UNKNOWN", "Broken"),
      kind: "unknown",
    },
  ];

  for (const { title, answer, kind } of settled) {
    it(`leaves a key "${kind}" after an attempt ${title}`, async () => {
      const registry = await settleWith(answer);
      expect(registry.getRelation(KEY_ID, "f").kind).to.equal(kind);
    });
  }

  it("takes a completion that came after its request was given up", async () => {
    const registry = await settleWith(createRefusal("OUTCOME_UNKNOWN", "Late"));
    registry.complete(KEY_ID, "f", "ticket");
    expect(await registry.waitForStatus(KEY_ID, 0)).to.deep.equal({
      kind: "completed",
      body: "ticket",
    });
  });

  // A repeat hears "unknown" for good although its ticket is there. The call
  // completed late, and the refusal of the given-up request settled behind it.
  it("keeps a completion when the given-up request settles behind it", async () => {
    const registry = openRegistry();
    let settle = () => {};
    const given = new Promise<ReturnType<typeof createRefusal>>((resolve) => {
      settle = () => resolve(createRefusal("DEADLINE_EXCEEDED", "Late"));
    });
    registry.track(KEY_ID, "f", given);
    registry.complete(KEY_ID, "f", "ticket");
    settle();
    await given;
    const { kind } = await registry.waitForStatus(KEY_ID, 0);
    expect(kind).to.equal("completed");
  });

  // One request met a fault of this entry; every repeat of it for two minutes
  // meets the same one. The key was left as running under an attempt that threw.
  it("frees a key whose attempt threw", async () => {
    const registry = openRegistry();
    const thrown = Promise.reject(new Error("fault"));
    registry.track(KEY_ID, "f", thrown);
    await thrown.catch(() => {});
    expect(registry.getRelation(KEY_ID, "f").kind).to.equal("new");
  });

  it("gives the status of a running request when it ends", async () => {
    const registry = openRegistry();
    const answer = createCompletion("whole", NO_COST);
    registry.track(KEY_ID, "f", Promise.resolve(answer));
    const status = await registry.waitForStatus(KEY_ID, 1_000);
    expect(status).to.deep.equal({ kind: "completed", body: "whole" });
  });

  it("says running where the request goes on, none of other customers", async () => {
    const registry = openRegistry();
    registry.track(KEY_ID, "f", new Promise(() => {}));
    expect(await registry.waitForStatus(KEY_ID, 0)).to.deep.equal({
      kind: "running",
    });
    expect(await registry.waitForStatus(FOREIGN, 0)).to.deep.equal({
      kind: "none",
    });
  });

  it("keeps a bounded number of keys", () => {
    const registry = openRegistry(2);
    const keys = ["a", "b", "c"].map((key) => ({ customer: CUSTOMER, key }));
    for (const keyId of keys) {
      registry.track(keyId, "f", new Promise(() => {}));
    }
    const kinds = keys.map((keyId) => registry.getRelation(keyId, "f").kind);
    expect(kinds).to.deep.equal(["new", "running", "running"]);
  });
});

describe("waitAtMost", () => {
  it("gives the value, or undefined once the bound has passed", async () => {
    expect(await waitAtMost(Promise.resolve(1), 60_000)).to.equal(1);
    expect(await waitAtMost(new Promise(() => {}), 0)).to.equal(undefined);
  });
});
