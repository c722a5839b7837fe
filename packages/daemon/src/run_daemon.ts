/**
 * Runs a daemon: command line, settings, start and stop.
 *
 * @module
 */
import * as settings from "@sardinestep/settings";
import { binary, command, option, run, string } from "cmd-ts";
import type * as z from "zod";

/** Version of the daemons, which `--version` prints. */
export const VERSION = "0.1.0";

/** Exit codes of daemons. */
export const DAEMON_EXIT = {
  ok: 0,
  /** The daemon could not start, for example because its address is in use. */
  failed: 1,
  /** The settings file can't be read or is invalid. */
  badSettings: 2,
} as const;

/** A long-running process with start and stop. */
export interface Daemon {
  start(): Promise<void>;
  /** Stops gracefully within the time limit of the settings. */
  stop(): Promise<void>;
}

/** Options of {@link runDaemon}. */
export interface RunDaemonOptions<T> {
  readonly name: string;
  readonly description: string;
  readonly schema: z.ZodType<T>;
  readonly open: (checked: T) => Daemon;
}

/**
 * Parses the command line, validates the settings, starts the daemon and stops it
 * on SIGTERM or SIGINT. A second signal exits the process immediately.
 *
 * @param options Name, schema and constructor of the daemon.
 * @example
 * ```ts
 * await runDaemon({ name, description, schema, open: (checked) => new Entry(checked) });
 * ```
 */
export async function runDaemon<T>(
  options: RunDaemonOptions<T>,
): Promise<void> {
  const program = command({
    name: options.name,
    description: options.description,
    version: VERSION,
    args: {
      settings: option({
        type: string,
        long: "settings",
        description: "Path of the JSON settings file",
      }),
    },
    handler: ({ settings: file }) => runFromFile(options, file),
  });
  await run(binary(program), process.argv);
}

async function runFromFile<T>(
  options: RunDaemonOptions<T>,
  file: string,
): Promise<void> {
  const loaded = settings.readSettingsFile(options.schema, file);
  if (loaded.isErr()) {
    for (const fault of loaded.error) {
      console.error(settings.formatFault(fault));
    }
    process.exit(DAEMON_EXIT.badSettings);
  }
  // A rejection in a background task must not end the process and its requests.
  process.on("unhandledRejection", (error) => {
    console.error(`Unhandled rejection in ${options.name}:`, error);
  });
  const daemon = options.open(loaded.value);
  stopOnSignal(daemon);
  try {
    await daemon.start();
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    console.error(`Cannot start ${options.name}: ${cause}`);
    process.exit(DAEMON_EXIT.failed);
  }
  console.log("ready");
}

function stopOnSignal(daemon: Daemon): void {
  let isStopping = false;
  const stop = async () => {
    if (isStopping) process.exit(DAEMON_EXIT.failed);
    isStopping = true;
    await daemon.stop();
    process.exit(DAEMON_EXIT.ok);
  };
  process.on("SIGTERM", () => void stop());
  process.on("SIGINT", () => void stop());
}
