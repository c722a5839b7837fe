/**
 * `sardinestep-fakes`: serves fakes of the platform and the endpoints from one
 * process, for tests, demo and benchmarks.
 *
 * @module
 */
import { command, option, run, string } from "cmd-ts";
import { once } from "node:events";
import { startFakes } from "./fakes.ts";
import { readSettings } from "./settings.ts";

const VERSION = "0.1.0";
const EXIT_BAD_SETTINGS = 2;

const program = command({
  name: "sardinestep-fakes",
  description: "Serves fakes of the platform and the endpoints",
  version: VERSION,
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "JSON file with the address and settings of each fake",
    }),
  },
  handler: ({ settings }) => runFakes(settings),
});

async function runFakes(path: string): Promise<void> {
  const settings = readSettings(path);
  if (settings.isErr()) {
    console.error(settings.error);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const stopSignal = Promise.race([
    once(process, "SIGTERM"),
    once(process, "SIGINT"),
  ]);
  const fakes = await startFakes(settings.value);
  console.log("ready");
  await stopSignal;
  await fakes.close();
  process.exit(0);
}

await run(program, process.argv.slice(2));
