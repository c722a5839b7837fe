/**
 * Counters of the adapter.
 *
 * @module
 */

/** Counts since the adapter was opened. */
export interface EndpointCounters {
  calls: number;
  /** Resumes of streams on a new connection. */
  resumes: number;
  /** Streams whose connection broke or went silent. */
  brokenStreams: number;
  /** Streams that ended without the explicit last part. */
  earlyEnds: number;
  /** Parts that had already been received; dropped. */
  duplicatedParts: number;
  /** Parts received after the answer was complete; dropped. */
  lateParts: number;
  /** Parts received before an earlier one; put in order. */
  reorderedParts: number;
  /** Parts and answers of another call; dropped. */
  foreignParts: number;
  /** Parts that violate the protocol; dropped. */
  malformedParts: number;
  /** Calls cancelled by this side. */
  cancels: number;
}

/** Creates counters that start at zero. */
export function createCounters(): EndpointCounters {
  return {
    calls: 0,
    resumes: 0,
    brokenStreams: 0,
    earlyEnds: 0,
    duplicatedParts: 0,
    lateParts: 0,
    reorderedParts: 0,
    foreignParts: 0,
    malformedParts: 0,
    cancels: 0,
  };
}
