/**
 * The command-line syntax of the program.
 *
 * @module
 */
import * as cmd from "cmd-ts";
import * as args from "./arguments.ts";
import * as code from "./code_commands.ts";
import { buildConfigCommands } from "./config_syntax.ts";
import type { Environment } from "./context.ts";
import * as explain from "./explain_commands.ts";
import * as claims from "./claim_commands.ts";
import * as report from "./report_commands.ts";
import * as rollout from "./rollout_commands.ts";
import * as settings from "./settings_commands.ts";
import { type CommandResult, runWithContext } from "./run_command.ts";
import * as watch from "./watch_commands.ts";
import * as zone from "./zone_commands.ts";

/** Version of the program; a test checks that it equals the package's version. */
export const VERSION = "0.1.0";

/** Arguments that `zone out` and `zone in` share. */
const ZONE_ARGUMENTS = {
  ...args.COMMON_OPTIONS,
  zone: args.createArgument("ZONE", "the failure domain"),
  author: args.createTextOption("author", "author of the change"),
};

function buildZoneOut(environment: Environment) {
  return cmd.command({
    name: "out",
    description: "take a zone out of service: it receives no new work",
    args: {
      ...ZONE_ARGUMENTS,
      evenLast: cmd.flag({
        long: "even-last",
        description: "even if its site has no other zone in service",
      }),
    },
    handler: (parsed) =>
      runWithContext(
        environment,
        parsed,
        (context) =>
          zone.setZoneState(context, parsed.zone, {
            state: "out",
            author: parsed.author ?? environment.author,
            evenLast: parsed.evenLast,
          }),
      ),
  });
}

function buildZoneIn(environment: Environment) {
  return cmd.command({
    name: "in",
    description:
      "bring a zone back into service: its load is raised step by step",
    args: ZONE_ARGUMENTS,
    handler: (parsed) =>
      runWithContext(
        environment,
        parsed,
        (context) =>
          zone.setZoneState(context, parsed.zone, {
            state: "in",
            author: parsed.author ?? environment.author,
          }),
      ),
  });
}

function buildZoneCommands(environment: Environment) {
  return cmd.subcommands({
    name: "zone",
    description: "take a failure domain out of service, or bring it back",
    cmds: { out: buildZoneOut(environment), in: buildZoneIn(environment) },
  });
}

function buildClaimCommands(environment: Environment) {
  return cmd.subcommands({
    name: "claims",
    description: "claims on calls that may not be repeated",
    cmds: {
      show: cmd.command({
        name: "show",
        description: "show the claims on an idempotency key",
        args: {
          ...args.COMMON_OPTIONS,
          key: args.createArgument("KEY", "the Idempotency-Key"),
          customer: args.createTextOption(
            "customer",
            "customer that the key belongs to",
          ),
        },
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) =>
              claims.readClaims(context, parsed.key, parsed.customer),
          ),
      }),
    },
  });
}

function buildEndpointsCommand(environment: Environment) {
  return cmd.command({
    name: "endpoints",
    description: "list endpoints, their state and load",
    args: {
      ...args.COMMON_OPTIONS,
      zone: args.createTextOption("zone", "only of this failure domain"),
      service: args.createTextOption("service", "only of this service"),
    },
    handler: (parsed) =>
      runWithContext(
        environment,
        parsed,
        (context) => watch.readEndpoints(context, parsed),
      ),
  });
}

function buildTimelineCommand(environment: Environment) {
  return cmd.command({
    name: "timeline",
    description: "list the events of all processes that answer, in one order",
    args: {
      ...args.COMMON_OPTIONS,
      key: args.createTextOption("key", "only of this Idempotency-Key"),
      request: args.createTextOption("request", "only of this request id"),
      endpoint: args.createTextOption("endpoint", "only of this endpoint"),
      zone: args.createTextOption("zone", "only of this failure domain"),
      from: args.createTimeOption("from", "earliest time of an event"),
      until: args.createTimeOption("until", "latest time of an event"),
    },
    handler: (parsed) =>
      runWithContext(
        environment,
        parsed,
        (context) =>
          watch.readTimeline(context, {
            key: parsed.key,
            requestId: parsed.request,
            endpointId: parsed.endpoint,
            zone: parsed.zone,
            fromMs: parsed.from,
            untilMs: parsed.until,
          }),
      ),
  });
}

function buildExplainCommand() {
  return cmd.command({
    name: "explain",
    description:
      "show the log lines of a request in order, from log files of gateways",
    args: {
      json: args.COMMON_OPTIONS.json,
      requestId: args.createArgument("ID", "request id that the caller sent"),
      files: cmd.restPositionals({
        displayName: "FILE",
        description: "log files of one or more processes",
        type: cmd.string,
      }),
    },
    handler: (parsed): CommandResult => ({
      report: explain.explainRequest(parsed.requestId, parsed.files),
      json: parsed.json,
    }),
  });
}

function buildRolloutCommand() {
  return cmd.command({
    name: "rollout",
    description: "show the steps of a service's roll-outs, from log files",
    args: {
      json: args.COMMON_OPTIONS.json,
      service: args.createArgument(
        "SERVICE",
        "service that the roll-out order names",
      ),
      files: cmd.restPositionals({
        displayName: "FILE",
        description: "log files of one or more gateways",
        type: cmd.string,
      }),
    },
    handler: async (parsed): Promise<CommandResult> => ({
      report: await rollout.explainRollout(parsed),
      json: parsed.json,
    }),
  });
}

function buildReportCommand() {
  return cmd.command({
    name: "report",
    description:
      "summarize load, outcomes and bottlenecks of a site, from log files of gateways",
    args: {
      json: args.COMMON_OPTIONS.json,
      page: cmd.option({
        long: "page",
        type: cmd.optional(cmd.string),
        description: "also write an HTML page with plots to this file",
      }),
      files: cmd.restPositionals({
        displayName: "FILE",
        description: "log files of one or more gateways",
        type: cmd.string,
      }),
    },
    handler: async (parsed): Promise<CommandResult> => ({
      report: await report.reportSite(parsed),
      json: parsed.json,
    }),
  });
}

function buildSettingsCommand() {
  return cmd.command({
    name: "settings",
    description: "compare the settings versions that gateways have applied",
    args: {
      json: args.COMMON_OPTIONS.json,
      addresses: cmd.restPositionals({
        displayName: "IP:PORT",
        description: "address at which a gateway serves its metrics",
        type: cmd.string,
      }),
    },
    handler: async (parsed): Promise<CommandResult> => ({
      report: await settings.compareSettings(parsed.addresses),
      json: parsed.json,
    }),
  });
}

/** Builds every command of the program. */
export function buildProgram(environment: Environment) {
  return cmd.subcommands({
    name: "sardinestep",
    version: VERSION,
    description:
      "operates a sardinestep system; docs/OPERATORS.md describes each task",
    cmds: {
      config: buildConfigCommands(environment),
      zone: buildZoneCommands(environment),
      endpoints: buildEndpointsCommand(environment),
      status: cmd.command({
        name: "status",
        description: "show the state of every process",
        args: args.COMMON_OPTIONS,
        handler: (parsed) =>
          runWithContext(
            environment,
            parsed,
            (context) => watch.readStatus(context),
          ),
      }),
      claims: buildClaimCommands(environment),
      timeline: buildTimelineCommand(environment),
      explain: buildExplainCommand(),
      report: buildReportCommand(),
      rollout: buildRolloutCommand(),
      settings: buildSettingsCommand(),
      codes: cmd.command({
        name: "codes",
        description: "list result codes and exit codes",
        args: args.COMMON_OPTIONS,
        handler: (parsed): CommandResult => ({
          report: code.buildCodes(),
          json: parsed.json,
        }),
      }),
    },
  });
}
