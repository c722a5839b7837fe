/**
 * Fakes of the platform and the endpoints with switchable faults, for tests,
 * demo and benchmarks.
 *
 * @module
 */
export { type FakeLog, type FakeLogOptions, startFakeLog } from "./log.ts";
export type { LogCounters, LogFaults } from "./log.ts";
export {
  type FakeVmList,
  type FakeVmListOptions,
  startFakeVmList,
} from "./vm_list.ts";
export type { VmListChange, VmListFaults } from "./vm_list.ts";
export {
  type FakeStore,
  type FakeStoreOptions,
  startFakeStore,
} from "./store.ts";
export type { StoreCounters, StoreFaults } from "./store.ts";
export {
  type FakeEndpoint,
  type FakeEndpointStatus,
  type StartEndpointOptions,
  startFakeEndpoint,
} from "./endpoint.ts";
export type {
  EndpointFaults,
  FakeEndpointCounters,
  FakeEndpointOptions,
} from "./endpoint_settings.ts";
export { type Fakes, startFakes } from "./fakes.ts";
export { type FakesSettings, readSettings } from "./settings.ts";
export { OUTAGE, type Outage } from "./fake_server.ts";
export type { KeyRuns } from "./run_counts.ts";
