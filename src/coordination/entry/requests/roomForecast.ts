/**
 * Forecasts when a request would begin on the servers that hold its model, and decides from that whether it is sent, held or
 * rejected. All functions are pure.
 */
import type { Backend } from '../../../state/entry/backends.js';
import { hashText } from '../../../state/random.js';
import { countVmsSharingLimits } from '../liveVms.js';
import type { EntryState } from '../state.js';

/** Reports of loads are used up to this age; VMs do not pass on older ones. */
const MAX_LOAD_AGE_MS = 3_000;
/** Assumed time of a request before the first sample; no request is rejected by it. */
const INITIAL_SERVICE_TIME_MS = 1_000;
/** A server with this fraction of its slots free is not busy. */
const IDLE_FRACTION = 0.5;
const UINT32_RANGE = 4294967296;
/** Fraction of the latency objective that is kept for the start at the server of a request that was held. */
const START_MARGIN = 0.15;
/** Fraction of the usual time of a request that has to be left after its start; many take less than the usual time. */
const MIN_RUN_FRACTION = 0.5;
/** Fraction of the latency objective by which the requests beyond a workspace's usual amount may delay those of others. */
const MAX_DELAY_FRACTION = 0.5;

/** What is expected of one server that holds a request's model. */
export interface HolderEstimate {
  /** Requests that are expected there, running or waiting. */
  readonly requests: number;
  /** Requests that are there if no other VM has sent any since the last report. */
  readonly leastRequests: number;
  readonly slots: number;
  /** Free slots that this VM may fill with requests that give way to others. */
  readonly ownFreeSlots: number;
  /** Time that a request occupies a slot. */
  readonly serviceTimeMs: number;
  /** Requests that it had when it last rejected one as full; null if it has not. */
  readonly fullRequests: number | null;
  /** False if its load or the time of its requests is not known well enough to reject by. */
  readonly isKnown: boolean;
}

/** When there will be room on the servers that hold a request's model. */
export interface RoomForecast {
  /** Free slots that this VM may fill with requests that give way to others, over all holders. */
  readonly ownFreeSlots: number;
  /** True if a holder is expected to accept a request, at least into its queue. */
  readonly hasPlace: boolean;
  /** Expected delay until a request sent now would begin. */
  readonly startDelayMs: number;
  /** The delay if no other VM sends any; 0 unless the loads of all holders are known. */
  readonly leastStartDelayMs: number;
  /** Time between two starts, over all holders. */
  readonly startIntervalMs: number;
  readonly serviceTimeMs: number;
}

/** Returns how many reported requests are left after a time in which a fraction of the completed ones was replaced. */
function countLeft(
  reported: number,
  { ageMs, serviceTimeMs, slots }: { ageMs: number; serviceTimeMs: number; slots: number },
  replacedFraction: number,
): number {
  const completed = (ageMs * Math.min(slots, reported)) / serviceTimeMs;
  return Math.max(0, reported - completed * (1 - replacedFraction));
}

/**
 * Returns how many of a server's free slots this VM may fill with requests that give way to others. While most slots are taken, the
 * free ones are divided among the VMs that know of them: each takes its share, which it rounds at random once for each report.
 */
function getOwnFreeSlots(
  state: EntryState,
  { entry, load }: Backend,
  freeSlots: number,
  slots: number,
  own: number,
): number {
  if (freeSlots >= slots * IDLE_FRACTION) {
    return Math.max(0, Math.floor(freeSlots - own));
  }
  const share = Math.max(0, freeSlots) / countVmsSharingLimits(state);
  const draw = hashText(`${state.self.vmId} ${entry.id} ${load?.seenAtMs}`) / UINT32_RANGE;
  return Math.max(0, Math.floor(share + draw) - own);
}

/** Estimates the requests at a server from its last report and from what this VM has sent since. */
export function estimateHolder(state: EntryState, backend: Backend, nowMs: number): HolderEstimate {
  const { entry, fullRequests, inFlight, load, unreportedDispatches } = backend;
  const service = state.serviceLoads.get(entry.service);
  const usualMs = service?.serviceTimeMs ?? null;
  const utilization = service?.utilization ?? 0;
  const slots = Math.max(1, load?.slots ?? entry.slots);
  const ageMs = load === null ? Infinity : Math.max(0, nowMs - load.seenAtMs);
  if (load === null || ageMs > MAX_LOAD_AGE_MS) {
    const serviceTimeMs = usualMs ?? INITIAL_SERVICE_TIME_MS;
    // A server of which nothing recent is known is taken to be as busy as its service is on average.
    const requests = Math.max(inFlight, utilization * slots);
    const ownFreeSlots = getOwnFreeSlots(state, backend, slots - requests, slots, 0);
    const counts = { requests, leastRequests: 0, fullRequests: null };
    return { ...counts, slots, ownFreeSlots, serviceTimeMs, isKnown: false };
  }
  const serviceTimeMs = Math.max(1, (usualMs ?? INITIAL_SERVICE_TIME_MS) * load.pace);
  const own = Math.min(inFlight, unreportedDispatches.length);
  const reported = load.running + load.waiting;
  const time = { ageMs, serviceTimeMs, slots };
  // The other VMs replace completed requests at the rate that keeps the usual utilization.
  const expected = countLeft(reported, time, utilization);
  return {
    requests: expected + own,
    leastRequests: countLeft(reported, time, 0) + own,
    slots,
    ownFreeSlots: getOwnFreeSlots(state, backend, slots - expected, slots, own),
    serviceTimeMs,
    fullRequests,
    isKnown: usualMs !== null,
  };
}

function getStartDelayMs(requests: number, { serviceTimeMs, slots }: HolderEstimate): number {
  return (Math.max(0, requests + 1 - slots) * serviceTimeMs) / slots;
}

/** Forecasts when there will be room on some servers, of which there is at least one. */
export function forecastRoom(holders: readonly HolderEstimate[]): RoomForecast {
  const startsPerMs = holders.reduce(
    (sum, { serviceTimeMs, slots }) => sum + slots / serviceTimeMs,
    0,
  );
  const leastDelays = holders.map((holder) => getStartDelayMs(holder.leastRequests, holder));
  return {
    ownFreeSlots: holders.reduce((sum, { ownFreeSlots }) => sum + ownFreeSlots, 0),
    hasPlace: holders.some(
      ({ fullRequests, requests }) => fullRequests === null || requests <= fullRequests - 1,
    ),
    startDelayMs: Math.min(...holders.map((holder) => getStartDelayMs(holder.requests, holder))),
    leastStartDelayMs: holders.every(({ isKnown }) => isKnown) ? Math.min(...leastDelays) : 0,
    startIntervalMs: 1 / startsPerMs,
    serviceTimeMs: Math.min(...holders.map(({ serviceTimeMs }) => serviceTimeMs)),
  };
}

/** What is decided about a request that no server has. */
export const StartDecisionKind = {
  Send: 'send',
  /** It waits in this VM for room. */
  Hold: 'hold',
  Reject: 'reject',
} as const;
export type StartDecisionKind = (typeof StartDecisionKind)[keyof typeof StartDecisionKind];

/** Why a request is rejected before its time is over. */
export const EarlyRejection = {
  /** Its caller would abandon it before it begins. */
  Abandonment: 'abandonment',
  /** Its deadline would leave too little time after its start. */
  Deadline: 'deadline',
  /** It is beyond the usual amount of its workspace, and the requests of others would begin late after it. */
  Share: 'share',
  /** Servers have rejected it as full, and there was no room before its caller would abandon it. */
  NoRoom: 'noRoom',
} as const;
export type EarlyRejection = (typeof EarlyRejection)[keyof typeof EarlyRejection];

export type StartDecision =
  | { readonly kind: typeof StartDecisionKind.Send }
  | { readonly kind: typeof StartDecisionKind.Hold }
  | { readonly kind: typeof StartDecisionKind.Reject; readonly reason: EarlyRejection };

/** What the decision about a request depends on besides the forecast. */
export interface StartTerms {
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly latencyObjectiveMs: number;
  /** Time at which its caller abandons it if it has not begun. */
  readonly abandonedAtMs: number;
  readonly isDeferrable: boolean;
  /** True if its workspace has sent many times its usual amount. */
  readonly isBeyondUsual: boolean;
  /** True if a server has rejected it as full. */
  readonly wasFull: boolean;
  /** False if it may have run. */
  readonly mayReject: boolean;
  /** Requests for the same model in this VM that go before it. */
  readonly requestsAhead: number;
}

/**
 * Returns the time until which a request that gives way to others is held: one beyond the usual amount of its workspace so that it
 * begins before its caller abandons it, any other so that it still begins within its objective.
 */
function getHoldEndMs(terms: StartTerms, { serviceTimeMs, startDelayMs }: RoomForecast): number {
  const { abandonedAtMs, arrivedAtMs, deadlineAtMs, isBeyondUsual, latencyObjectiveMs } = terms;
  const usefulUntilMs = isBeyondUsual ? abandonedAtMs : arrivedAtMs + latencyObjectiveMs;
  const latestStartMs = Math.min(usefulUntilMs, deadlineAtMs - serviceTimeMs);
  return latestStartMs - startDelayMs - latencyObjectiveMs * START_MARGIN;
}

function findRejection(
  terms: StartTerms,
  forecast: RoomForecast,
  nowMs: number,
): EarlyRejection | null {
  const { leastStartDelayMs, serviceTimeMs, startIntervalMs } = forecast;
  if (!terms.mayReject || leastStartDelayMs === 0) {
    return null;
  }
  const startsAtMs = nowMs + leastStartDelayMs + terms.requestsAhead * startIntervalMs;
  if (startsAtMs >= terms.abandonedAtMs) {
    return EarlyRejection.Abandonment;
  }
  if (startsAtMs + serviceTimeMs * MIN_RUN_FRACTION >= terms.deadlineAtMs) {
    return EarlyRejection.Deadline;
  }
  const wouldDelay = leastStartDelayMs > terms.latencyObjectiveMs * MAX_DELAY_FRACTION;
  const isHeldLonger = nowMs < getHoldEndMs(terms, forecast);
  return terms.isBeyondUsual && wouldDelay && !isHeldLonger ? EarlyRejection.Share : null;
}

function isHeld(terms: StartTerms, forecast: RoomForecast, nowMs: number): boolean {
  if (forecast.ownFreeSlots > terms.requestsAhead) {
    return false;
  }
  return (
    (terms.wasFull && !forecast.hasPlace) ||
    ((terms.isDeferrable || terms.isBeyondUsual) && nowMs < getHoldEndMs(terms, forecast))
  );
}

/** Decides whether a request is sent, held or rejected. */
export function decideStart(
  terms: StartTerms,
  forecast: RoomForecast,
  nowMs: number,
): StartDecision {
  const reason = findRejection(terms, forecast, nowMs);
  if (reason !== null) {
    return { kind: StartDecisionKind.Reject, reason };
  }
  const kind = isHeld(terms, forecast, nowMs) ? StartDecisionKind.Hold : StartDecisionKind.Send;
  return { kind };
}

/** Lower bound of the Retry-After time of a request that is rejected early. */
const MIN_RETRY_AFTER_MS = 300;
/** Callers honour a Retry-After time up to this fraction of the time that they have left. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** Returns the Retry-After time of a request for which room is expected after a delay. */
export function getRetryAfterMs(roomDelayMs: number, leftMs: number): number {
  const maxMs = Math.max(0, leftMs) * MAX_RETRY_AFTER_FRACTION;
  return Math.min(maxMs, Math.max(MIN_RETRY_AFTER_MS, roomDelayMs));
}
