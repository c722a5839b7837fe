/**
 * Keeps an example running so that commands can be tried by hand.
 *
 * @module
 */
import * as testbed from "@sardinestep/testbed";
import { writeFileSync } from "node:fs";
import type { Example } from "./example.ts";

/** Port of the first entry; the docs use it in their commands. */
const FIRST_PORT = 8_080;
/** Settings file for the command line client. */
const CLI_SETTINGS_FILE = "dist/cli.json";

/**
 * Starts an example on fixed ports and prints its addresses.
 *
 * @param launcher Starts and stops the processes.
 * @param example The example to start.
 */
export async function startHeldExample(
  launcher: testbed.ProcessLauncher,
  example: Example,
): Promise<void> {
  const deployment = await testbed.Deployment.start(launcher, example.plan, {
    firstPort: FIRST_PORT,
  });
  const controls = deployment.vms.map((vm) => vm.controlRpc);
  writeFileSync(CLI_SETTINGS_FILE, JSON.stringify({ controls }, null, 2));
  for (const vm of deployment.vms) {
    console.log(`${vm.vmId}: entry ${vm.url}, control ${vm.controlRpc}`);
  }
  console.log(`command line: --settings ${CLI_SETTINGS_FILE}`);
  console.log(`fake services: ${deployment.adminUrl}/admin/endpoints`);
  console.log("running; press Ctrl-C to stop");
}
