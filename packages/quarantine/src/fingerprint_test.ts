import { expect } from "chai";
import { buildFingerprint } from "./mod.ts";

describe("buildFingerprint", () => {
  const facts = {
    method: "POST",
    host: "a.example",
    path: "/x/",
    customer: "dairy",
    body: Buffer.from("body"),
  };

  it("is the same for equal requests", () => {
    expect(buildFingerprint({ ...facts, body: Buffer.from("body") }))
      .to.equal(buildFingerprint(facts));
  });

  // Sound requests without a body counted as one that was in all crashes.
  it("differs with the parts of the prompt", () => {
    const prompts = [undefined, ["a"], ["a", "b"], ["b", "a"], ["ab"]];
    const all = prompts.map((partIds) =>
      buildFingerprint({ ...facts, partIds })
    );
    expect(new Set(all).size).to.equal(all.length);
  });

  it("differs with method, host, path, customer and body", () => {
    const others = [
      { ...facts, method: "PUT" },
      { ...facts, host: "b.example" },
      { ...facts, path: "/y/" },
      { ...facts, customer: "creamery" },
      { ...facts, customer: undefined },
      { ...facts, body: Buffer.from("bodY") },
      { ...facts, body: undefined },
    ];
    const all = [facts, ...others].map(buildFingerprint);
    expect(new Set(all).size).to.equal(all.length);
  });
});
