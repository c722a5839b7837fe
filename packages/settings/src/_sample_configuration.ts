/**
 * A small valid configuration for this package's tests.
 *
 * @module
 */

const CREDENTIAL_SHA256 = "0".repeat(64);

/** Builds a new copy for each caller, so that tests can modify it. */
export function buildSample() {
  return {
    base: {
      pipelines: {
        drafts: {
          requestClass: "draft",
          defaultDeadlineMs: 10_000,
          stages: [
            buildStage("encode", "encoders"),
            buildStage("generate", "drafters"),
          ],
        },
        "ticket-issue": {
          requestClass: "single",
          defaultDeadlineMs: 2_000,
          stages: [{
            ...buildStage("issue", "tickets"),
            repeatable: false,
            operation: "issue",
          }],
        },
      },
      services: {
        encoders: { role: "encoder" },
        drafters: { role: "generator", checksFencing: true },
        tickets: { role: "service" },
      },
      customers: {
        "mill-a": {
          weight: 3,
          maxConcurrency: 40,
          credentialSha256: CREDENTIAL_SHA256,
        },
        "mill-b": {
          weight: 1,
          maxConcurrency: 10,
          credentialSha256: CREDENTIAL_SHA256,
        },
      },
    },
    sites: {
      yard: {
        zones: ["yard-a", "yard-b"],
        offers: ["drafts", "ticket-issue"],
        customers: { "mill-b": { maxConcurrency: 4 } },
      },
    },
    zonesOut: ["yard-b"],
  };
}

function buildStage(name: string, service: string) {
  return { name, service, billable: true, repeatable: true, expectedMs: 20 };
}
