/**
 * How dispatches end: answers, failures and silence, and what may be repeated.
 */
import { RouteKind } from '../../state/entry/deployment.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../state/diagnostics.js';
import { combineRunClaims, getRunClaim } from '../../state/runState.js';
import { RunClaim } from '../../state/types.js';
import { LogLevel, RequestOutcome } from '../events.js';
import { createEntryLog, type EntryCommand, EntryCommandKind, EntryPart } from './commands.js';
import { type AttemptFailure, EntryEventKind, type EntryEventOf } from './events.js';
import {
  abortForward,
  cancelAttempt,
  closeForward,
  describeRecord,
  refuseForward,
  releaseBackend,
} from './records.js';
import { noteFirstEvent } from './promptLoad.js';
import { takeRetry } from './retryBudget.js';
import {
  findCandidates,
  noteLoad,
  noteMissing,
  noteOutcome,
  noteRefused,
  noteUnreachable,
} from './selection.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from './state.js';
import { BUSY_RETRY_MS, startWaiting, tryDispatch } from './forwarding.js';

/** Dispatches in vain of one request, beyond the attempts of its route, that did not run. */
const MAX_REFUSED = 2;
/** A server that has less time left for a repeat than this gets none. */
const MIN_REPEAT_MS = 60;
/** Status from which an answer tells of a failure of the server, not of the request. */
const SERVER_ERROR_STATUS = 500;

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

function isOfEngine({ request, service }: ForwardRecord): boolean {
  return service.engine !== null && request.model !== null;
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
      noteFirstEvent(backend, record, nowMs);
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
    record.refusals <= MAX_REFUSED &&
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
  const isNotRun = claim === RunClaim.NotRun;
  record.refusals += isNotRun ? 1 : 0;
  (isNotRun ? record.refusedBy : record.usedBackends).push(backendId);
  if (backend === undefined) {
    return;
  }
  const { adapter, model } = record.request;
  if (isMisdirected) {
    noteMissing(backend, model ?? '', adapter, nowMs);
  } else if (isRefusedByServer && isOfEngine(record)) {
    noteRefused(backend, model ?? '', nowMs);
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
  // An engine refuses while it drops or loads the model; another may be about to hold it.
  const isLacking = failure.isMisdirected || (failure.isRefusedByServer && isOfEngine(record));
  const mayWait = record.runClaim === RunClaim.NotRun && !isAnswerBegun;
  if (isLacking && mayWait && record.refusals <= MAX_REFUSED) {
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
