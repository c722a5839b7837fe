/**
 * Keeps an example running for trying commands by hand.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { writeFileSync } from "node:fs";
import type { Example } from "./example.ts";

/** The first entry, as the docs name it. */
const FIRST_PORT = 8_080;
/** Where the command line finds its settings. */
const CLI_SETTINGS_FILE = "dist/cli.json";

/**
 * Starts an example on fixed ports and prints its addresses.
 *
 * @param bench Starts and ends the processes.
 * @param example The example.
 */
export async function hold(
  bench: testbed.Bench,
  example: Example,
): Promise<void> {
  const deployment = await testbed.Deployment.start(bench, example.plan, {
    firstPort: FIRST_PORT,
  });
  const controls = deployment.vms.map((vm) => vm.controlRpc);
  writeFileSync(CLI_SETTINGS_FILE, JSON.stringify({ controls }, null, 2));
  for (const vm of deployment.vms) {
    console.log(`${vm.vmId}: entry ${vm.url}, control ${vm.controlRpc}`);
  }
  console.log(`command line: --settings ${CLI_SETTINGS_FILE}`);
  console.log(`stand-ins: ${deployment.adminUrl}/admin/endpoints`);
  console.log("holding; end it with Ctrl-C");
}
