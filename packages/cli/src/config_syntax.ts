/**
 * The syntax of `sardinestep config`.
 *
 * @module
 */
import * as cmd from "cmd-ts";
import * as args from "./arguments.ts";
import * as config from "./config_commands.ts";
import type { Environment } from "./context.ts";
import { type Answer, runWithContext } from "./run_command.ts";

/** Builds the commands about the configuration. */
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
        description: "name every fault of a configuration; asks no process",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (it): Answer => ({
          report: config.checkConfiguration(it.file),
          json: it.json,
        }),
      }),
      compose: cmd.command({
        name: "compose",
        description: "print a folder as one whole configuration",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (it): Answer => ({
          report: config.buildWhole(it.file),
          json: it.json,
        }),
      }),
      diff: cmd.command({
        name: "diff",
        description: "compare a configuration with the one in force",
        args: { ...args.COMMON_OPTIONS, file },
        handler: (it) =>
          runWithContext(
            environment,
            it,
            (context) => config.compareWithInForce(context, it.file),
          ),
      }),
      publish: cmd.command({
        name: "publish",
        description: "bring a configuration in force at every site",
        args: {
          ...args.COMMON_OPTIONS,
          file,
          note: args.createOption("note", "why, for the history"),
          author: args.createOption("author", "who publishes"),
          base: args.createVersion(
            "base",
            "the version you edited; another one in force refuses yours",
          ),
        },
        handler: (it) =>
          runWithContext(
            environment,
            it,
            (context) =>
              config.sendConfiguration(context, it.file, {
                note: it.note ?? "",
                author: it.author ?? environment.author,
                base: it.base,
              }),
          ),
      }),
      show: cmd.command({
        name: "show",
        description: "show the configuration in force",
        args: {
          ...args.COMMON_OPTIONS,
          version: args.createVersion(
            "version",
            "refuse unless it is in force",
          ),
        },
        handler: (it) =>
          runWithContext(
            environment,
            it,
            (context) => config.readInForce(context, it.version),
          ),
      }),
      history: cmd.command({
        name: "history",
        description: "list every published record and its verdict",
        args: args.COMMON_OPTIONS,
        handler: (it) =>
          runWithContext(
            environment,
            it,
            (context) => config.readHistory(context),
          ),
      }),
    },
  });
}
