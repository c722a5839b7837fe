/**
 * The platform's rate-limited weight store.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** What the store knows of a model's weights. */
export interface WeightInfo {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

/** The state of the store's rate limit. */
export interface WeightStoreLoad {
  readonly bytesPerSecond: number;
  readonly loadsRunning: number;
}

/** Asks the store; weights themselves go from the store to the engines. */
export interface WeightStorePort {
  describe(
    model: string,
    timeoutMs: number,
  ): Promise<Result<WeightInfo, PortError>>;
  readLoad(timeoutMs: number): Promise<Result<WeightStoreLoad, PortError>>;
  close(): Promise<void>;
}
