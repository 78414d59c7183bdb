/**
 * Keeps the requests of all VMs at a cold server within what the platform allows. A server states for how long it stays cold in its
 * entry in the store and in the heads of answers.
 *
 * While a server is cold, each dispatch to it takes a token from this VM's share of its rate. VMs without a share send nothing there.
 */
import type { Backend } from '../../../state/entry/backends.js';
import {
  type ColdBound,
  getColdPhase,
  getColdPlaces,
  getColdRate,
  PLACE_WINDOW_MS,
} from '../../../state/entry/coldShares.js';
import {
  createRateBucket,
  getBucketWaitMs,
  type RateBucket,
  resizeRateBucket,
  takeFromBucket,
} from '../../../state/entry/rateBucket.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryState } from '../state.js';

/** Number of tokens that one request takes, and that a share holds at most. */
const REQUEST_PERMITS = 1;
const MS_PER_SECOND = 1_000;
/** A server counts as cold for longer than it states by this, as the end of its coldness is not exact. */
const COLD_MARGIN_MS = 250;

/** Returns what a server may get while it is cold; null if the servers of its service are never cold. */
function findBound({ deployment, policy }: EntryState, { entry }: Backend): ColdBound | null {
  const requestsPerSecond =
    deployment?.servicesByName.get(entry.service)?.coldRequestsPerSecond ?? null;
  return requestsPerSecond === null
    ? null
    : { requestsPerSecond, excessFactor: policy.coldExcessFactor, reserve: policy.coldReserve };
}

/** Adapts a share to the VMs that there are now. A VM without a share keeps no token that it has earned before. */
function resizeShare(
  state: EntryState,
  { entry }: Backend,
  permits: RateBucket,
  bound: ColdBound,
  nowMs: number,
): void {
  const { vmId } = state.self;
  const places = getColdPlaces(entry.id, [vmId, ...state.sharingVmIds], vmId, bound);
  resizeRateBucket(permits, REQUEST_PERMITS, getColdRate(places, bound), nowMs);
  permits.levelTokens = places === 0 ? Math.min(0, permits.levelTokens) : permits.levelTokens;
}

/**
 * Creates this VM's share. It starts with a part of a token that differs between VMs. Requests that this VM has just sent may arrive
 * while the server is cold, so it owes a token for them.
 */
function createShare(state: EntryState, backend: Backend, nowMs: number): RateBucket {
  const phase = getColdPhase(backend.entry.id, state.self.vmId);
  const hasJustSent = nowMs - backend.dispatchedAtMs < PLACE_WINDOW_MS;
  return createRateBucket(REQUEST_PERMITS, 0, hasJustSent ? phase - REQUEST_PERMITS : phase, nowMs);
}

function endColdness(backend: Backend): EntryCommand[] {
  if (backend.cold === null) {
    return [];
  }
  backend.cold = null;
  const { id: server, service } = backend.entry;
  const text = 'A backend server is no longer cold.';
  return [createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, text, { server, service })];
}

/** Starts, extends or ends the coldness of a server by what it has stated and the rate of its service. */
function updateColdness(state: EntryState, backend: Backend, nowMs: number): EntryCommand[] {
  const { coldUntilMs, entry } = backend;
  const bound = findBound(state, backend);
  if (bound === null || coldUntilMs <= nowMs) {
    return endColdness(backend);
  }
  if (backend.cold !== null) {
    backend.cold.untilMs = coldUntilMs;
    return [];
  }
  const permits = createShare(state, backend, nowMs);
  resizeShare(state, backend, permits, bound, nowMs);
  backend.cold = { untilMs: coldUntilMs, permits };
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, 'A backend server is cold.', {
      server: entry.id,
      service: entry.service,
      coldMs: Math.round(coldUntilMs - nowMs),
      shareRequestsPerSecond: permits.rateTokensPerSecond,
    }),
  ];
}

/** Records for how long a server states to stay cold. A shorter time does not replace a longer one. */
export function recordColdness(
  state: EntryState,
  backend: Backend,
  coldMs: number,
  nowMs: number,
): EntryCommand[] {
  if (coldMs > 0) {
    backend.coldUntilMs = Math.max(backend.coldUntilMs, nowMs + coldMs + COLD_MARGIN_MS);
  }
  return updateColdness(state, backend, nowMs);
}

/** Applies the end of coldness, and the rates of a new configuration, to all servers. */
export function updateColdServers(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.backends.values()]
    .filter(({ cold, coldUntilMs }) => cold !== null || coldUntilMs > nowMs)
    .flatMap((backend) => updateColdness(state, backend, nowMs));
}

/** Adapts this VM's share of the rate of a cold server to the VMs and the configuration that there are now. */
export function updateColdShare(state: EntryState, backend: Backend, nowMs: number): void {
  const bound = findBound(state, backend);
  if (backend.cold !== null && bound !== null) {
    resizeShare(state, backend, backend.cold.permits, bound, nowMs);
  }
}

/** Returns whether a server is cold. */
export function isCold({ cold }: Backend, nowMs: number): boolean {
  return cold !== null && cold.untilMs > nowMs;
}

/** Returns the number of servers that are cold. */
export function countCold({ backends }: EntryState, nowMs: number): number {
  return [...backends.values()].filter((backend) => isCold(backend, nowMs)).length;
}

/** Returns the time until a server may get a request of this VM, as far as coldness prevents it. */
function getPermitWaitMs({ cold }: Backend, nowMs: number): number {
  return cold === null || cold.untilMs <= nowMs
    ? 0
    : Math.min(cold.untilMs - nowMs, getBucketWaitMs(cold.permits, REQUEST_PERMITS, nowMs));
}

/** Returns whether a server may get a request of this VM now. */
export function hasColdPermit(backend: Backend, nowMs: number): boolean {
  return getPermitWaitMs(backend, nowMs) === 0;
}

/** Takes the permit for a request that is dispatched to a server. */
export function takeColdPermit({ cold }: Backend, nowMs: number): void {
  if (cold !== null) {
    takeFromBucket(cold.permits, REQUEST_PERMITS, nowMs);
  }
}

/**
 * Returns the expected time until one of some cold servers can take a request of this VM after a number of others; null if not all of
 * them are cold. Once one of them is no longer cold, it takes all.
 */
export function getExpectedColdWaitMs(
  servers: readonly Backend[],
  requestsAhead: number,
  nowMs: number,
): number | null {
  if (servers.length === 0 || !servers.every((backend) => isCold(backend, nowMs))) {
    return null;
  }
  const shares = servers.flatMap(({ cold }) => cold ?? []);
  const ratePerSecond = shares.reduce((sum, { permits }) => sum + permits.rateTokensPerSecond, 0);
  const aheadMs = requestsAhead === 0 ? 0 : (requestsAhead * MS_PER_SECOND) / ratePerSecond;
  const ownWaitMs = Math.min(...servers.map((backend) => getPermitWaitMs(backend, nowMs)));
  const endMs = Math.min(...shares.map(({ untilMs }) => untilMs - nowMs));
  return Math.min(endMs, ownWaitMs + aheadMs);
}
