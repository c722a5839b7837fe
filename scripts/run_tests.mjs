/**
 * Runs the test suites one after the other: tests in which a crowd of callers loads a
 * program need the machine for themselves.
 */
import { spawnSync } from "node:child_process";

const SUITES = [
  ["mocha", "--parallel", "--jobs", "4"],
  ["mocha", "--config", ".mocharc.crowd.json"],
];

const statuses = SUITES.map(([command, ...args]) =>
  spawnSync(command, args, { stdio: "inherit" }).status
);
process.exitCode = statuses.every((status) => status === 0) ? 0 : 1;
