/**
 * Dispatches forwarded requests to backend servers, and lets them wait for a server that can run them.
 */
import { type Backend, getVariantKey } from '../../../state/entry/backends.js';
import { type ForwardService, RouteKind } from '../../../state/entry/deployment.js';
import { createDiagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { formatStoreRevision } from '../../../state/storeRevision.js';
import { nextRandom } from '../../../state/random.js';
import { RunStatus } from '../../../state/types.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
  type LifeCheck,
} from '../commands.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import {
  abortForward,
  getRequestLogFields,
  getDemandKey,
  getWaitTimerId,
  refuseForward,
} from './requestCompletion.js';
import { findPassTarget, isBarredFromServers, isOwnServerFirst, passTo } from './passing.js';
import { addPendingPrefill } from './prefillLoad.js';
import { getCallerTimeoutMs, getEventGapTimeoutMs, getFirstDataTimeoutMs } from './requestTimes.js';
import { withdrawRetry } from './retryBudget.js';
import { decidePacedStart, forecastFor, rejectEarly } from './pacedStart.js';
import { EarlyRejection, StartDecisionKind } from './roomForecast.js';
import { getUrgency } from './urgency.js';
import { countAhead, dequeue, enqueue } from './waitingQueue.js';
import { chooseBackend, findCandidates, findHolders, isHeld } from './backendSelection.js';
import {
  countLimited,
  creditPermits,
  getExpectedPermitWaitMs,
  requestPermit,
  takePermit,
} from '../limits/serverLimits.js';
import { requestPlace } from '../limits/serverPlaces.js';
import { getExpectedColdWaitMs, isCold, takeColdPermit } from '../servers/coldServers.js';
import { hasBrittle } from '../servers/brittleServers.js';
import { isServiceEvacuated } from '../servers/evacuatedServices.js';
import { formatObstacles } from '../servers/serverAvailability.js';
import { recordUnreportedDispatch } from '../servers/serverLoads.js';
import { getPauseWaitMs, isPaused } from '../servers/serverPauses.js';
import { requestAdapter } from '../placement/adapterRequests.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** Fraction of the time to the deadline that a request may wait for its model; the rest is for the answer. */
const MAX_WAIT_FRACTION = 0.5;
/** Longest wait for a model: the time to order and complete a load from the weight store. */
const MAX_WAIT_MS = 8_000;
/** Wait for a server of a service without an engine, which loads no model: its registration may be arriving. */
const NO_ENGINE_WAIT_MS = 150;
/** Retry-After time of a rejected request: about the time to order and complete a load from host memory. */
export const OVERLOADED_RETRY_AFTER_MS = 700;
/** Retry-After time when no server has the model: about half the time of a load from the weight store. */
const MODEL_RETRY_AFTER_MS = 2_500;
/** Lower bound of the Retry-After time of a request that waited for the limit or the pause of a server. */
const MIN_PERMIT_RETRY_AFTER_MS = 200;
/** Callers that are rejected for the same limit or pause return spread over this time. */
const RETRY_SPREAD_MS = 500;
/** Fraction of a server's connections that is divided among the VMs; the rest is for VMs that just started. */
const SHARED_CONNECTION_FRACTION = 0.8;
const MIN_CONNECTIONS = 2;

/** Returns this VM's share of the connections that a server of the service accepts. */
function getConnectionShare(state: EntryState, record: ForwardRecord): number {
  const share = record.service.maxConnections / countVmsSharingLimits(state);
  return Math.max(MIN_CONNECTIONS, Math.floor(share * SHARED_CONNECTION_FRACTION));
}

function getLifeCheck({ engine, healthPath }: ForwardService): LifeCheck | null {
  if (engine !== null) {
    return { healthPath: null };
  }
  return healthPath === null ? null : { healthPath };
}

/** Starts an attempt of a request at a backend server. */
function dispatchTo(
  state: EntryState,
  record: ForwardRecord,
  backendId: string,
  nowMs: number,
): EntryCommand[] {
  const backend = state.backends.get(backendId)!;
  const { requestId } = record.request;
  dequeue(state, record);
  record.phase = ForwardPhase.Dispatched;
  record.attempt += 1;
  record.attemptAnsweredAtMs = null;
  record.backendId = backendId;
  record.softwareVersion = backend.entry.softwareVersion;
  backend.inFlight += 1;
  backend.dispatchedAtMs = nowMs;
  record.dispatchedAtMs = nowMs;
  takePermit(backend, nowMs);
  takeColdPermit(backend, nowMs);
  addPendingPrefill(backend, record, nowMs);
  recordUnreportedDispatch(state, backend, nowMs);
  return [
    { kind: EntryCommandKind.CancelTimer, timerId: getWaitTimerId(requestId) },
    {
      kind: EntryCommandKind.Dispatch,
      requestId,
      attempt: record.attempt,
      backendId,
      bornAtWallMs: backend.entry.bornAtWallMs,
      softwareVersion: backend.entry.softwareVersion,
      address: backend.entry.address,
      maxConnections: getConnectionShare(state, record),
      workspace: record.workspace?.name ?? null,
      remainingMs: Math.max(1, record.deadlineAtMs - nowMs),
      urgency: getUrgency(state, record),
      startTimeoutMs: getFirstDataTimeoutMs(record),
      eventGapTimeoutMs: getEventGapTimeoutMs(record),
      isStream: record.route.kind === RouteKind.Stream,
      isServerLimited: backend.limit !== null,
      isServerBrittle: backend.brittleness !== null,
      lifeCheck: getLifeCheck(record.service),
    },
    createEntryLog(LogLevel.Debug, EntryLogPrefix.Request, 'The request was dispatched.', {
      ...getRequestLogFields(record, nowMs),
      backendsRevision: formatStoreRevision(state.backendsRevision),
    }),
  ];
}

/** Chooses among the backend servers that can run a request now; undefined if there is none. */
function findBackend(state: EntryState, record: ForwardRecord, nowMs: number): Backend | undefined {
  return isBarredFromServers(state, record)
    ? undefined
    : chooseBackend(state, record, findCandidates(state, record, nowMs), nowMs);
}

/** Returns whether a request could be dispatched or passed now. */
export function canDispatch(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  return (
    findPassTarget(state, record, nowMs) !== undefined ||
    (!isBarredFromServers(state, record) && findCandidates(state, record, nowMs).length > 0)
  );
}

/** Returns what starts an attempt of a request now, at another VM or at a backend server; null if none can run it. */
function findStart(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): (() => EntryCommand[]) | null {
  const target = findPassTarget(state, record, nowMs);
  if (target === undefined || isOwnServerFirst(state, record)) {
    const backend = findBackend(state, record, nowMs);
    if (backend !== undefined) {
      return () => dispatchTo(state, record, backend.entry.id, nowMs);
    }
  }
  return target === undefined ? null : () => passTo(state, record, target, nowMs);
}

/**
 * Dispatches a request to a backend server that can run it now, or passes it to another VM if this VM does not reach the servers;
 * returns null if there is none.
 */
export function tryDispatch(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  return findStart(state, record, nowMs)?.() ?? null;
}

/** Returns whether the caller of a request has received part of its answer, which rules out a rejection. */
function isAnswerBegun({ firstEventAtMs }: ForwardRecord): boolean {
  return firstEventAtMs !== null;
}

/** Returns whether the servers that may run a request are known and have no room now: a brittle one, or only cold ones. */
function mayWaitForRoom(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  const holders = findHolders(state, record, nowMs);
  const areAllCold = holders.length > 0 && holders.every((backend) => isCold(backend, nowMs));
  return areAllCold || hasBrittle(holders, nowMs);
}

/** Returns how long a request may wait for a backend server before its caller would abandon it. */
function getWaitMs(state: EntryState, record: ForwardRecord, nowMs: number): number {
  if (isAnswerBegun(record)) {
    const lastEventAtMs = record.lastEventAtMs ?? nowMs;
    const leftMs = getCallerTimeoutMs(record) - (nowMs - lastEventAtMs);
    return Math.max(0, Math.min(leftMs, record.deadlineAtMs - nowMs));
  }
  if (record.service.engine === null && !mayWaitForRoom(state, record, nowMs)) {
    return NO_ENGINE_WAIT_MS;
  }
  const leftMs = getEventGapTimeoutMs(record) - (nowMs - record.arrivedAtMs);
  if (record.isHeldForRoom) {
    return Math.max(0, Math.min(leftMs, record.deadlineAtMs - nowMs));
  }
  return Math.max(
    0,
    Math.min(MAX_WAIT_MS, leftMs, (record.deadlineAtMs - nowMs) * MAX_WAIT_FRACTION),
  );
}

/** Asks other VMs for a permit or a place at a server that leaves this VM none. */
function borrowUse(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const holders = findHolders(state, record, nowMs);
  const { requestId } = record.request;
  return [
    ...requestPermit(state, requestId, holders, nowMs),
    ...(isHeld(record, nowMs) ? [] : requestPlace(state, requestId, holders, nowMs)),
  ];
}

/** Returns the expected time until some servers can take a request; null if it is not known of all that they have no room. */
type RoomEstimate = (servers: readonly Backend[], requestsAhead: number) => number | null;

/** Returns the expected wait for the pauses of some servers, and for the room that an estimate knows of the others. */
function getWaitBesidePausesMs(
  state: EntryState,
  record: ForwardRecord,
  estimate: RoomEstimate,
  nowMs: number,
): number | null {
  const holders = findHolders(state, record, nowMs);
  const pauseWaitMs = getPauseWaitMs(
    holders.filter((backend) => isPaused(backend, nowMs)),
    nowMs,
  );
  const others = holders.filter((backend) => !isPaused(backend, nowMs));
  if (others.length === 0) {
    return pauseWaitMs;
  }
  const roomWaitMs = estimate(others, countAhead(state, record));
  return roomWaitMs === null ? null : Math.min(roomWaitMs, pauseWaitMs ?? roomWaitMs);
}

/** Returns the expected wait if all servers that hold a request's model pause or are cold, which no loan of another VM shortens. */
function getCertainWaitMs(state: EntryState, record: ForwardRecord, nowMs: number): number | null {
  const estimate: RoomEstimate = (servers, requestsAhead) =>
    getExpectedColdWaitMs(servers, requestsAhead, nowMs);
  return getWaitBesidePausesMs(state, record, estimate, nowMs);
}

/**
 * Returns the expected wait for the limits, pauses and coldness of the servers that hold a request's model; null if one of them has
 * room.
 */
function getExpectedWaitMs(state: EntryState, record: ForwardRecord, nowMs: number): number | null {
  const estimate: RoomEstimate = (servers, requestsAhead) =>
    getExpectedColdWaitMs(servers, requestsAhead, nowMs) ??
    getExpectedPermitWaitMs(state, servers, requestsAhead, nowMs);
  return getWaitBesidePausesMs(state, record, estimate, nowMs);
}

/** Rejects a request that would wait too long for the limits, pauses or coldness of its servers. */
function refuseForWait(
  state: EntryState,
  record: ForwardRecord,
  expectedWaitMs: number,
  nowMs: number,
): EntryCommand[] {
  const diagnostic = createDiagnostic(Diagnostics.Overloaded, record.service.name);
  const spreadMs = nextRandom(state.random) * RETRY_SPREAD_MS;
  const retryAfterMs = Math.max(MIN_PERMIT_RETRY_AFTER_MS, expectedWaitMs) + spreadMs;
  return refuseForward(state, record, diagnostic, nowMs, retryAfterMs);
}

/** Rejects a request of a service whose servers are all evacuated, or aborts its answer if that has begun. */
export function endForEvacuation(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const diagnostic = createDiagnostic(Diagnostics.ServersEvacuated, record.service.name);
  return isAnswerBegun(record)
    ? abortForward(state, record, diagnostic, nowMs)
    : refuseForward(state, record, diagnostic, nowMs, MODEL_RETRY_AFTER_MS);
}

/** Lets a request wait until a backend server can run it, and asks the controller for a missing adapter. */
export function startWaiting(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  if (isServiceEvacuated(state, record.service.name)) {
    return endForEvacuation(state, record, nowMs);
  }
  const waitMs = getWaitMs(state, record, nowMs);
  enqueue(state, record);
  const holders = findHolders(state, record, nowMs);
  const certainWaitMs = getCertainWaitMs(state, record, nowMs);
  if (!isAnswerBegun(record) && certainWaitMs !== null && certainWaitMs > waitMs) {
    return refuseForWait(state, record, certainWaitMs, nowMs);
  }
  return [
    createEntryTimer(getWaitTimerId(requestId), waitMs, {
      kind: EntryEventKind.WaitTimedOut,
      requestId,
    }),
    ...requestAdapter(state, record, nowMs),
    ...borrowUse(state, record, nowMs),
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Request,
      record.isHeldForRoom
        ? 'The request is held until a backend server has room.'
        : 'The request waits for a backend server.',
      {
        ...getRequestLogFields(record, nowMs),
        waitMs: Math.round(waitMs),
        isAnswerBegun: isAnswerBegun(record),
        backendsRevision: formatStoreRevision(state.backendsRevision),
        limitedServers: countLimited(holders),
        obstacles: formatObstacles(holders, nowMs),
      },
    ),
  ];
}

type PacedStart = (state: EntryState, record: ForwardRecord, nowMs: number) => EntryCommand[];

/**
 * Dispatches a request by the forecast of room, where its service is paced, or at once elsewhere. `wait` gives the commands for a
 * request that is not sent now.
 */
function startByForecast(
  state: EntryState,
  record: ForwardRecord,
  requestsAhead: number,
  nowMs: number,
  { send, wait }: { readonly send: PacedStart; readonly wait: PacedStart },
): EntryCommand[] {
  const paced = decidePacedStart(state, record, requestsAhead, nowMs);
  if (paced?.decision.kind === StartDecisionKind.Reject) {
    return rejectEarly(state, record, paced.decision.reason, paced.forecast, nowMs);
  }
  const isHold = paced?.decision.kind === StartDecisionKind.Hold;
  return isHold ? wait(state, record, nowMs) : send(state, record, nowMs);
}

/** Dispatches a new request, lets it wait, or rejects it if it cannot begin in time. */
export function dispatchOrWait(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  return startByForecast(state, record, countAhead(state, record), nowMs, {
    send: () => tryDispatch(state, record, nowMs) ?? startWaiting(state, record, nowMs),
    wait: startWaiting,
  });
}

/** Dispatches a waiting request if a server can run it; after an attempt that reached one this takes a retry from the budget. */
function sendWaiting(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const start = findStart(state, record, nowMs);
  if (start === null) {
    return borrowUse(state, record, nowMs);
  }
  const mayStart = !record.hasArrived || withdrawRetry(state, record.service.name);
  return mayStart ? start() : [];
}

/** Does the same unless the loads of the servers call for it to wait longer, or to be rejected. */
export function tryDispatchWaiting(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  return startByForecast(state, record, 0, nowMs, { send: sendWaiting, wait: () => [] });
}

/**
 * Dispatches a request with the permit that another VM has lent. Without one it goes on waiting, unless that would take
 * too long: no VM has a permit to spare then.
 */
export function handlePermitLoan(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
): EntryCommand[] {
  creditPermits(state, event.limit.name, event.lentTokens, nowMs);
  const record = state.requests.get(event.requestId);
  if (record?.phase !== ForwardPhase.Waiting) {
    return [];
  }
  const dispatch = tryDispatchWaiting(state, record, nowMs);
  const expectedWaitMs = dispatch.length > 0 ? null : getExpectedWaitMs(state, record, nowMs);
  const isTooLong =
    !isAnswerBegun(record) &&
    expectedWaitMs !== null &&
    expectedWaitMs > getWaitMs(state, record, nowMs);
  return isTooLong ? refuseForWait(state, record, expectedWaitMs, nowMs) : dispatch;
}

/** Rejects a request for which no backend server became available in time, or aborts its answer if that has begun. */
export function handleWaitTimedOut(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.WaitTimedOut>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record?.phase !== ForwardPhase.Waiting) {
    return [];
  }
  const target = getVariantKey(record.request.model ?? record.service.name, record.request.adapter);
  const diagnostic = createDiagnostic(Diagnostics.NoBackendServer, target);
  if (isAnswerBegun(record)) {
    return abortForward(state, record, diagnostic, nowMs);
  }
  const expectedWaitMs = getExpectedWaitMs(state, record, nowMs);
  if (expectedWaitMs !== null) {
    return refuseForWait(state, record, expectedWaitMs, nowMs);
  }
  if (hasBrittle(findHolders(state, record, nowMs), nowMs)) {
    return refuseForWait(state, record, OVERLOADED_RETRY_AFTER_MS, nowMs);
  }
  const forecast = record.runStatus === RunStatus.NotRun ? forecastFor(state, record, nowMs) : null;
  if (forecast !== null) {
    return rejectEarly(state, record, EarlyRejection.NoRoom, forecast, nowMs);
  }
  const retryAfterMs =
    record.service.engine === null ? OVERLOADED_RETRY_AFTER_MS : MODEL_RETRY_AFTER_MS;
  return refuseForward(state, record, diagnostic, nowMs, retryAfterMs);
}

/** Counts the waiting requests by service, model and adapter. */
export function countWaitingRequests(
  state: EntryState,
  isCounted: (record: ForwardRecord) => boolean = () => true,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  state.requests.forEach((record) => {
    if (
      record.phase === ForwardPhase.Waiting &&
      record.request.model !== null &&
      isCounted(record)
    ) {
      const key = getDemandKey(record);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  });
  return counts;
}
