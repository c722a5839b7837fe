import * as testbed from "@sardinestep/testbed";
import * as rpc from "@sardinestep/rpc";
import * as plan from "../packages/prove/src/small_plan.ts";
const bench = new testbed.Bench();
const sleep = (ms: number) => new Promise((r) => setTimeout(r, ms));
try {
  const d = await testbed.Deployment.start(
    bench,
    plan.buildSmallPlan({ vms: 3 }),
  );
  for (const e of ["tickets-1", "tickets-2", "tickets-3"]) {
    await d.setWorkerFaults(e, { delayMs: 1500 });
  }
  const r = await testbed.sendRequest(plan.buildRequest("issue", 1, 700), {
    urls: plan.rotateUrls(d, 0),
    key: plan.createKey(),
  });
  console.log(JSON.stringify(r));
  for (const e of ["tickets-1", "tickets-2", "tickets-3"]) {
    await d.setWorkerFaults(e, { delayMs: 0 });
  }
  const vm = d.vms[1];
  console.log(
    await Promise.all([
      testbed.stopProgram(vm.entry, "SIGTERM"),
      testbed.stopProgram(vm.control, "SIGTERM"),
    ]),
  );
  d.restartVm(vm);
  const t = performance.now();
  await d.waitForEntry(vm);
  console.log("ready after", performance.now() - t);
  for (let i = 0; i < 3; i++) {
    for (const v of d.vms) {
      const s = await rpc.callOnce(v.controlRpc, "endpoints", {}, {
        timeoutMs: 1000,
      });
      console.log(
        v.vmId,
        s.unwrap().map((x) =>
          `${x.facts.endpointId} ${x.facts.state} ${
            x.facts.instance.slice(0, 4)
          } ${x.load?.state}`
        ).join("; "),
      );
      const m = await rpc.callOnce(v.controlRpc, "members", {}, {
        timeoutMs: 1000,
      });
      console.log(
        m.unwrap().map((x) =>
          `${x.vmId} ${x.zone} ${x.state} ${x.entryInstance}`
        ),
      );
    }
    await sleep(1000);
  }
  console.log(vm.entry.output(), vm.control.output());
} finally {
  await bench.stopAll();
}
