/**
 * A caller for tests whose answers are written down beforehand.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Err, Ok, type Result } from "ts-results-es";
import type { Caller } from "./context.ts";
import { runProgram } from "./program.ts";
import type { Printout } from "./report.ts";

/** What a process does with a call: answers, or fails in one of the ways. */
export type Answer = { readonly ok: unknown } | rpc.RpcErrorKind;

/** Answers by `address method`; the last one is given again and again. */
export type Script = Readonly<Record<string, readonly Answer[]>>;

/** A call as it was made. */
export interface MadeCall {
  readonly address: string;
  readonly method: rpc.MethodName;
  readonly params: unknown;
}

/** Answers from a script; an address without one refuses the connection. */
export class ScriptedCaller implements Caller {
  readonly calls: MadeCall[] = [];
  readonly #script: Script;
  readonly #used = new Map<string, number>();

  constructor(script: Script) {
    this.#script = script;
  }

  /** Calls of one method, in order. */
  getCalls(method: rpc.MethodName): MadeCall[] {
    return this.calls.filter((call) => call.method === method);
  }

  call<M extends rpc.MethodName>(
    address: string,
    method: M,
    params: rpc.Methods[M]["params"],
  ): Promise<Result<rpc.Methods[M]["result"], rpc.RpcError>> {
    this.calls.push({ address, method, params });
    const answer = this.#getNext(`${address} ${method}`);
    if (typeof answer !== "string") {
      return Promise.resolve(Ok(answer.ok as rpc.Methods[M]["result"]));
    }
    return Promise.resolve(
      Err({ kind: answer, message: `Scripted ${answer}` }),
    );
  }

  #getNext(name: string): Answer {
    const answers = this.#script[name] ?? ["not_sent"];
    const used = this.#used.get(name) ?? 0;
    this.#used.set(name, used + 1);
    return answers[Math.min(used, answers.length - 1)];
  }
}

/** Control processes that the tests' settings name. */
export const CONTROLS = ["127.0.0.1:7001", "127.0.0.1:7002"] as const;

/** What one run of the program did. */
export interface Run extends Printout {
  readonly progress: readonly string[];
  readonly caller: ScriptedCaller;
}

/** Files that one test needs, in a folder that goes with it. */
export class Files {
  readonly folder = mkdtempSync(join(tmpdir(), "sardinestep-cli-"));

  /** Writes a JSON file and returns its path. */
  write(name: string, value: unknown): string {
    const path = join(this.folder, name);
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  /** Runs the program on a script, with settings for calls. */
  async run(
    argv: readonly string[],
    script: Script = {},
    controls: readonly string[] = CONTROLS,
  ): Promise<Run> {
    const file = this.write("cli.json", { controls });
    const isBare = argv[0] === "--version";
    const caller = new ScriptedCaller(script);
    const progress: string[] = [];
    let records = 0;
    const printout = await runProgram(
      isBare ? argv : [...argv, "--settings", file],
      {
        caller,
        author: "anna@console",
        createRecordId: () => `record-${records += 1}`,
        printProgress: (line) => progress.push(line),
      },
    );
    return { ...printout, progress, caller };
  }

  /** Removes the folder. */
  remove(): void {
    rmSync(this.folder, { recursive: true });
  }
}

/** A small valid configuration. */
export function buildConfiguration(zonesOut?: readonly string[]) {
  return {
    base: {
      pipelines: {
        lookup: {
          requestClass: "lookup",
          defaultDeadlineMs: 500,
          stages: [{
            name: "look-up",
            service: "tickets",
            billable: false,
            repeatable: true,
            operation: "look-up",
            expectedMs: 5,
          }],
        },
      },
      services: { tickets: { role: "service", checksFencing: false } },
      customers: {
        "mill-a": {
          weight: 3,
          maxConcurrency: 40,
          credentialSha256: "0".repeat(64),
        },
      },
    },
    sites: {
      yard: {
        zones: ["yard-a", "yard-b", "yard-c"],
        offers: ["lookup"],
        customers: {},
      },
    },
    ...(zonesOut ? { zonesOut } : {}),
  };
}

/** A configuration in force, as a control answers it. */
export function buildInForce(version: number, zonesOut: string[] = []): Answer {
  return {
    ok: {
      version,
      author: "bjarni@console",
      note: "evening",
      configuration: buildConfiguration(zonesOut),
    },
  };
}
