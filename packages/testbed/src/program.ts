/**
 * Child processes of tests, demo and benches. The daemons themselves start no
 * process.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { waitFor, type WaitOptions } from "./wait.ts";

/** A program started by {@link Bench.start}. */
export interface Program {
  readonly name: string;
  readonly process: ChildProcess;
  /** What it has printed on both outputs so far. */
  output(): string;
}

/**
 * Starts programs from `dist/` and ends all of them, by their own ids.
 *
 * @example
 * ```ts
 * const bench = new Bench();
 * const entry = bench.start("sardinestep-entry", { settings });
 * await bench.stopAll();
 * ```
 */
export class Bench {
  readonly #binaries: string;
  readonly #programs: Program[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "sardinestep-"));
  #fileCount = 0;

  /** @param binaries Folder of the bundled programs. */
  constructor(binaries = "dist") {
    this.#binaries = binaries;
  }

  /** Programs that were started and still run. */
  get running(): readonly Program[] {
    return this.#programs.filter((program) => isRunning(program));
  }

  /** Writes a JSON file into the bench's own folder and returns its path. */
  writeJson(name: string, value: unknown): string {
    this.#fileCount += 1;
    const path = join(this.#folder, `${this.#fileCount}-${name}.json`);
    writeFileSync(path, JSON.stringify(value, null, 2));
    return path;
  }

  /**
   * Starts a bundled program with a settings file made from a value; a name
   * without ending means a module.
   */
  start(binary: string, options: StartOptions): Program {
    const name = options.name ?? binary;
    const file = binary.includes(".") ? binary : `${binary}.mjs`;
    const args = [...options.nodeFlags ?? [], `${this.#binaries}/${file}`];
    if (options.settings !== undefined) {
      args.push("--settings", this.writeJson(name, options.settings));
    }
    args.push(...(options.args ?? []));
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...options.env },
    });
    const chunks: string[] = [];
    child.stdout?.on("data", (chunk) => chunks.push(String(chunk)));
    child.stderr?.on("data", (chunk) => chunks.push(String(chunk)));
    const program = { name, process: child, output: () => chunks.join("") };
    this.#programs.push(program);
    return program;
  }

  /** Ends every program, first politely if asked, and removes the folder. */
  async stopAll(signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    await Promise.all(
      this.#programs.map((program) => stopProgram(program, signal)),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** How {@link Bench.start} starts a program. */
export interface StartOptions {
  readonly name?: string;
  readonly settings?: unknown;
  readonly args?: readonly string[];
  /** Flags of Node.js itself. */
  readonly nodeFlags?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

function isRunning(program: Program): boolean {
  return program.process.exitCode === null &&
    program.process.signalCode === null;
}

/**
 * Sends a signal to a program and waits until it has ended.
 *
 * @param program The program to end.
 * @param signal The signal; a frozen program is woken first.
 * @returns Its exit code, null when a signal ended it.
 */
export async function stopProgram(
  program: Program,
  signal: NodeJS.Signals = "SIGTERM",
): Promise<number | null> {
  if (!isRunning(program)) return program.process.exitCode;
  const exited = once(program.process, "exit");
  program.process.kill(signal);
  program.process.kill("SIGCONT");
  await exited;
  return program.process.exitCode;
}

/**
 * Waits until a program has printed a text.
 *
 * @param program The program to watch.
 * @param text What it must have printed.
 * @param options Bound of the wait.
 */
export async function waitForOutput(
  program: Program,
  text: string,
  options: Partial<WaitOptions> = {},
): Promise<void> {
  const isDone = () => program.output().includes(text) || !isRunning(program);
  await waitFor(isDone, {
    what:
      `"${text}" from "${program.name}", which printed: ${program.output()}`,
    ...options,
  });
  if (program.output().includes(text)) return;
  throw new Error(`"${program.name}" has ended: ${program.output()}`);
}

/** Below the range from which the system takes ports of outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Spreads test processes that run at the same time over the range. */
const PORTS_A_PROCESS = 500;
let nextPort = process.pid * PORTS_A_PROCESS % PORT_COUNT;

/**
 * Finds TCP ports on loopback that nothing listens on. A process never gets one
 * twice, so that deployments started at the same time don't take each other's.
 *
 * @param count How many ports to find.
 * @returns Distinct port numbers.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORT_COUNT;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, "127.0.0.1");
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
