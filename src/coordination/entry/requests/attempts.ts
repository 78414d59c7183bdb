/**
 * Handles the end of attempts: answers, failures and servers that send no data.
 */
import { Diagnostics } from '../../../state/diagnostics.js';
import type { Backend } from '../../../state/entry/backends.js';
import { combineRunStatuses, getRunStatus } from '../../../state/runState.js';
import { RunState, RunStatus } from '../../../state/types.js';
import { LogLevel, RequestOutcome } from '../../events.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { type AttemptFailure, type EntryEventKind, type EntryEventOf } from '../events.js';
import { LossCause, recordLostConnection, startVerifying } from '../evidence/crashDetection.js';
import {
  cancelAttempt,
  closeForward,
  getRequestLogFields,
  releaseBackend,
} from './requestCompletion.js';
import { getHeldMs, updatePrefillSpeed } from './prefillLoad.js';
import { recordHealthyAnswer } from '../evidence/quarantines.js';
import {
  hasAttemptLeft,
  isRetrySafe,
  mayRunTwice,
  retryOrEnd,
  takeRetryIfAllowed,
} from './retries.js';
import {
  recordReportedLoad,
  markVariantMissing,
  recordAttemptOutcome,
  markModelRefused,
  markUnreachable,
} from './backendSelection.js';
import { recordFullServer, recordServiceTime } from '../servers/serverLoads.js';
import { recordServerReached, recordServerUnreached } from '../servers/serviceReach.js';
import { recordBegunAnswer } from './answerProgress.js';
import { handlePassFailed } from './passFailures.js';
import { countPass, recordPassAnswered } from './passing.js';
import { recordStreamVersion } from './streamOriginWrites.js';
import { PassResult } from '../../../state/entry/passTargets.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';
import { dispatchFreed } from './dispatchOrder.js';
import { tryDispatch } from './forwarding.js';
import { recordWantOfRoom } from '../servers/brittleServers.js';
import { nextRandom } from '../../../state/random.js';

/** A request that a brittle server has rejected is sent again after this time, and up to as long again. */
const HOLD_MS = 150;
const HOLD_SPREAD_MS = 150;
/** A server that is down refuses a connection within this time. */
const SLOW_CONNECT_MS = 100;
/** Lowest HTTP status that indicates a failure of the server rather than of the request. */
const MIN_SERVER_ERROR_STATUS = 500;
/** States of an attempt whose server has sent at least the head of an answer. */
const ANSWERED_STATES: ReadonlySet<RunState> = new Set([
  RunState.Accepted,
  RunState.Streaming,
  RunState.Done,
]);

/** Returns whether a request is for a model on an engine. */
function isEngineRequest({ request, service }: ForwardRecord): boolean {
  return service.engine !== null && request.model !== null;
}

/** Returns the record of an attempt; undefined for late events of an earlier attempt. */
function findAttempt(
  state: EntryState,
  requestId: string,
  attempt: number,
): ForwardRecord | undefined {
  const record = state.requests.get(requestId);
  const isCurrent = record?.phase === ForwardPhase.Dispatched && record.attempt === attempt;
  return isCurrent ? record : undefined;
}

/** Counts the answer of a request that was passed to another VM. */
function countIfPassed(state: EntryState, { passedTo }: ForwardRecord): void {
  if (passedTo !== null) {
    countPass(state, PassResult.Answered);
  }
}

/** Records the start of an answer; its body is streamed to the caller outside the event loop. */
export function handleAnswerStarted(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AnswerStarted>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  record.firstEventAtMs ??= nowMs;
  record.attemptAnsweredAtMs ??= nowMs;
  record.runStatus = RunStatus.Unknown;
  record.softwareVersion = event.source?.softwareVersion ?? record.softwareVersion;
  recordPassAnswered(state, record, nowMs);
  const backend = state.backends.get(record.backendId!);
  if (backend !== undefined) {
    recordServerReached(state, backend, nowMs);
    recordReportedLoad(state, backend, event.load, nowMs);
    updatePrefillSpeed(backend, record, nowMs);
  }
  return recordStreamVersion(state, record, nowMs);
}

/** Ends a request whose whole answer has been sent to the caller. */
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
    recordAttemptOutcome(backend, false);
    recordServiceTime(state, backend, getHeldMs(backend, record, nowMs));
  }
  countIfPassed(state, record);
  const { maxGapMs, meanGapMs } = event;
  const end = { outcome: RequestOutcome.Completed, diagnostic: null, maxGapMs, meanGapMs };
  return [
    ...closeForward(state, record, end, nowMs),
    ...dispatchFreed(state, backend, nowMs),
    ...recordHealthyAnswer(state, record, nowMs),
  ];
}

/** Returns what is known about the execution of a failed attempt. */
function getAttemptStatus({ isRefusedByServer, runState }: AttemptFailure): RunStatus {
  return isRefusedByServer ? RunStatus.NotRun : getRunStatus(runState);
}

/** Updates the record and the backend server from the failure of an attempt. */
function recordFailure(
  state: EntryState,
  record: ForwardRecord,
  failure: AttemptFailure,
  nowMs: number,
): EntryCommand[] {
  const { isMisdirected, isRefusedByServer } = failure;
  const attemptStatus = getAttemptStatus(failure);
  const backendId = record.backendId!;
  const backend = state.backends.get(backendId);
  record.runStatus = combineRunStatuses(record.runStatus, attemptStatus);
  const isNotRun = attemptStatus === RunStatus.NotRun;
  record.notRunAttempts += isNotRun ? 1 : 0;
  (isNotRun ? record.notRunBackendIds : record.possiblyRunBackendIds).push(backendId);
  if (backend === undefined) {
    return [];
  }
  const { adapter, model } = record.request;
  if (isMisdirected) {
    markVariantMissing(backend, model ?? '', adapter, nowMs);
  } else if (isRefusedByServer && isEngineRequest(record)) {
    markModelRefused(backend, model ?? '', nowMs);
    recordFullServer(backend);
  } else if (!isRefusedByServer) {
    recordAttemptOutcome(backend, true);
    markUnreachable(backend, nowMs);
  }
  if (!isRefusedByServer || isMisdirected || backend.brittleness === null) {
    return [];
  }
  record.heldUntilMs = nowMs + HOLD_MS + nextRandom(state.random) * HOLD_SPREAD_MS;
  return recordWantOfRoom(state, backend, nowMs);
}

/** Records whether an attempt that failed has reached its server. */
function recordReach(
  state: EntryState,
  record: ForwardRecord,
  backend: Backend,
  { diagnostic, isRefusedByServer, runState }: AttemptFailure,
  nowMs: number,
): EntryCommand[] {
  record.hasArrived ||= runState !== RunState.NotSent;
  if (diagnostic.code === Diagnostics.ConnectFailed.code) {
    record.unreachedBackendIds.push(backend.entry.id);
    record.hasSlowConnect ||= nowMs - record.dispatchedAtMs >= SLOW_CONNECT_MS;
    return recordServerUnreached(state, backend, nowMs);
  }
  if (isRefusedByServer || ANSWERED_STATES.has(runState)) {
    recordServerReached(state, backend, nowMs);
  }
  return [];
}

/** Diagnostics of attempts whose connection was lost after the request may have been sent. */
const LOST_CONNECTION_CODES: ReadonlySet<number> = new Set([
  Diagnostics.AnswerLost.code,
  Diagnostics.AnswerTruncated.code,
]);

/** Handles a failed attempt. If its server may have crashed, the request goes on only after that is known. */
export function handleAttemptFailed(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AttemptFailed>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  if (record.passedTo !== null) {
    return handlePassFailed(state, record, event, nowMs);
  }
  const { failure, isAnswerBegun, load } = event;
  const backend = state.backends.get(record.backendId!);
  if (backend !== undefined) {
    recordReportedLoad(state, backend, load, nowMs);
  }
  const failureLog = createEntryLog(LogLevel.Info, EntryLogPrefix.Request, 'The attempt failed.', {
    ...getRequestLogFields(record, nowMs),
    reason: failure.diagnostic.key,
    detail: failure.diagnostic.message,
    runState: failure.runState,
    sinceFirstEventMs: record.firstEventAtMs === null ? -1 : nowMs - record.firstEventAtMs,
    promptParts: record.request.promptParts.join(' '),
    contentDigest: record.request.contentDigest,
    isRefusedByServer: failure.isRefusedByServer,
    isAnswerBegun,
  });
  const { diagnostic, isMisdirected, isRefusedByServer } = failure;
  const isConnectionLost = !isRefusedByServer && LOST_CONNECTION_CODES.has(diagnostic.code);
  const room = recordFailure(state, record, failure, nowMs);
  const reach = backend === undefined ? [] : recordReach(state, record, backend, failure, nowMs);
  record.isPlaceDoubtful ||= event.isPlaceDoubtful ?? false;
  const begun = isAnswerBegun
    ? recordBegunAnswer(state, record, event.lastEventAtMs ?? null, nowMs)
    : [];
  const { cause, commands } =
    isConnectionLost && backend !== undefined
      ? recordLostConnection(state, record, backend, failure.runState, nowMs)
      : { cause: LossCause.Irrelevant, commands: [] };
  releaseBackend(state, record);
  const log = [failureLog, ...room, ...reach, ...begun, ...dispatchFreed(state, backend, nowMs)];
  if (!state.requests.has(event.requestId)) {
    return [...log, ...commands];
  }
  const mayRetry = isRetrySafe(record, isAnswerBegun) && hasAttemptLeft(record, nowMs);
  if (cause === LossCause.Unverified && backend !== undefined && mayRetry) {
    startVerifying(state, record, backend, { diagnostic, isAnswerBegun });
    return [...log, ...commands];
  }
  const isModelMissing =
    isMisdirected ||
    (isRefusedByServer && isEngineRequest(record)) ||
    diagnostic.code === Diagnostics.RequestRecalled.code;
  const isCrashSuspect = cause === LossCause.Crash;
  const isNotRun = getAttemptStatus(failure) === RunStatus.NotRun;
  const failed = {
    diagnostic,
    isAnswerBegun,
    isModelMissing,
    isNotRun,
    isServerFull: isRefusedByServer && !isMisdirected,
    isCrashSuspect,
  };
  return [...log, ...commands, ...retryOrEnd(state, record, failed, nowMs)];
}

/** Delivers a buffered answer, or retries the request if the answer reports a server failure. */
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
  const isFailure = status >= MIN_SERVER_ERROR_STATUS;
  countIfPassed(state, record);
  recordPassAnswered(state, record, nowMs);
  if (backend !== undefined) {
    recordServerReached(state, backend, nowMs);
    recordReportedLoad(state, backend, load, nowMs);
    recordAttemptOutcome(backend, isFailure);
    if (!isFailure) {
      recordServiceTime(state, backend, getHeldMs(backend, record, nowMs));
    }
  }
  record.runStatus = RunStatus.Unknown;
  record.hasArrived = true;
  // The VM that a request was passed to has retried it.
  if (isFailure && mayRunTwice(record) && record.passedTo === null) {
    record.possiblyRunBackendIds.push(backendId);
    if (takeRetryIfAllowed(state, record, nowMs)) {
      releaseBackend(state, record);
      const retry = tryDispatch(state, record, nowMs);
      if (retry !== null) {
        return retry;
      }
    }
  }
  record.firstEventAtMs ??= nowMs;
  const end = { outcome: RequestOutcome.Completed, diagnostic: null, status };
  return [
    { kind: EntryCommandKind.DeliverAnswer, requestId, attempt },
    ...closeForward(state, record, end, nowMs),
    ...dispatchFreed(state, backend, nowMs),
    ...(isFailure ? [] : recordHealthyAnswer(state, record, nowMs)),
  ];
}

/** Retries a request on another server if its server has sent no data for too long and a second run is safe. */
export function handleAttemptStalled(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AttemptStalled>,
  nowMs: number,
): EntryCommand[] {
  const record = findAttempt(state, event.requestId, event.attempt);
  if (record !== undefined) {
    record.isPlaceDoubtful ||= event.isPlaceDoubtful ?? false;
  }
  // A server that sends no data may still have run the request.
  const shouldRetry =
    record !== undefined && mayRunTwice(record) && isRetrySafe(record, event.isAnswerBegun);
  if (!shouldRetry) {
    return [];
  }
  const holderId = record.backendId ?? record.passedTo!;
  const backend = state.backends.get(holderId);
  record.possiblyRunBackendIds.push(holderId);
  record.hasArrived = true;
  if (!takeRetryIfAllowed(state, record, nowMs)) {
    record.possiblyRunBackendIds.pop();
    return [];
  }
  if (backend !== undefined) {
    recordAttemptOutcome(backend, true);
  }
  record.runStatus = RunStatus.Unknown;
  const log = createEntryLog(
    LogLevel.Info,
    EntryLogPrefix.Request,
    'The attempt was cancelled because its backend server sent no data in time.',
    {
      ...getRequestLogFields(record, nowMs),
      silentMs: event.silentMs,
      isAnswerBegun: event.isAnswerBegun,
    },
  );
  const cancel = cancelAttempt(record);
  releaseBackend(state, record);
  return [log, ...cancel, ...(tryDispatch(state, record, nowMs) ?? [])];
}
