/**
 * What the adapter met, counted.
 *
 * @module
 */

/** Counts since the adapter was opened. */
export interface EndpointCounters {
  calls: number;
  /** Streams taken up again on a new connection. */
  resumes: number;
  /** Streams whose connection broke or went silent. */
  brokenStreams: number;
  /** Streams that ended without their explicit last part. */
  earlyEnds: number;
  /** Parts that were held already; dropped. */
  doubledParts: number;
  /** Parts that came after the last part was complete; dropped. */
  lateParts: number;
  /** Parts that came before an earlier one; put in order. */
  reorderedParts: number;
  /** Parts and answers of another call; dropped. */
  foreignParts: number;
  /** Parts that do not follow the protocol; dropped. */
  malformedParts: number;
  /** Calls ended by this side and so cancelled at the endpoint. */
  cancels: number;
}

/** Creates counters at zero. */
export function createCounters(): EndpointCounters {
  return {
    calls: 0,
    resumes: 0,
    brokenStreams: 0,
    earlyEnds: 0,
    doubledParts: 0,
    lateParts: 0,
    reorderedParts: 0,
    foreignParts: 0,
    malformedParts: 0,
    cancels: 0,
  };
}
