/**
 * Dispatch, retries and answers of forwarded requests.
 */
import { getVariantKey } from '../../state/entry/backends.js';
import { RouteKind } from '../../state/entry/deployment.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import { combineRunClaims, getRunClaim } from '../../state/runState.js';
import { RunClaim } from '../../state/types.js';
import { LogLevel, RequestOutcome } from '../events.js';
import {
  type AttemptFailure,
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryEventKind,
  type EntryEventOf,
  EntryPart,
} from './events.js';
import {
  abortForward,
  cancelAttempt,
  closeForward,
  describeRecord,
  getDemandKey,
  getWaitTimerId,
  refuseForward,
  releaseBackend,
} from './records.js';
import { earnRetry, takeRetry } from './retryBudget.js';
import {
  chooseBackend,
  findCandidates,
  noteLoad,
  noteMissing,
  noteOutcome,
  noteUnreachable,
} from './selection.js';
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
const BUSY_RETRY_MS = 700;
/** The same for a model that has not come: about half a load from the weight store. */
const MODEL_RETRY_MS = 2_500;
/** Dispatches in vain of one request, beyond the attempts of its route, that did not run. */
const MAX_REFUSED = 2;
/** A server that has less time left for a repeat than this gets none. */
const MIN_REPEAT_MS = 60;
/** Silence before the first event, in parts of the objective, that makes a stream go elsewhere. */
const FIRST_SILENCE_PART = 1.5;
/** Silence of a plain service in parts of the objective. */
const PLAIN_SILENCE_PART = 3;
/** Silence between two events, in parts of the longest pause that is on time. */
const EVENT_SILENCE_PART = 4;
const MIN_SILENCE_MS = 300;
/** Status from which an answer tells of a failure of the server, not of the request. */
const SERVER_ERROR_STATUS = 500;

const MAX_URGENCY = 9;
/** Part of the connections that is shared out; the rest is for VMs that have just come. */
const CONNECTION_PART = 0.8;
const MIN_CONNECTIONS = 2;

function getUrgency(record: ForwardRecord): number {
  const priority = record.workspace?.priority ?? record.route.priority;
  return Math.min(MAX_URGENCY, Math.max(0, priority));
}

/** Tells whether a request may run more than once. */
function isRepeatable(record: ForwardRecord): boolean {
  const { isResumable, kind } = record.route;
  return kind === RouteKind.Idempotent || (kind === RouteKind.Stream && isResumable);
}

/** Tells whether a request may be sent again after what is known of it. */
function canRepeat(record: ForwardRecord, isAnswerBegun: boolean): boolean {
  if (isAnswerBegun) {
    return record.route.kind === RouteKind.Stream && record.route.isResumable;
  }
  return isRepeatable(record) || record.runClaim === RunClaim.NotRun;
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

/** Sends a request to a backend server that can run it now; null if there is none. */
function tryDispatch(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  const candidates = findCandidates(state, record, nowMs);
  const backend = chooseBackend(state, candidates, nowMs);
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
function startWaiting(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const { requestId } = record.request;
  const waitMs = getWaitMs(record, nowMs);
  record.phase = ForwardPhase.Waiting;
  record.waitsUntilMs = nowMs + waitMs;
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

/** Sends on what waits, after servers, models or adapters have come. */
export function pumpWaiting(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.requests.values()]
    .filter((record) => record.phase === ForwardPhase.Waiting)
    .sort((a, b) => getUrgency(a) - getUrgency(b))
    .flatMap((record) => tryDispatch(state, record, nowMs) ?? []);
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

/** Finds the record of a dispatch if it is the current one; late signals find none. */
function findAttempt(
  state: EntryState,
  requestId: string,
  attempt: number,
): ForwardRecord | undefined {
  const record = state.requests.get(requestId);
  const isCurrent = record?.phase === ForwardPhase.Dispatched && record.attempt === attempt;
  return isCurrent ? record : undefined;
}

/** Notes the start of an answer that streams past the loop. */
export function handleAnswerBegun(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AnswerBegun>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record !== undefined) {
    record.firstEventAtMs ??= nowMs;
    record.runClaim = RunClaim.Unknown;
    const backend = state.backends.get(record.backendId!);
    if (backend !== undefined) {
      noteLoad(backend, event.load, nowMs);
    }
  }
  return [];
}

/** Ends a request whose whole answer has gone to the caller. */
export function handleAnswerCompleted(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AnswerCompleted>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const backend = state.backends.get(record.backendId!);
  if (backend !== undefined) {
    noteOutcome(backend, false);
  }
  const { maxGapMs, meanGapMs } = event;
  const end = { outcome: RequestOutcome.Completed, diagnostic: null, maxGapMs, meanGapMs };
  return closeForward(state, record, end, nowMs);
}

/** Tells whether the route's attempts, the budget and the time allow one more dispatch. */
function mayRepeat(state: EntryState, record: ForwardRecord, nowMs: number): boolean {
  return (
    record.usedBackends.length < record.route.maxAttempts &&
    record.refusedBy.length <= MAX_REFUSED &&
    record.endsAtMs - nowMs > MIN_REPEAT_MS &&
    findCandidates(state, record, nowMs).length > 0 &&
    takeRetry(state, record.service.name)
  );
}

/** Ends a request with the failure of its last dispatch. */
function endFailed(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  isAnswerBegun: boolean,
  nowMs: number,
): EntryCommand[] {
  if (isAnswerBegun) {
    return abortForward(state, record, diagnostic, nowMs);
  }
  const isNotRun = record.runClaim === RunClaim.NotRun;
  const reason = isNotRun
    ? createDiagnostic(Diagnostics.Overloaded, record.service.name)
    : diagnostic;
  return refuseForward(state, record, reason, nowMs, isNotRun ? BUSY_RETRY_MS : null);
}

/** Notes at the record and at the server what the failure of a dispatch proves. */
function noteFailure(
  state: EntryState,
  record: ForwardRecord,
  failure: AttemptFailure,
  nowMs: number,
): void {
  const { isMisdirected, isRefusedByServer, runState } = failure;
  const claim = isRefusedByServer ? RunClaim.NotRun : getRunClaim(runState);
  const backendId = record.backendId!;
  const backend = state.backends.get(backendId);
  record.runClaim = combineRunClaims(record.runClaim, claim);
  (claim === RunClaim.NotRun ? record.refusedBy : record.usedBackends).push(backendId);
  if (backend === undefined) {
    return;
  }
  if (isMisdirected) {
    const { adapter, model } = record.request;
    noteMissing(backend, model ?? '', adapter, nowMs);
  } else if (!isRefusedByServer) {
    noteOutcome(backend, true);
    noteUnreachable(backend, nowMs);
  }
}

/** Repeats a failed dispatch if that is safe, else ends the request with what is proved of it. */
export function handleAttemptFailed(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AttemptFailed>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const { failure, isAnswerBegun, load } = event;
  const backend = state.backends.get(record.backendId!);
  if (backend !== undefined) {
    noteLoad(backend, load, nowMs);
  }
  const log = createEntryLog(LogLevel.Info, EntryPart.Request, 'A dispatch failed.', {
    ...describeRecord(record, nowMs),
    reason: failure.diagnostic.key,
    detail: failure.diagnostic.message,
    runState: failure.runState,
    isRefusedByServer: failure.isRefusedByServer,
    isAnswerBegun,
  });
  noteFailure(state, record, failure, nowMs);
  releaseBackend(state, record);
  if (canRepeat(record, isAnswerBegun) && mayRepeat(state, record, nowMs)) {
    return [log, ...(tryDispatch(state, record, nowMs) ?? [])];
  }
  const isLacking = failure.isMisdirected && record.runClaim === RunClaim.NotRun && !isAnswerBegun;
  if (isLacking && record.refusedBy.length <= MAX_REFUSED) {
    return [log, ...startWaiting(state, record, nowMs)];
  }
  return [log, ...endFailed(state, record, failure.diagnostic, isAnswerBegun, nowMs)];
}

/** Delivers a whole answer, or repeats a request that the server failed. */
export function handleAnswerReady(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AnswerReady>,
  nowMs: number,
): EntryCommand[] {
  const { attempt, load, requestId, status } = event;
  const record = findAttempt(state, requestId, attempt);
  if (record === undefined) {
    return [];
  }
  const backendId = record.backendId!;
  const backend = state.backends.get(backendId);
  const isFailure = status >= SERVER_ERROR_STATUS;
  if (backend !== undefined) {
    noteLoad(backend, load, nowMs);
    noteOutcome(backend, isFailure);
  }
  record.runClaim = RunClaim.Unknown;
  if (isFailure && isRepeatable(record)) {
    record.usedBackends.push(backendId);
    if (mayRepeat(state, record, nowMs)) {
      releaseBackend(state, record);
      const repeat = tryDispatch(state, record, nowMs);
      if (repeat !== null) {
        return repeat;
      }
    }
  }
  record.firstEventAtMs ??= nowMs;
  const end = { outcome: RequestOutcome.Completed, diagnostic: null, status };
  return [
    { kind: EntryCommandKind.DeliverAnswer, requestId, attempt },
    ...closeForward(state, record, end, nowMs),
  ];
}

/** Sends a request elsewhere whose server is silent, if it may be repeated. */
export function handleAttemptSilent(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AttemptSilent>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  // Nothing proves of a silent server that it has not run the request.
  const isRepeat =
    record !== undefined && isRepeatable(record) && canRepeat(record, event.isAnswerBegun);
  if (!isRepeat) {
    return [];
  }
  const backendId = record.backendId!;
  const backend = state.backends.get(backendId);
  record.usedBackends.push(backendId);
  if (!mayRepeat(state, record, nowMs)) {
    record.usedBackends.pop();
    return [];
  }
  if (backend !== undefined) {
    noteOutcome(backend, true);
  }
  record.runClaim = RunClaim.Unknown;
  const log = createEntryLog(LogLevel.Info, EntryPart.Request, 'A silent dispatch is given up.', {
    ...describeRecord(record, nowMs),
    silentMs: event.silentMs,
    isAnswerBegun: event.isAnswerBegun,
  });
  const cancel = cancelAttempt(record);
  releaseBackend(state, record);
  return [log, ...cancel, ...(tryDispatch(state, record, nowMs) ?? [])];
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
