import * as testbed from "@sardinestep/testbed";
import * as rpc from "@sardinestep/rpc";
import * as plan from "../packages/prove/src/small_plan.ts";
const bench = new testbed.Bench();
try {
  const d = await testbed.Deployment.start(bench, plan.buildSmallPlan());
  for (let i = 0; i < 6; i++) {
    await new Promise((r) => setTimeout(r, 1000));
    for (const vm of d.vms) {
      const m = await rpc.callOnce(vm.controlRpc, "members", {}, {
        timeoutMs: 1000,
      });
      console.log(
        i,
        vm.vmId,
        m.isOk()
          ? m.value.map((x) =>
            `${x.vmId}:${x.entryInstance.slice(0, 4)}:${x.state}:${x.entryRpc}`
          ).join(" ")
          : m.error,
      );
    }
  }
  for (const vm of d.vms) {
    const s = await rpc.callOnce(vm.entryRpc, "status", {}, {
      timeoutMs: 1000,
    });
    console.log(JSON.stringify(s.unwrap()));
  }
} finally {
  await bench.stopAll();
}
