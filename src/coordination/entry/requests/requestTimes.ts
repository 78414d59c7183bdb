/**
 * The times for which an attempt may send no data, which follow from the latency objective of the route and from how long callers
 * wait.
 */
import { RouteKind } from '../../../state/entry/deployment.js';
import type { ForwardRecord } from '../state.js';

/**
 * Callers abandon a stream without an event after the longest of three times that the platform specifies: a
 * fixed minimum, a multiple of the route's latency objective, and a multiple of its longest event gap.
 */
const MIN_CALLER_TIMEOUT_MS = 2_000;
const CALLER_TIMEOUT_OBJECTIVES = 4;
const CALLER_TIMEOUT_GAPS = 8;
/**
 * Fraction of that time after which a request without a server is rejected, so that its caller can retry, and after
 * which a stream without data is moved to another server. The rest is at least one latency objective.
 */
const CALLER_TIMEOUT_FRACTION = 0.75;
/** Time without data before a stream's first event that causes a retry, as a multiple of the objective. */
const STREAM_TIMEOUT_OBJECTIVES = 1.5;
/** The same for a request that is not a stream. */
const ANSWER_TIMEOUT_OBJECTIVES = 3;
const MIN_NO_DATA_TIMEOUT_MS = 300;

type TimedRequest = Pick<ForwardRecord, 'route'>;

/** Returns the time without data before the answer begins after which a request is retried, if that is safe. */
export function getFirstDataTimeoutMs({ route }: TimedRequest): number {
  const { kind, latencyObjectiveMs } = route;
  const objectives =
    kind === RouteKind.Stream ? STREAM_TIMEOUT_OBJECTIVES : ANSWER_TIMEOUT_OBJECTIVES;
  return Math.max(MIN_NO_DATA_TIMEOUT_MS, latencyObjectiveMs * objectives);
}

/** Returns the time without an event after which the caller of a request abandons it. */
export function getCallerTimeoutMs({ route }: TimedRequest): number {
  return Math.max(
    MIN_CALLER_TIMEOUT_MS,
    route.latencyObjectiveMs * CALLER_TIMEOUT_OBJECTIVES,
    (route.maxEventGapMs ?? 0) * CALLER_TIMEOUT_GAPS,
  );
}

/**
 * Returns the time without data in the middle of an answer after which it is retried, if that is safe. A sound server
 * may be silent for over a second, so this is derived from the caller's timeout alone.
 */
export function getEventGapTimeoutMs(request: TimedRequest): number {
  return getCallerTimeoutMs(request) * CALLER_TIMEOUT_FRACTION;
}
