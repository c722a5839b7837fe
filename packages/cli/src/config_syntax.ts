/**
 * The command-line syntax of `sardinestep config`.
 *
 * @module
 */
import * as cmd from "cmd-ts";
import * as args from "./arguments.ts";
import * as config from "./config_commands.ts";
import type { Environment } from "./context.ts";
import { type CommandResult, runWithContext } from "./run_command.ts";

/** Builds the subcommands of `sardinestep config`. */
export function buildConfigCommands(environment: Environment) {
  const file = args.createArgument(
    "FILE",
    "a whole configuration, or a folder of base.json and sites/*.json",
  );
  return cmd.subcommands({
    name: "config",
    description: "check, compose, compare, publish and show the configuration",
    cmds: {
      check: cmd.command({
        name: "check",
        description: "list every fault of a configuration; calls no process",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (parsed): CommandResult => ({
          report: config.checkConfiguration(parsed.file),
          json: parsed.json,
        }),
      }),
      compose: cmd.command({
        name: "compose",
        description: "print a folder as one whole configuration",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (parsed): CommandResult => ({
          report: config.buildComposedConfiguration(parsed.file),
          json: parsed.json,
        }),
      }),
      diff: cmd.command({
        name: "diff",
        description: "compare a configuration with the one in force",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) => config.compareWithInForce(context, parsed.file),
          ),
      }),
      publish: cmd.command({
        name: "publish",
        description: "put a configuration in force at every site",
        args: {
          ...args.COMMON_OPTIONS,
          file,
          note: args.createTextOption(
            "note",
            "reason of the change, for the history",
          ),
          author: args.createTextOption("author", "author of the publication"),
          base: args.createVersionOption(
            "base",
            "version that was edited; refused if another one is in force",
          ),
        },
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) =>
              config.publishConfiguration(context, parsed.file, {
                note: parsed.note ?? "",
                author: parsed.author ?? environment.author,
                base: parsed.base,
              }),
          ),
      }),
      show: cmd.command({
        name: "show",
        description: "show the configuration in force",
        args: {
          ...args.COMMON_OPTIONS,
          version: args.createVersionOption(
            "version",
            "fail unless this version is in force",
          ),
        },
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) =>
              config.readConfigurationInForce(context, parsed.version),
          ),
      }),
      history: cmd.command({
        name: "history",
        description: "list every published record and its verdict",
        args: args.COMMON_OPTIONS,
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) => config.readHistory(context),
          ),
      }),
    },
  });
}
