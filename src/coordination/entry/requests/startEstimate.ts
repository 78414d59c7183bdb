/**
 * Estimates for the servers of paced services how many requests are at them now and when another one would begin.
 */
import type { Backend } from '../../../state/entry/backends.js';
import {
  estimateLoad,
  estimatePace,
  getStartDelayMs,
  INITIAL_SERVICE_TIME_MS,
  type LoadEstimate,
} from '../../../state/entry/loadEstimate.js';
import type { LevelOption } from '../../../state/entry/levelChoice.js';
import { countVmsSharingLimits } from '../liveVms.js';
import type { EntryState } from '../state.js';

/** Part of what the other VMs have sent since a report that the estimate of the load leaves open: it holds the mean of it. */
const UNSEEN_PART = 0.5;
/** Time in which the other VMs go on sending before the next reports show what they have sent. */
const NEXT_REPORT_MS = 200;

/** The estimated load of a server. */
export interface ServerEstimate extends LoadEstimate {
  readonly slots: number;
  readonly pace: number;
  /** Time that a request occupies a slot at that pace. */
  readonly serviceTimeMs: number;
}

/** Estimates the load of a server from its last report and from what was sent since. */
export function estimateServer(state: EntryState, backend: Backend, nowMs: number): ServerEstimate {
  const { entry, inFlight, load, unreportedDispatches, usualPace } = backend;
  const service = state.serviceLoads.get(entry.service);
  const slots = Math.max(1, load?.slots ?? entry.slots);
  const ageMs = load === null ? 0 : Math.max(0, nowMs - load.seenAtMs);
  const pace = estimatePace(load?.pace ?? usualPace, usualPace, ageMs);
  const serviceTimeMs = Math.max(1, (service?.serviceTimeMs ?? INITIAL_SERVICE_TIME_MS) * pace);
  const estimate = estimateLoad({
    reported: load === null ? null : load.running + load.waiting,
    ageMs,
    slots,
    serviceTimeMs,
    utilization: service?.utilization ?? 0,
    ownDispatches: load === null ? inFlight : unreportedDispatches.length,
    ownInFlight: inFlight,
    othersFraction: 1 - 1 / countVmsSharingLimits(state),
  });
  const { completionsPerMs, requests, unseenMs } = estimate;
  return { completionsPerMs, requests, unseenMs, slots, pace, serviceTimeMs };
}

/** Returns the delay until a request sent to a server now would get a slot; 0 if there is free room. */
export function estimateStartDelayMs(state: EntryState, backend: Backend, nowMs: number): number {
  const { requests, serviceTimeMs, slots } = estimateServer(state, backend, nowMs);
  return getStartDelayMs(requests, slots, serviceTimeMs);
}

/**
 * Returns the load of a server as a fraction of its slots. What waits for a slot counts by the pace, since it waits longer at a
 * slow server; what runs does not, since a free slot is as good at any server.
 */
export function getRelativeLoad({ pace, requests, slots }: ServerEstimate): number {
  return (Math.min(requests, slots) + Math.max(0, requests - slots) * pace) / slots;
}

/** What the VMs together send to some servers while they do not see each other's dispatches. */
interface UnseenDispatches {
  readonly windowMs: number;
  /** This VM's next request included. */
  readonly requests: number;
}

/**
 * Returns what the VMs together send to some servers while they do not see each other's dispatches. The time is the same for all of the
 * servers: otherwise one without a report would seem to complete more than the others, and would be overrun.
 */
export function estimateUnseen(estimates: readonly ServerEstimate[]): UnseenDispatches {
  let unseenMs = 0;
  let completionsPerMs = 0;
  estimates.forEach((estimate) => {
    unseenMs += estimate.unseenMs / estimates.length;
    completionsPerMs += estimate.completionsPerMs;
  });
  const windowMs = unseenMs * UNSEEN_PART + NEXT_REPORT_MS;
  return { windowMs, requests: 1 + completionsPerMs * windowMs };
}

/**
 * Returns a server as an option of the choice. The cost is that after the requests that complete while the VMs do not see each
 * other's dispatches: the older the information, the more a server gets in proportion to its speed.
 */
export function createOption(
  { completionsPerMs, slots }: ServerEstimate,
  cost: number,
  { windowMs }: UnseenDispatches,
): LevelOption {
  return { cost: cost - (completionsPerMs * windowMs) / slots, room: slots };
}
