/**
 * Sending forwarded requests on, and the wait for a backend server that can run them.
 */
import { type Backend, getVariantKey } from '../../state/entry/backends.js';
import { RouteKind } from '../../state/entry/deployment.js';
import { createDiagnostic, Diagnostics } from '../../state/diagnostics.js';
import { LogLevel } from '../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryPart,
} from './commands.js';
import { EntryEventKind, type EntryEventOf } from './events.js';
import { describeRecord, getDemandKey, getWaitTimerId, refuseForward } from './records.js';
import { noteSent } from './promptLoad.js';
import { earnRetry, takeRetry } from './retryBudget.js';
import { chooseBackend, findCandidates } from './selection.js';
import { askForAdapter } from './adapterRequests.js';
import { countSharingVms, type EntryState, ForwardPhase, type ForwardRecord } from './state.js';

/** Part of a caller's time that a request may wait for its model: the rest is for the answer. */
const WAIT_PART = 0.5;
/** The longest wait for a model: a load from the weight store, with the order for it. */
const MAX_WAIT_MS = 8_000;
/**
 * Callers give a stream up that has no event after the longest of these: a fixed time, some objectives,
 * some pauses. The platform states them.
 */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/** Part of that time after which a request without a server is refused, so that its caller comes back. */
const PATIENCE_PART = 0.75;
/** Wait for a backend server of a plain service, which takes no loading: its entry may be on its way. */
const PLAIN_WAIT_MS = 150;
/** What a refused caller is told to wait: a load from host memory and its order take about as long. */
export const BUSY_RETRY_MS = 700;
/** The same for a model that has not come: about half a load from the weight store. */
const MODEL_RETRY_MS = 2_500;
/** Silence before the first event, in parts of the objective, that makes a stream go elsewhere. */
const FIRST_SILENCE_PART = 1.5;
/** Silence of a plain service in parts of the objective. */
const PLAIN_SILENCE_PART = 3;
/** Silence between two events, in parts of the longest pause that is on time. */
const EVENT_SILENCE_PART = 4;
const MIN_SILENCE_MS = 300;

const MAX_URGENCY = 9;
/** Part of the connections that is shared out; the rest is for VMs that have just come. */
const CONNECTION_PART = 0.8;
const MIN_CONNECTIONS = 2;

function getUrgency(record: ForwardRecord): number {
  const priority = record.workspace?.priority ?? record.route.priority;
  return Math.min(MAX_URGENCY, Math.max(0, priority));
}

function getSilenceMs(record: ForwardRecord): number {
  const { kind, objectiveMs } = record.route;
  const part = kind === RouteKind.Stream ? FIRST_SILENCE_PART : PLAIN_SILENCE_PART;
  return Math.max(MIN_SILENCE_MS, objectiveMs * part);
}

/** Silence in the middle of a stream after which it goes on elsewhere. */
function getEventSilenceMs(record: ForwardRecord): number {
  return Math.max(MIN_SILENCE_MS, (record.route.maxEventGapMs ?? 0) * EVENT_SILENCE_PART);
}

/** This VM's part of the connections that a server of the service accepts. */
function getConnectionShare(state: EntryState, record: ForwardRecord): number {
  const share = record.service.maxConnections / countSharingVms(state);
  return Math.max(MIN_CONNECTIONS, Math.floor(share * CONNECTION_PART));
}

function dispatchTo(
  state: EntryState,
  record: ForwardRecord,
  backendId: string,
  nowMs: number,
): EntryCommand[] {
  const backend = state.backends.get(backendId)!;
  const { requestId } = record.request;
  record.phase = ForwardPhase.Dispatched;
  record.attempt += 1;
  record.backendId = backendId;
  backend.inFlight += 1;
  noteSent(backend, record, nowMs);
  return [
    { kind: EntryCommandKind.CancelTimer, timerId: getWaitTimerId(requestId) },
    {
      kind: EntryCommandKind.Dispatch,
      requestId,
      attempt: record.attempt,
      backendId,
      address: backend.entry.address,
      maxConnections: getConnectionShare(state, record),
      workspace: record.workspace?.name ?? null,
      remainingMs: Math.max(1, record.endsAtMs - nowMs),
      urgency: getUrgency(record),
      silenceMs: getSilenceMs(record),
      eventSilenceMs: getEventSilenceMs(record),
      isStream: record.route.kind === RouteKind.Stream,
    },
    createEntryLog(LogLevel.Debug, EntryPart.Request, 'The request is sent on.', {
      ...describeRecord(record, nowMs),
      backendsRevision: state.backendsRevision,
    }),
  ];
}

function findBackend(state: EntryState, record: ForwardRecord, nowMs: number): Backend | undefined {
  return chooseBackend(state, record, findCandidates(state, record, nowMs), nowMs);
}

/** Sends a request to a backend server that can run it now; null if there is none. */
export function tryDispatch(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  const backend = findBackend(state, record, nowMs);
  return backend === undefined ? null : dispatchTo(state, record, backend.entry.id, nowMs);
}

/** Returns how long a request may wait for a backend server, before its caller would give it up. */
function getWaitMs(record: ForwardRecord, nowMs: number): number {
  const { maxEventGapMs, objectiveMs } = record.route;
  if (record.service.engine === null) {
    return PLAIN_WAIT_MS;
  }
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    objectiveMs * PATIENCE_OBJECTIVES,
    (maxEventGapMs ?? 0) * PATIENCE_GAPS,
  );
  const leftMs = patienceMs * PATIENCE_PART - (nowMs - record.arrivedAtMs);
  return Math.max(0, Math.min(MAX_WAIT_MS, leftMs, (record.endsAtMs - nowMs) * WAIT_PART));
}

/** Lets a request wait until a backend server can run it, and asks for what is missing. */
export function startWaiting(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  const waitMs = getWaitMs(record, nowMs);
  record.phase = ForwardPhase.Waiting;
  record.refusedBy = [];
  return [
    createEntryTimer(getWaitTimerId(requestId), waitMs, {
      kind: EntryEventKind.WaitDue,
      requestId,
    }),
    ...askForAdapter(state, record, nowMs),
    createEntryLog(LogLevel.Info, EntryPart.Request, 'The request waits for a backend server.', {
      ...describeRecord(record, nowMs),
      waitMs: Math.round(waitMs),
      backendsRevision: state.backendsRevision,
    }),
  ];
}

/** Sends an admitted request on, or lets it wait. */
export function startForward(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  earnRetry(state, record.service.name);
  return tryDispatch(state, record, nowMs) ?? startWaiting(state, record, nowMs);
}

/** Sends on a request that waits, if a server can run it; what was sent before needs a retry of the budget. */
function resumeWaiting(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const backend = findBackend(state, record, nowMs);
  if (backend === undefined) {
    return [];
  }
  const mayGo = record.attempt === 0 || takeRetry(state, record.service.name);
  return mayGo ? dispatchTo(state, record, backend.entry.id, nowMs) : [];
}

/** Sends on what waits, after servers, models or adapters have come. */
export function pumpWaiting(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.requests.values()]
    .filter((record) => record.phase === ForwardPhase.Waiting)
    .sort((a, b) => getUrgency(a) - getUrgency(b))
    .flatMap((record) => resumeWaiting(state, record, nowMs));
}

/** Refuses a request whose model has not come in time. */
export function handleWaitDue(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.WaitDue>,
  nowMs: number,
): EntryCommand[] {
  const record = state.requests.get(event.requestId);
  if (record?.phase !== ForwardPhase.Waiting) {
    return [];
  }
  const target = getVariantKey(record.request.model ?? record.service.name, record.request.adapter);
  const diagnostic = createDiagnostic(Diagnostics.NoBackendServer, target);
  const retryMs = record.service.engine === null ? BUSY_RETRY_MS : MODEL_RETRY_MS;
  return refuseForward(state, record, diagnostic, nowMs, retryMs);
}

/** Counts the requests of a service that wait for each model or adapter. */
export function countWaiting(state: EntryState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  state.requests.forEach((record) => {
    if (record.phase === ForwardPhase.Waiting && record.request.model !== null) {
      const key = getDemandKey(record);
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
  });
  return counts;
}
