/**
 * Settings, faults and counters of the endpoint stand-in.
 *
 * @module
 */
import { ENDPOINT_ROLE } from "@sardinestep/types";
import { z } from "zod";
import { OUTAGE } from "./fake_server.ts";

const DEFAULT_MAX_WAITING = 1024;
const DEFAULT_RECOVER_MS = 300;
/** A full batch takes this much longer than a single call. */
const DEFAULT_BATCH_SLOWDOWN = 0.5;
/** Service times spread this far to either side. */
const DEFAULT_JITTER = 0.1;
const DEFAULT_PREFIX_CACHE = 32;
const DEFAULT_ORDER_MS = 100;

const durationSchema = z.number().nonnegative();
const countSchema = z.number().int().nonnegative();

/** Settings of one endpoint stand-in. */
export const endpointSettingsSchema = z.strictObject({
  listen: z.string(),
  endpointId: z.string(),
  service: z.string().default("service"),
  role: z.enum(ENDPOINT_ROLE).default(ENDPOINT_ROLE.service),
  zone: z.string().default("zone"),
  coldConcurrency: z.number().int().positive().default(1),
  warmConcurrency: z.number().int().positive().default(8),
  /** Service time of a call of its own; of a stream before its first part. */
  serviceMs: durationSchema.default(10),
  /** Parts of a stream. */
  tokens: countSchema.default(16),
  partMs: durationSchema.default(2),
  /** Warm after so long; with neither field it is warm from the start. */
  coldMs: durationSchema.optional(),
  /** Warm after so many finished calls. */
  callsToWarm: countSchema.optional(),
  /** How long it refuses after it fell over. */
  recoverMs: durationSchema.default(DEFAULT_RECOVER_MS),
  /** Whether it refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(true),
  reportLagMs: durationSchema.default(0),
  seed: z.number().int().default(1),
  maxWaiting: countSchema.default(DEFAULT_MAX_WAITING),
  batchSlowdown: durationSchema.default(DEFAULT_BATCH_SLOWDOWN),
  jitter: z.number().min(0).max(1).default(DEFAULT_JITTER),
  prefixCacheSize: countSchema.default(DEFAULT_PREFIX_CACHE),
  /** How long an order takes to be in force. */
  orderMs: durationSchema.default(DEFAULT_ORDER_MS),
});
export type FakeEndpointOptions = z.input<typeof endpointSettingsSchema>;
export type EndpointSettings = z.infer<typeof endpointSettingsSchema>;

/** Faults of the endpoint stand-in; a field that is left out stays as it is. */
export const endpointFaultsSchema = z.strictObject({
  outage: z.enum(OUTAGE).optional(),
  slowFactor: z.number().positive().optional(),
  /** So many next calls run and then fail. */
  fail: countSchema.optional(),
  /** So many next calls are refused before they run. */
  refuse: countSchema.optional(),
  /** So many next calls are refused with status 429. */
  rateLimit: countSchema.optional(),
  /** So many next answers are lost after the call ran. */
  loseAnswer: countSchema.optional(),
  /** Held back between the end of a run and its answer. */
  delayMs: durationSchema.optional(),
  /** Breaks a stream after so many parts; null switches it off. */
  cutStreamAfter: countSchema.nullable().optional(),
  duplicateParts: z.boolean().optional(),
  reorderParts: z.boolean().optional(),
  /** Parts of another call come in between; whole answers are another's. */
  foreignParts: z.boolean().optional(),
  endWithoutLast: z.boolean().optional(),
  /** Whether the stream faults hit resumed streams too. */
  faultResumes: z.boolean().optional(),
  leaving: z.boolean().optional(),
  /** Done once: open connections go silent for good, new ones work. */
  silentConnections: z.boolean().optional(),
  /** Done once: all running calls are lost, it comes back cold. */
  restart: z.boolean().optional(),
  /** Done once: it turns cold without a restart. */
  turnCold: z.boolean().optional(),
});
export type EndpointFaults = z.infer<typeof endpointFaultsSchema>;

/** Faults that stay switched on. */
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

/** Creates faults that are all off. */
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

/** What the endpoint stand-in counted since it was started. */
export interface FakeEndpointCounters {
  calls: number;
  finished: number;
  failed: number;
  refused: number;
  cancelled: number;
  resumed: number;
  lostAnswers: number;
  /** Times that more calls came at once than a cold endpoint bears. */
  fellOver: number;
  maxConcurrent: number;
  maxConcurrentWhileCold: number;
  prefixHits: number;
  restarts: number;
  ordersAccepted: number;
  ordersRefused: number;
  /** Calls that came after `leaving` was set. */
  callsWhileLeaving: number;
  /** When the last of them came, in milliseconds after it was set. */
  lastCallAfterLeavingMs: number;
  /** When the last call came, in milliseconds since the Unix epoch. */
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
