/**
 * Detects requests that crash endpoints, and refuses them.
 *
 * @module
 */
import * as codes from "@sardinestep/codes";
import type * as logger from "@sardinestep/logger";
import type * as metrics from "@sardinestep/metrics";
import * as quarantine from "@sardinestep/quarantine";
import type * as serving from "@sardinestep/serving";
import { match } from "ts-pattern";
import { type AttemptOutcome, STATUS_FAILURE_MIN } from "./attempt.ts";
import {
  type EndpointLoss,
  EndpointLossCollector,
  type LostRequest,
} from "./endpoint_losses.ts";
import { EVENT } from "./events.ts";
import type { SiteState } from "./site_state.ts";

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly site: SiteState;
  readonly events: logger.EventLog;
  readonly metrics: metrics.Metrics;
}

/** What a request is judged by. */
export interface QuarantineSubject {
  readonly fingerprint: quarantine.Fingerprint;
  readonly partKeys?: readonly quarantine.PartKey[];
}

/** Requests of one crash that a VM reports; the most recent ones are kept. */
const MAX_REPORTED_SUSPECTS = 16;
/** Moments of crashes from which requests with a part are not repeated. */
const MIN_SUSPECT_MOMENTS = 2;

/** Collects evidence from this VM and others, and quarantines requests. */
export class RequestQuarantine {
  /** Collects the requests of connections that endpoints closed. */
  readonly losses: EndpointLossCollector;
  readonly #options: RequestQuarantineOptions;
  readonly #log = new quarantine.CrashLog();
  #judgedCount = 0;
  #judgedVersion = 0;
  #suspectMoments: ReadonlyMap<quarantine.PartKey, number> = new Map();
  #suspectVersion = 0;

  /** @param options Site state, log and metrics. */
  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    this.losses = new EndpointLossCollector({
      ...options,
      handleLoss: (loss) => this.#recordCrash(loss),
    });
  }

  /** Returns why a request is refused; undefined if it may run. */
  check(
    { fingerprint, partKeys = [] }: QuarantineSubject,
  ): codes.Failure | undefined {
    const { quarantined } = this.#options.site;
    const unixMs = Date.now();
    const key = [fingerprint, ...partKeys]
      .find((subject) => quarantined.getRemainingMs(subject, unixMs) > 0);
    if (key === undefined) return undefined;
    const { crashes } = quarantined.find(key)!;
    const kind = quarantine.isPartKey(key)
      ? "requests with the same part of the prompt"
      : "an identical request";
    return codes.createFailure(
      "REQUEST_QUARANTINED",
      `Endpoints crashed ${crashes} times while running ${kind}`,
      { retryAfterMs: quarantined.getRemainingMs(key, unixMs) },
    );
  }

  /** Whether the request is an uncleared suspect of an endpoint's crash. */
  isSuspect(fingerprint: quarantine.Fingerprint): boolean {
    return this.#log.isSuspect(fingerprint);
  }

  /** Whether several crashes are suspected of a part of the request's prompt. */
  hasSuspectPart({ partKeys = [] }: QuarantineSubject): boolean {
    if (partKeys.length === 0) return false;
    const moments = this.#getSuspectMoments();
    return partKeys.some((part) =>
      (moments.get(part) ?? 0) >= MIN_SUSPECT_MOMENTS
    );
  }

  /** Records what the outcome of an attempt shows about its request. */
  recordOutcome(
    endpoint: serving.ServingEndpoint,
    outcome: AttemptOutcome,
    request: LostRequest,
  ): void {
    const { service, version } = endpoint;
    const { fingerprint, partKeys: parts } = request;
    match(outcome)
      .with(
        { kind: "streamed" },
        () => this.recordCompletion({ service, version, fingerprint, parts }),
      )
      .with({ kind: "answered" }, ({ answer }) => {
        // A failure may have been answered without reading the prompt.
        const hasWritten = answer.status < STATUS_FAILURE_MIN;
        const written = hasWritten ? { version, parts } : {};
        this.recordCompletion({ service, fingerprint, ...written });
      })
      .with(
        { kind: "lost", isDisconnect: true },
        () => this.losses.record(endpoint, [request]),
      )
      .with(
        { kind: "lost" },
        { kind: "notRun" },
        { kind: "notSent" },
        { kind: "superseded" },
        { kind: "ended" },
        () => {},
      )
      .exhaustive();
  }

  /** Records that an endpoint completed a request. */
  recordCompletion(completion: quarantine.Completion): void {
    this.#log.recordCompletion(completion, performance.now());
  }

  /** Records that an endpoint is alive. */
  recordAnswer(endpoint: serving.ServingEndpoint): void {
    this.#log.recordAnswer(getIncarnationId(endpoint), performance.now());
  }

  /** Returns updates for other VMs; undefined if there are none. */
  getUpdates(): readonly quarantine.CrashUpdate[] | undefined {
    return this.#log.getUpdates(performance.now());
  }

  /** Merges updates from another VM. */
  mergeUpdates(updates: readonly quarantine.CrashUpdate[]): void {
    this.#log.merge(updates, performance.now());
  }

  /** Quarantines requests based on the crashes whose evidence is complete. */
  update(): void {
    const crashes = this.#log.getSettled(performance.now());
    const isSame = this.#log.version === this.#judgedVersion &&
      crashes.length === this.#judgedCount;
    if (isSame) return;
    this.#judgedVersion = this.#log.version;
    this.#judgedCount = crashes.length;
    const unixMs = Date.now();
    const { quarantined } = this.#options.site;
    const onProbation = quarantined.getOnProbation(unixMs);
    const parts = quarantine.findPoisonParts({
      crashes,
      known: quarantined.getRefused(unixMs),
      onProbation,
      isAnswering: (crash) => this.#log.isAnswering(crash, performance.now()),
    });
    for (const { part, crashes } of parts) {
      this.#quarantine({ fingerprint: part, crashes }, unixMs);
    }
    const known = quarantined.getRefused(unixMs);
    const poison = quarantine.findPoisonRequests({
      crashes: crashes.filter((crash) =>
        !quarantine.isExplainedByPart(crash, known)
      ),
      known,
      onProbation,
    });
    for (const request of poison) this.#quarantine(request, unixMs);
  }

  #getSuspectMoments(): ReadonlyMap<quarantine.PartKey, number> {
    if (this.#suspectVersion !== this.#log.version) {
      this.#suspectVersion = this.#log.version;
      this.#suspectMoments = quarantine.countSuspectMoments(
        this.#log.getAll(),
      );
    }
    return this.#suspectMoments;
  }

  #quarantine(
    { fingerprint, crashes }: quarantine.PoisonRequest,
    unixMs: number,
  ): void {
    const { site, events } = this.#options;
    const entry = quarantine.buildQuarantineEntry(
      { fingerprint, crashes, sinceUnixMs: unixMs },
      site.quarantined.find(fingerprint),
    );
    site.quarantined.add(entry);
    events.write(EVENT.requestQuarantined, { ...entry, source: "evidence" });
  }

  #recordCrash({ endpoint, requests, at }: EndpointLoss): void {
    const suspects = [...requests]
      .sort((a, b) => a.ageMs - b.ageMs)
      .slice(0, MAX_REPORTED_SUSPECTS)
      .map(({ fingerprint, ageMs, partKeys }) => ({
        fingerprint,
        runMs: Math.round(ageMs),
        isCleared: false,
        parts: partKeys,
      }));
    this.#log.record({
      id: getIncarnationId(endpoint),
      service: endpoint.service,
      version: endpoint.version,
      at,
      suspects,
    }, performance.now());
  }
}

/** Identifies one start of an endpoint's process. */
function getIncarnationId({ id, bornMs }: serving.ServingEndpoint): string {
  return bornMs === undefined ? id : `${id}@${bornMs}`;
}
