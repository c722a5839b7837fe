/**
 * Reads the example deployments.
 *
 * @module
 */
import type * as testbed from "@sardinestep/testbed";
import { readFileSync } from "node:fs";

/** A deployment and the requests to send to it. */
export interface Example {
  readonly name: string;
  readonly plan: testbed.DeploymentPlan;
  readonly requests: readonly testbed.PlannedRequest[];
}

/**
 * Reads one example.
 *
 * @param name Folder under `examples/`.
 * @returns Its deployment, configuration and requests.
 */
export function readExample(name: string): Example {
  const read = (file: string) =>
    JSON.parse(readFileSync(`examples/${name}/${file}.json`, "utf8"));
  const { vms, workers } = read("deployment");
  const configuration = read("configuration");
  return {
    name,
    plan: { vms, workers, configuration },
    requests: read("requests"),
  };
}
