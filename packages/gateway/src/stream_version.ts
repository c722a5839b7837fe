/**
 * The version at which one stream began, and may go on.
 *
 * @module
 */
import type * as serving from "@sardinestep/serving";
import * as streamVersions from "@sardinestep/stream_versions";
import type { FlowDependencies, RoutedRequest } from "./flow_types.ts";
import { PROCESS_STATE } from "./http_pool.ts";

/** The endpoint that began a stream, and its connection. */
export interface StreamOrigin {
  readonly endpoint: serving.ServingEndpoint;
  /** Monotonic time at which the connection was open, in milliseconds. */
  readonly openedAt: number;
}

/** The parts of the gateway that know versions. */
export type StreamVersionDependencies = Pick<
  FlowDependencies,
  "endpointTracker" | "streamNotes"
>;

/**
 * Follows the version of a resumable stream. The record of its endpoint names a version,
 * which counts only once the process that began the stream is shown to be the registered
 * one.
 */
export class StreamVersion {
  readonly #deps: StreamVersionDependencies;
  readonly #request: RoutedRequest;
  /** Unset before the first event. */
  #origin: StreamOrigin | undefined;
  #version: streamVersions.VersionTag | undefined;

  /**
   * @param deps Where versions are known and noted.
   * @param request The request, with the version of the stream that it takes up.
   */
  constructor(deps: StreamVersionDependencies, request: RoutedRequest) {
    this.#deps = deps;
    this.#request = request;
    this.#version = request.streamVersion;
  }

  /** Whether the stream may go on at a version only, which is known. */
  get isKnown(): boolean {
    return this.#version !== undefined;
  }

  /** Records the first event, and notes the version once it is shown. */
  begin(origin: StreamOrigin): void {
    this.#origin = origin;
    if (this.#version === undefined) void this.confirm();
    else this.#note(this.#version);
  }

  /**
   * Finds out at which version the stream began, unless it has not begun.
   *
   * @returns False if nothing shows it.
   */
  async confirm(): Promise<boolean> {
    if (this.#origin === undefined || this.isKnown) return true;
    const { endpoint, openedAt } = this.#origin;
    const { processes } = this.#deps.endpointTracker;
    const state = await processes.check(endpoint, openedAt);
    if (state !== PROCESS_STATE.running) return false;
    if (this.isKnown) return true;
    this.#version = streamVersions.buildVersionTag(endpoint);
    this.#note(this.#version);
    return true;
  }

  /** Returns the endpoints at which the stream may go on; undefined for any. */
  getEndpoints(): readonly serving.ServingEndpoint[] | undefined {
    const version = this.#version;
    if (version === undefined) {
      return this.#origin === undefined ? undefined : [];
    }
    return this.#deps.endpointTracker.getResumeEndpoints(this.#request.service)
      .filter((endpoint) => streamVersions.isOfVersion(endpoint, version));
  }

  #note(version: streamVersions.VersionTag): void {
    const { requestId, caller, customer } = this.#request;
    const { streamOrigin } = caller;
    const attemptIds = streamOrigin === undefined
      ? [requestId]
      : [requestId, streamOrigin];
    this.#deps.streamNotes.record(attemptIds.map((attemptId) => ({
      key: streamVersions.buildStreamKey({ attemptId, customer }),
      version,
    })));
  }
}
