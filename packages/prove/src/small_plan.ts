/**
 * A small deployment for proofs: three failure domains with one VM and a few
 * workers each.
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

/** Shorter than the defaults, which would slow the proofs down. */
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
const LOOKUP = {
  name: "look-up",
  service: "tickets",
  billable: false,
  repeatable: true,
  operation: "look-up-ticket",
  expectedMs: 10,
};

/** Initial configuration of the small deployment. */
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
        stages: [LOOKUP],
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

/** Overrides of the small deployment. */
export interface SmallPlanOptions {
  readonly vms?: number;
  readonly workers?: Readonly<Record<string, unknown>>;
  /** Expected call duration that the configuration states for every stage. */
  readonly expectedMs?: number;
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly controlSettings?: Readonly<Record<string, unknown>>;
  readonly logSettings?: Readonly<Record<string, unknown>>;
  readonly vmListLagMs?: number;
}

/**
 * Builds the plan of the small deployment.
 *
 * @param options Values that replace the defaults.
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
  context: { zone: string; index: number; options: SmallPlanOptions },
): testbed.PlannedWorker {
  return {
    endpointId: `${service}-${context.index + 1}`,
    service,
    role,
    zone: context.zone,
    coldConcurrency: 2,
    warmConcurrency: 24,
    serviceMs: 10,
    tokens: 8,
    partMs: 3,
    seed: context.index + 1,
    ...context.options.workers,
  };
}

/** Pipelines of the small deployment. */
export type SmallPipeline = keyof typeof CONFIGURATION.base.pipelines;

/**
 * Builds a request to the small deployment.
 *
 * @param pipeline Pipeline to call.
 * @param index Number that makes the input unique.
 * @param deadlineMs Deadline; defaults to the pipeline's `defaultDeadlineMs`.
 * @returns The request.
 */
export function buildRequest(
  pipeline: SmallPipeline,
  index: number,
  deadlineMs?: number,
): testbed.PlannedRequest {
  const spec = CONFIGURATION.base.pipelines[pipeline];
  return {
    name: `${pipeline} ${index}`,
    customer: CUSTOMER,
    credential: CREDENTIAL,
    pipeline,
    body: { input: { truck: index } },
    deadlineMs: deadlineMs ?? spec.defaultDeadlineMs,
    needsKey: spec.requestClass === "single",
  };
}

/** Headers that authenticate the customer of the small deployment. */
export const CUSTOMER_HEADERS = {
  "x-customer": CUSTOMER,
  authorization: `Bearer ${CREDENTIAL}`,
  "content-type": "application/json",
};

/** Creates an idempotency key with a timestamp `ageMs` in the past. */
export function createKey(ageMs = 0): string {
  return uuid.v7({ msecs: Date.now() - ageMs });
}

/**
 * Requests minted keys from an entry.
 *
 * @param url URL of the entry.
 * @param count Number of keys.
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

/** Lists the URLs of all entries, rotated to begin with entry `first`. */
export function rotateUrls(
  deployment: testbed.Deployment,
  first: number,
): string[] {
  const urls = deployment.vms.map((vm) => vm.url);
  const start = first % urls.length;
  return [...urls.slice(start), ...urls.slice(0, start)];
}
