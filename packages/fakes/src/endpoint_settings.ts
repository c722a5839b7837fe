/**
 * Settings, faults and counters of a fake endpoint.
 *
 * @module
 */
import { ENDPOINT_ROLE } from "@sardinestep/types";
import { z } from "zod";
import { OUTAGE } from "./fake_server.ts";

const DEFAULT_MAX_WAITING = 1024;
const DEFAULT_RECOVERY_MS = 300;
/** Share by which a full batch is slower than a single call. */
const DEFAULT_BATCH_SLOWDOWN = 0.5;
/** Service times vary by this share up and down. */
const DEFAULT_JITTER = 0.1;
const DEFAULT_PREFIX_CACHE_SIZE = 32;
const DEFAULT_ORDER_MS = 100;

const durationSchema = z.number().nonnegative();
const countSchema = z.number().int().nonnegative();

/** Settings of one fake endpoint. */
export const endpointSettingsSchema = z.strictObject({
  listen: z.string(),
  endpointId: z.string(),
  service: z.string().default("service"),
  role: z.enum(ENDPOINT_ROLE).default(ENDPOINT_ROLE.service),
  zone: z.string().default("zone"),
  coldConcurrency: z.number().int().positive().default(1),
  warmConcurrency: z.number().int().positive().default(8),
  /** Service time of a single call, or of a stream until its first part. */
  serviceMs: durationSchema.default(10),
  /** Number of parts of a stream. */
  tokens: countSchema.default(16),
  partMs: durationSchema.default(2),
  /** Warm after this time; without this and `callsToWarm`, warm at the start. */
  coldMs: durationSchema.optional(),
  /** Warm after this number of finished calls. */
  callsToWarm: countSchema.optional(),
  /** How long it refuses calls after an overload. */
  recoverMs: durationSchema.default(DEFAULT_RECOVERY_MS),
  /** Whether it refuses orders with a lower fencing number than before. */
  checksFencing: z.boolean().default(true),
  reportLagMs: durationSchema.default(0),
  seed: z.number().int().default(1),
  maxWaiting: countSchema.default(DEFAULT_MAX_WAITING),
  batchSlowdown: durationSchema.default(DEFAULT_BATCH_SLOWDOWN),
  jitter: z.number().min(0).max(1).default(DEFAULT_JITTER),
  prefixCacheSize: countSchema.default(DEFAULT_PREFIX_CACHE_SIZE),
  /** Time until a changed order takes effect. */
  orderMs: durationSchema.default(DEFAULT_ORDER_MS),
});
export type FakeEndpointOptions = z.input<typeof endpointSettingsSchema>;
export type EndpointSettings = z.infer<typeof endpointSettingsSchema>;

/** Faults of a fake endpoint; omitted fields stay unchanged. */
export const endpointFaultsSchema = z.strictObject({
  outage: z.enum(OUTAGE).optional(),
  slowFactor: z.number().positive().optional(),
  /** Number of next calls that run and then fail. */
  fail: countSchema.optional(),
  /** Number of next calls that are refused before they run. */
  refuse: countSchema.optional(),
  /** Number of next calls that are refused with status 429. */
  rateLimit: countSchema.optional(),
  /** Number of next answers that are lost after the call ran. */
  loseAnswer: countSchema.optional(),
  /** Delay between the end of a run and its answer. */
  delayMs: durationSchema.optional(),
  /** Drops a stream after this number of parts; null switches it off. */
  cutStreamAfter: countSchema.nullable().optional(),
  duplicateParts: z.boolean().optional(),
  reorderParts: z.boolean().optional(),
  /** Inserts parts of another call; plain answers carry another call id. */
  foreignParts: z.boolean().optional(),
  endWithoutLast: z.boolean().optional(),
  /** Whether the stream faults also apply to resumed streams. */
  faultResumes: z.boolean().optional(),
  leaving: z.boolean().optional(),
  /** Once: stops all traffic on open connections; new ones work. */
  silentConnections: z.boolean().optional(),
  /** Once: loses all running calls and starts cold. */
  restart: z.boolean().optional(),
  /** Once: turns cold without a restart. */
  turnCold: z.boolean().optional(),
});
export type EndpointFaults = z.infer<typeof endpointFaultsSchema>;

/** Current values of the lasting faults. */
export interface ActiveFaults {
  slowFactor: number;
  fail: number;
  refuse: number;
  rateLimit: number;
  loseAnswer: number;
  delayMs: number;
  cutStreamAfter: number | null;
  duplicateParts: boolean;
  reorderParts: boolean;
  foreignParts: boolean;
  endWithoutLast: boolean;
  faultResumes: boolean;
  leaving: boolean;
}

/** Creates faults that are all switched off. */
export function createActiveFaults(): ActiveFaults {
  return {
    slowFactor: 1,
    fail: 0,
    refuse: 0,
    rateLimit: 0,
    loseAnswer: 0,
    delayMs: 0,
    cutStreamAfter: null,
    duplicateParts: false,
    reorderParts: false,
    foreignParts: false,
    endWithoutLast: false,
    faultResumes: false,
    leaving: false,
  };
}

/** Counters of a fake endpoint since its process started. */
export interface FakeEndpointCounters {
  calls: number;
  finished: number;
  failed: number;
  refused: number;
  cancelled: number;
  resumed: number;
  lostAnswers: number;
  /** Overloads: times that a cold endpoint got more concurrent calls than its limit. */
  fellOver: number;
  maxConcurrent: number;
  maxConcurrentWhileCold: number;
  prefixHits: number;
  restarts: number;
  ordersAccepted: number;
  ordersRefused: number;
  /** Calls received after `leaving` was set. */
  callsWhileLeaving: number;
  /** Arrival of the last of these, in milliseconds after `leaving` was set. */
  lastCallAfterLeavingMs: number;
  /** Arrival of the last call, in milliseconds since the Unix epoch. */
  lastCallAt: number;
}

/** Creates counters at zero. */
export function createEndpointCounters(): FakeEndpointCounters {
  return {
    calls: 0,
    finished: 0,
    failed: 0,
    refused: 0,
    cancelled: 0,
    resumed: 0,
    lostAnswers: 0,
    fellOver: 0,
    maxConcurrent: 0,
    maxConcurrentWhileCold: 0,
    prefixHits: 0,
    restarts: 0,
    ordersAccepted: 0,
    ordersRefused: 0,
    callsWhileLeaving: 0,
    lastCallAfterLeavingMs: 0,
    lastCallAt: 0,
  };
}
