/**
 * A small deployment for proofs: three failure domains, one VM and few workers
 * in each.
 *
 * @module
 */
import type * as testbed from "@sardinestep/testbed";
import { createHash } from "node:crypto";
import * as uuid from "uuid";

/** Failure domains of the small deployment. */
export const ZONES = ["zone-a", "zone-b", "zone-c"] as const;
const SITE = "yard";
const CUSTOMER = "sawmill";
const CREDENTIAL = "proof";

/** Proofs must not wait for the long defaults. */
const ENTRY_SETTINGS = {
  leaveNoticeMs: 300,
  listLagMs: 200,
  longestCallMs: 1_000,
};
const CONTROL_SETTINGS = {
  appendsPerSecond: 100,
  vmListIntervalMs: 300,
  loadIntervalMs: 200,
};

const ISSUE = {
  name: "issue",
  service: "tickets",
  billable: true,
  repeatable: false,
  operation: "issue-ticket",
  expectedMs: 10,
};
const ENCODE = {
  name: "encode",
  service: "encoders",
  billable: true,
  repeatable: true,
  expectedMs: 10,
};
const DRAFT = {
  name: "draft",
  service: "drafters",
  billable: true,
  repeatable: true,
  expectedMs: 40,
};
const LOOK_UP = {
  name: "look-up",
  service: "tickets",
  billable: false,
  repeatable: true,
  operation: "look-up-ticket",
  expectedMs: 10,
};

/** The configuration that proofs publish first. */
export const CONFIGURATION = {
  base: {
    services: {
      tickets: { role: "service" },
      encoders: { role: "encoder" },
      drafters: { role: "generator" },
    },
    pipelines: {
      issue: {
        requestClass: "single",
        defaultDeadlineMs: 4_000,
        stages: [ISSUE],
      },
      "scaled-issue": {
        requestClass: "single",
        defaultDeadlineMs: 6_000,
        stages: [ENCODE, DRAFT, ISSUE],
      },
      lookup: {
        requestClass: "lookup",
        defaultDeadlineMs: 2_000,
        stages: [LOOK_UP],
      },
      draft: {
        requestClass: "draft",
        defaultDeadlineMs: 6_000,
        stages: [ENCODE, DRAFT],
      },
    },
    customers: {
      [CUSTOMER]: {
        weight: 1,
        maxConcurrency: 300,
        credentialSha256: createHash("sha256").update(CREDENTIAL).digest("hex"),
      },
    },
  },
  sites: {
    [SITE]: {
      zones: [...ZONES],
      offers: ["issue", "scaled-issue", "lookup", "draft"],
    },
  },
  zonesOut: [] as string[],
};

/** What a proof changes of the small deployment. */
export interface SmallPlanOptions {
  readonly vms?: number;
  readonly workers?: Readonly<Record<string, unknown>>;
  /** Time of a call that the configuration expects of every stage. */
  readonly expectedMs?: number;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  readonly logSettings?: Readonly<Record<string, unknown>>;
  readonly vmListLagMs?: number;
}

/**
 * Builds the small deployment.
 *
 * @param options What to change.
 * @returns The plan.
 */
export function buildSmallPlan(
  options: SmallPlanOptions = {},
): testbed.DeploymentPlan {
  const vms = Array.from({ length: options.vms ?? 3 }, (_, index) => ({
    vmId: `vm-${index + 1}`,
    zone: ZONES[index % ZONES.length] ?? "",
    site: SITE,
  }));
  const workers = ZONES.flatMap((zone, index) => [
    buildWorker("tickets", "service", { zone, index, options }),
    buildWorker("encoders", "encoder", { zone, index, options }),
    buildWorker("drafters", "generator", { zone, index, options }),
  ]);
  return {
    vms,
    workers,
    configuration: buildConfiguration(options.expectedMs),
    entrySettings: { ...ENTRY_SETTINGS, ...options.entrySettings },
    controlSettings: { ...CONTROL_SETTINGS, ...options.controlSettings },
    logSettings: options.logSettings,
    vmListLagMs: options.vmListLagMs,
  };
}

function buildConfiguration(expectedMs: number | undefined): unknown {
  if (expectedMs === undefined) return CONFIGURATION;
  const pipelines = Object.entries(CONFIGURATION.base.pipelines).map(
    ([name, pipeline]) => {
      const stages = pipeline.stages.map((stage) => ({ ...stage, expectedMs }));
      return [name, { ...pipeline, stages }];
    },
  );
  const base = {
    ...CONFIGURATION.base,
    pipelines: Object.fromEntries(pipelines),
  };
  return { ...CONFIGURATION, base };
}

function buildWorker(
  service: string,
  role: "service" | "encoder" | "generator",
  of: { zone: string; index: number; options: SmallPlanOptions },
): testbed.PlannedWorker {
  return {
    endpointId: `${service}-${of.index + 1}`,
    service,
    role,
    zone: of.zone,
    coldConcurrency: 2,
    warmConcurrency: 24,
    serviceMs: 10,
    tokens: 8,
    partMs: 3,
    seed: of.index + 1,
    ...of.options.workers,
  };
}

/** Pipelines of the small deployment. */
export type SmallPipeline = keyof typeof CONFIGURATION.base.pipelines;

/**
 * Builds a request of the small deployment.
 *
 * @param pipeline Which pipeline.
 * @param turn Makes its input differ from others.
 * @param deadlineMs Its deadline; the pipeline's own by default.
 * @returns The request.
 */
export function buildRequest(
  pipeline: SmallPipeline,
  turn: number,
  deadlineMs?: number,
): testbed.PlannedRequest {
  const spec = CONFIGURATION.base.pipelines[pipeline];
  return {
    name: `${pipeline} ${turn}`,
    customer: CUSTOMER,
    credential: CREDENTIAL,
    pipeline,
    body: { input: { truck: turn } },
    deadlineMs: deadlineMs ?? spec.defaultDeadlineMs,
    needsKey: spec.requestClass === "single",
  };
}

/** Headers that identify the customer of the small deployment. */
export const CUSTOMER_HEADERS = {
  "x-customer": CUSTOMER,
  authorization: `Bearer ${CREDENTIAL}`,
  "content-type": "application/json",
};

/** Creates a key whose time is now, or that many milliseconds ago. */
export function createKey(ageMs = 0): string {
  return uuid.v7({ msecs: Date.now() - ageMs });
}

/**
 * Takes keys from an entry beforehand.
 *
 * @param url The entry.
 * @param count How many.
 * @returns The keys.
 */
export async function mintKeys(url: string, count: number): Promise<string[]> {
  const answer = await fetch(`${url}/v1/keys`, {
    method: "POST",
    headers: CUSTOMER_HEADERS,
    body: JSON.stringify({ count }),
  });
  const { keys } = await answer.json() as { keys: string[] };
  return keys;
}

/** Entries in an order that begins with one of them. */
export function rotateUrls(
  deployment: testbed.Deployment,
  first: number,
): string[] {
  const urls = deployment.vms.map((vm) => vm.url);
  const start = first % urls.length;
  return [...urls.slice(start), ...urls.slice(0, start)];
}
