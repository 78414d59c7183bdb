/**
 * Estimates the load of a server from an old report.
 *
 * A server's requests form a fluid: up to its slots they complete at the rate slots / service time, and the other VMs
 * send at the rate that keeps the service's usual utilization (Little's law). The older the report, the more of it has
 * completed and the more the estimate consists of what the other VMs have sent, so that a report loses its weight
 * within a few service times.
 */

/** Running averages over the servers of one service. Mutable; owned by the event loop. */
export interface ServiceLoad {
  /** Time that a request occupies a slot at the usual pace; null before the first sample. */
  serviceTimeMs: number | null;
  /** Fraction of the slots that are in use, in [0, 1]; null before the first report. */
  utilization: number | null;
}

/** What is known of a server, of its service, and of what this VM has sent since the report. */
export interface LoadInput {
  /** Requests running and waiting as of the report; null if there is none. */
  readonly reported: number | null;
  readonly ageMs: number;
  readonly slots: number;
  /** Time that a request occupies a slot at the server's pace. */
  readonly serviceTimeMs: number;
  readonly utilization: number;
  /** This VM's dispatches that the report does not include. */
  readonly ownDispatches: number;
  /** This VM's requests that are in flight at the server; the estimate is not below them. */
  readonly ownInFlight: number;
  /** Fraction of the service's requests that other VMs send. */
  readonly othersFraction: number;
}

export interface LoadEstimate {
  /** Expected number of requests at the server, running or waiting. */
  readonly requests: number;
  /** Requests of other VMs that complete at the server in a millisecond on average, and as many that they send. */
  readonly completionsPerMs: number;
  /** Time in which the VMs have not seen each other's dispatches to the server. */
  readonly unseenMs: number;
}

/** Assumed time of a request before the first sample: about that of a short streamed answer. */
export const INITIAL_SERVICE_TIME_MS = 1_000;

/** Time after which a report says nothing any more: several service times. */
const MAX_UNSEEN_MS = 10_000;
/** Time in which a reported pace loses its weight against the server's usual one; it changes several times per second. */
const PACE_HOLD_MS = 1_000;

/** Returns the expected pace of a server some time after it has stated one. */
export function estimatePace(reported: number, usual: number, ageMs: number): number {
  return usual + (reported - usual) * Math.exp(-ageMs / PACE_HOLD_MS);
}

/** Returns how many of the reported requests are left after a time, without new ones. */
function countLeft(reported: number, { ageMs, serviceTimeMs, slots }: LoadInput): number {
  const queued = Math.max(0, reported - slots);
  const queueEndsMs = (queued * serviceTimeMs) / slots;
  return ageMs < queueEndsMs
    ? reported - (ageMs * slots) / serviceTimeMs
    : Math.min(reported, slots) * Math.exp((queueEndsMs - ageMs) / serviceTimeMs);
}

/** Estimates the requests that are at a server now. Without a report, the server is taken to be as busy as its service is on average. */
export function estimateLoad(input: LoadInput): LoadEstimate {
  const { ageMs, othersFraction, ownDispatches, ownInFlight, reported } = input;
  const { serviceTimeMs, slots, utilization } = input;
  const usualFromOthers = utilization * slots * othersFraction;
  const fromOthers =
    reported === null
      ? usualFromOthers
      : usualFromOthers * (1 - Math.exp(-Math.max(0, ageMs) / serviceTimeMs));
  const left = reported === null ? 0 : countLeft(reported, input);
  const own = Math.min(ownDispatches, ownInFlight);
  return {
    requests: Math.max(left, ownInFlight - own) + own + fromOthers,
    completionsPerMs: usualFromOthers / serviceTimeMs,
    unseenMs: reported === null ? MAX_UNSEEN_MS : Math.min(ageMs, MAX_UNSEEN_MS),
  };
}

/** Returns the delay until a request sent now would get a slot, at a server with this number of requests. */
export function getStartDelayMs(requests: number, slots: number, serviceTimeMs: number): number {
  return (Math.max(0, requests + 1 - slots) * serviceTimeMs) / slots;
}
