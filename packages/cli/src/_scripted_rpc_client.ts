/**
 * An RPC client for tests that answers from a script.
 *
 * @module
 */
import type * as rpc from "@sardinestep/rpc";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Err, Ok, type Result } from "ts-results-es";
import type { RpcClient } from "./context.ts";
import { runProgram } from "./program.ts";
import type { Printout } from "./report.ts";

/** The outcome of a call: an answer, or the kind of the RPC error. */
export type Answer = { readonly ok: unknown } | rpc.RpcErrorKind;

/** Answers by `address method`; the last one is repeated. */
export type Script = Readonly<Record<string, readonly Answer[]>>;

/** A call that was made. */
export interface RecordedCall {
  readonly address: string;
  readonly method: rpc.MethodName;
  readonly params: unknown;
}

/** Answers from a script; calls that it does not list fail as not sent. */
export class ScriptedRpcClient implements RpcClient {
  readonly calls: RecordedCall[] = [];
  readonly #script: Script;
  readonly #usedAnswers = new Map<string, number>();

  constructor(script: Script) {
    this.#script = script;
  }

  /** Returns the calls of one method, in order. */
  getCalls(method: rpc.MethodName): RecordedCall[] {
    return this.calls.filter((call) => call.method === method);
  }

  call<M extends rpc.MethodName>(
    address: string,
    method: M,
    params: rpc.Methods[M]["params"],
  ): Promise<Result<rpc.Methods[M]["result"], rpc.RpcError>> {
    this.calls.push({ address, method, params });
    const answer = this.#getNextAnswer(`${address} ${method}`);
    if (typeof answer !== "string") {
      return Promise.resolve(Ok(answer.ok as rpc.Methods[M]["result"]));
    }
    return Promise.resolve(
      Err({ kind: answer, message: `Scripted ${answer}` }),
    );
  }

  #getNextAnswer(name: string): Answer {
    const answers = this.#script[name] ?? ["not_sent"];
    const used = this.#usedAnswers.get(name) ?? 0;
    this.#usedAnswers.set(name, used + 1);
    return answers[Math.min(used, answers.length - 1)];
  }
}

/** Control processes that the tests' settings name. */
export const CONTROLS = ["127.0.0.1:7001", "127.0.0.1:7002"] as const;

/** The output of one run of the program and the calls that it made. */
export interface ProgramRun extends Printout {
  readonly progress: readonly string[];
  readonly rpcClient: ScriptedRpcClient;
}

/** Runs the program with files in a temporary folder, which `remove` deletes. */
export class ProgramFixture {
  readonly folder = mkdtempSync(join(tmpdir(), "sardinestep-cli-"));

  /** Writes a JSON file and returns its path. */
  write(name: string, value: unknown): string {
    const path = join(this.folder, name);
    writeFileSync(path, JSON.stringify(value));
    return path;
  }

  /** Runs the program against a script, with a settings file that lists `controls`. */
  async run(
    argv: readonly string[],
    script: Script = {},
    controls: readonly string[] = CONTROLS,
  ): Promise<ProgramRun> {
    const file = this.write("cli.json", { controls });
    const isVersionFlag = argv[0] === "--version";
    const rpcClient = new ScriptedRpcClient(script);
    const progress: string[] = [];
    let recordCount = 0;
    const printout = await runProgram(
      isVersionFlag ? argv : [...argv, "--settings", file],
      {
        rpcClient,
        author: "anna@console",
        createRecordId: () => `record-${recordCount += 1}`,
        printProgress: (line) => progress.push(line),
      },
    );
    return { ...printout, progress, rpcClient };
  }

  /** Removes the folder. */
  remove(): void {
    rmSync(this.folder, { recursive: true });
  }
}

/** Builds a small valid configuration. */
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

/** Builds a control process's answer with the configuration in force. */
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
