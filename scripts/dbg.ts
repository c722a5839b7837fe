import * as testbed from "@sardinestep/testbed";
import * as rpc from "@sardinestep/rpc";
import * as plan from "../packages/prove/src/small_plan.ts";
const bench = new testbed.Bench();
const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
try {
  const d = await testbed.Deployment.start(
    bench,
    plan.buildSmallPlan({ vms: 4 }),
  );
  await sleep(1500);
  for (const e of ["drafters-1", "drafters-2", "drafters-3"]) {
    await d.setWorkerFaults(e, { slowFactor: 40 });
  }
  const keys = Array.from({ length: 20 }, () => plan.createKey());
  const sends = keys.map((key, turn) =>
    testbed.sendRequest(plan.buildRequest("draft", turn), {
      urls: plan.rotateUrls(d, 0),
      key,
      maxAttempts: 4,
    })
  );
  await sleep(250);
  const s = await rpc.callOnce(d.vms[0].entryRpc, "status", {}, {
    timeoutMs: 1000,
  });
  console.log(s.unwrap().counters);
  const m = await rpc.callOnce(d.vms[1].controlRpc, "members", {}, {
    timeoutMs: 1000,
  });
  console.log(
    m.unwrap().map((x) => `${x.vmId} ${x.zone} ${x.state} ${x.entryRpc}`),
  );
  const ev = await rpc.callOnce(d.vms[0].entryRpc, "timeline", {}, {
    timeoutMs: 1000,
  });
  console.log(
    ev.unwrap().map((e) => e.name + JSON.stringify(e.detail)).slice(0, 20),
  );
  const runs0 = await d.readRuns();
  console.log(Object.values(runs0).map((r) => r.count).join(","));
  await testbed.stopProgram(d.vms[0].entry, "SIGKILL");
  for (const e of ["drafters-1", "drafters-2", "drafters-3"]) {
    await d.setWorkerFaults(e, { slowFactor: 1 });
  }
  const res = await Promise.all(sends);
  const runs = await d.readRuns();
  for (const k of keys) {
    console.log(
      k,
      runs[k].digests.map((x) => x.slice(0, 4)).join(" "),
      runs0[k]?.digests.map((x) => x.slice(0, 4)).join(" "),
      res.find((r) => r.key === k)!.attempts.map((a) =>
        a.answer?.name ?? a.error
      ).join(";"),
    );
  }
  for (const vm of d.vms.slice(1)) console.log(vm.entry.output());
} finally {
  await bench.stopAll();
}
