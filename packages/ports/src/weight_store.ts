/**
 * Port to the platform's rate-limited weight store.
 *
 * @module
 */
import type { Result } from "ts-results-es";
import type { PortError } from "./error.ts";

/** Metadata of a model's weights. */
export interface WeightInfo {
  readonly model: string;
  readonly version: string;
  readonly bytes: number;
}

/** Rate limit and current load of the store. */
export interface WeightStoreLoad {
  readonly bytesPerSecond: number;
  readonly loadsRunning: number;
}

/** Reads metadata; engines load the weights directly from the store. */
export interface WeightStorePort {
  describe(
    model: string,
    timeoutMs: number,
  ): Promise<Result<WeightInfo, PortError>>;
  readLoad(timeoutMs: number): Promise<Result<WeightStoreLoad, PortError>>;
  close(): Promise<void>;
}
