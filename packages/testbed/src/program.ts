/**
 * Child processes for tests, demo and benchmarks. The daemons themselves never
 * start processes.
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

/** A program started by {@link ProcessLauncher.start}. */
export interface Program {
  readonly name: string;
  readonly process: ChildProcess;
  /** Returns what it has written to stdout and stderr so far. */
  output(): string;
}

/**
 * Starts programs from `dist/` and stops all of them, each by its process id.
 *
 * @example
 * ```ts
 * const launcher = new ProcessLauncher();
 * const entry = launcher.start("sardinestep-entry", { settings });
 * await launcher.stopAll();
 * ```
 */
export class ProcessLauncher {
  readonly #binaryFolder: string;
  readonly #programs: Program[] = [];
  readonly #temporaryFolder = mkdtempSync(join(tmpdir(), "sardinestep-"));
  #fileCount = 0;

  /** @param binaryFolder Folder of the bundled programs. */
  constructor(binaryFolder = "dist") {
    this.#binaryFolder = binaryFolder;
  }

  /** Programs that were started and still run. */
  get running(): readonly Program[] {
    return this.#programs.filter((program) => isRunning(program));
  }

  /** Writes a JSON file into a temporary folder and returns its path. */
  writeJson(name: string, value: unknown): string {
    this.#fileCount += 1;
    const path = join(this.#temporaryFolder, `${this.#fileCount}-${name}.json`);
    writeFileSync(path, JSON.stringify(value, null, 2));
    return path;
  }

  /**
   * Starts a bundled program with its settings written to a file. A name
   * without an extension means `.mjs`.
   */
  start(binary: string, options: StartProgramOptions): Program {
    const name = options.name ?? binary;
    const file = binary.includes(".") ? binary : `${binary}.mjs`;
    const args = [...options.nodeFlags ?? [], `${this.#binaryFolder}/${file}`];
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

  /** Sends a signal to every program, waits for all, and removes the folder. */
  async stopAll(signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    await Promise.all(
      this.#programs.map((program) => stopProgram(program, signal)),
    );
    rmSync(this.#temporaryFolder, { recursive: true, force: true });
  }
}

/** Options of {@link ProcessLauncher.start}. */
export interface StartProgramOptions {
  readonly name?: string;
  readonly settings?: unknown;
  readonly args?: readonly string[];
  /** Flags for Node.js itself. */
  readonly nodeFlags?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

function isRunning(program: Program): boolean {
  return program.process.exitCode === null &&
    program.process.signalCode === null;
}

/**
 * Sends a signal to a program and waits until it has exited.
 *
 * @param program The program to stop.
 * @param signal The signal; SIGCONT follows, so that a stopped program handles it.
 * @returns Its exit code, or null when a signal ended it.
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
 * @param text Text to wait for.
 * @param options Timeout and description of the wait.
 */
export async function waitForOutput(
  program: Program,
  text: string,
  options: Partial<WaitOptions> = {},
): Promise<void> {
  const isDone = () => program.output().includes(text) || !isRunning(program);
  await waitFor(isDone, {
    description:
      `"${text}" from "${program.name}", which printed: ${program.output()}`,
    ...options,
  });
  if (program.output().includes(text)) return;
  throw new Error(
    `"${program.name}" exited before the expected output: ${program.output()}`,
  );
}

/** The range lies below the ephemeral ports of outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Offset between processes, so that parallel tests use different ports. */
const PORTS_PER_PROCESS = 500;
let nextPort = process.pid * PORTS_PER_PROCESS % PORT_COUNT;

/**
 * Finds TCP ports on loopback that nothing listens on. A process never gets
 * the same port twice, so that deployments started at the same time don't collide.
 *
 * @param count How many ports to find.
 * @returns Distinct port numbers.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextPort;
    nextPort = (nextPort + 1) % PORT_COUNT;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

async function isPortFree(port: number): Promise<boolean> {
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
