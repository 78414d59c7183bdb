/**
 * Decides how a request goes on after a failed attempt: on another backend server, waiting for one, or with an error.
 */
import { RouteKind } from '../../../state/entry/deployment.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { Quarantine } from '../../../state/entry/crashEvidence.js';
import { RunStatus } from '../../../state/types.js';
import { findHolders, hasServerForStream, isHeld } from './backendSelection.js';
import { hasBrittle } from '../servers/brittleServers.js';
import type { EntryCommand } from '../commands.js';
import { canDispatch, OVERLOADED_RETRY_AFTER_MS, startWaiting, tryDispatch } from './forwarding.js';
import {
  createQuarantineRefusal,
  findRecordQuarantine,
  getQuarantineRetryAfterMs,
  isRepeatDoubtful,
} from '../evidence/quarantines.js';
import { decidePacedStart, rejectEarly } from './pacedStart.js';
import { isReturnDue } from './passing.js';
import { EarlyRejection, StartDecisionKind } from './roomForecast.js';
import { countAhead } from './waitingQueue.js';
import { abortForward, refuseForward } from './requestCompletion.js';
import { withdrawRetry } from './retryBudget.js';
import type { EntryState, ForwardRecord } from '../state.js';

/** Retries allowed after attempts that provably did not run; those do not count as attempts of the route. */
const MAX_NOT_RUN_RETRIES = 2;
/** The same for a request that servers have rejected as full while others are expected to have room. */
const MAX_FULL_RETRIES = 4;
/** A request with no more time left than this is not retried. */
const MIN_RETRY_TIME_LEFT_MS = 60;

/** Reasons of attempts that have not reached a server. */
const UNREACHED_CODES: ReadonlySet<number> = new Set([
  Diagnostics.ConnectFailed.code,
  Diagnostics.ServersUnreachable.code,
]);

/** What a failed attempt leaves to decide about its request. */
export interface FailedAttempt {
  readonly diagnostic: Diagnostic;
  /** True if any byte of a response has been sent to the caller. */
  readonly isAnswerBegun: boolean;
  /** True if the server does not have the model, or not now, or wants no more requests: it certainly did not run it. */
  readonly isModelMissing: boolean;
  /** True if the attempt provably did not run the request. */
  readonly isNotRun: boolean;
  /** True if the server has rejected the request because it is full or lacks something else for it. */
  readonly isServerFull: boolean;
  /** True if the server has crashed while it had the request, whose answer had not been running for some time. */
  readonly isCrashSuspect: boolean;
}

/** Returns whether a request may run more than once. */
export function mayRunTwice(record: ForwardRecord): boolean {
  const { isResumable, kind } = record.route;
  return kind === RouteKind.Idempotent || (kind === RouteKind.Stream && isResumable);
}

/** Returns whether a retry is safe, given whether the request may have run and whether its answer has begun. */
export function isRetrySafe(record: ForwardRecord, isAnswerBegun: boolean): boolean {
  if (isAnswerBegun) {
    const { isResumable, kind } = record.route;
    return kind === RouteKind.Stream && isResumable && !record.isPlaceDoubtful;
  }
  return mayRunTwice(record) || record.runStatus === RunStatus.NotRun;
}

/** Returns whether the route's attempts and the time left allow another attempt. */
export function hasAttemptLeft(record: ForwardRecord, nowMs: number): boolean {
  return (
    record.possiblyRunBackendIds.length < record.route.maxAttempts &&
    record.notRunAttempts <= MAX_NOT_RUN_RETRIES &&
    record.deadlineAtMs - nowMs > MIN_RETRY_TIME_LEFT_MS
  );
}

/**
 * Takes one retry from the budget if the route's attempts, the time left and the candidate servers allow one. A retry after
 * attempts that reached no server is free. Returns whether the request may be retried.
 */
export function takeRetryIfAllowed(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): boolean {
  return (
    hasAttemptLeft(record, nowMs) &&
    !isReturnDue(state, record, nowMs) &&
    canDispatch(state, record, nowMs) &&
    (!record.hasArrived || withdrawRetry(state, record.service.name))
  );
}

/** Returns the reason to reject a request that no server has run. */
function createNotRunReason({ service }: ForwardRecord, { code }: Diagnostic): Diagnostic {
  const entry = UNREACHED_CODES.has(code) ? Diagnostics.ServersUnreachable : Diagnostics.Overloaded;
  return createDiagnostic(entry, service.name);
}

/** Ends a request whose last attempt failed: aborts an answer that has begun, else rejects the request. */
function endWithFailure(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  isAnswerBegun: boolean,
  nowMs: number,
): EntryCommand[] {
  if (isAnswerBegun) {
    return abortForward(state, record, diagnostic, nowMs);
  }
  const isNotRun = record.runStatus === RunStatus.NotRun;
  const reason = isNotRun ? createNotRunReason(record, diagnostic) : diagnostic;
  return refuseForward(state, record, reason, nowMs, isNotRun ? OVERLOADED_RETRY_AFTER_MS : null);
}

/** Ends a request that a quarantine holds back. */
function endQuarantined(
  state: EntryState,
  record: ForwardRecord,
  quarantine: Quarantine,
  isAnswerBegun: boolean,
  nowMs: number,
): EntryCommand[] {
  const reason = createQuarantineRefusal(quarantine);
  return isAnswerBegun
    ? abortForward(state, record, reason, nowMs)
    : refuseForward(state, record, reason, nowMs, getQuarantineRetryAfterMs(quarantine, nowMs));
}

/**
 * Returns whether a request may wait for a server after its last attempt failed. One that can be rejected as not run may if
 * only the model was missing: an engine rejects requests while it unloads or loads the model, and another engine may soon
 * have it loaded. One that cannot, since it may have run or its answer has begun, may wait after each attempt that did not
 * run, if a second run is safe and a server may come that can go on with its stream. Where servers are brittle, it waits for room after any
 * attempt.
 */
function mayWait(
  state: EntryState,
  record: ForwardRecord,
  failed: FailedAttempt,
  nowMs: number,
): boolean {
  const { isAnswerBegun, isModelMissing, isNotRun } = failed;
  if (!hasServerForStream(state, record)) {
    return false;
  }
  const isBrittle = hasBrittle(findHolders(state, record, nowMs), nowMs);
  return !isAnswerBegun && record.runStatus === RunStatus.NotRun
    ? (isModelMissing || isBrittle) && record.notRunAttempts <= MAX_NOT_RUN_RETRIES
    : (isNotRun || isBrittle) &&
        isRetrySafe(record, isAnswerBegun) &&
        hasAttemptLeft(record, nowMs);
}

/**
 * Decides by the forecast of room how a request goes on that a server of a paced service has rejected as full: on a server that has
 * room, waiting for room, or with a rejection if there will be none in time. Null if that is not decided by loads.
 */
function continueAfterFull(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] | null {
  record.wasFull = true;
  const paced = decidePacedStart(state, record, countAhead(state, record), nowMs);
  if (paced === null || record.runStatus !== RunStatus.NotRun) {
    return null;
  }
  const { decision, forecast } = paced;
  if (decision.kind === StartDecisionKind.Reject) {
    return rejectEarly(state, record, decision.reason, forecast, nowMs);
  }
  const isSent =
    decision.kind === StartDecisionKind.Send && takeRetryIfAllowed(state, record, nowMs);
  const dispatch = isSent ? tryDispatch(state, record, nowMs) : null;
  if (dispatch !== null) {
    return dispatch;
  }
  const { notRunAttempts } = record;
  const hasRoom = forecast.ownFreeSlots > 0;
  if (notRunAttempts > (hasRoom ? MAX_FULL_RETRIES : MAX_NOT_RUN_RETRIES)) {
    return rejectEarly(state, record, EarlyRejection.NoRoom, forecast, nowMs);
  }
  record.notRunBackendIds = [];
  return startWaiting(state, record, nowMs);
}

/** Retries a request if that is safe, lets it wait if a server may soon run it, and else ends it. */
export function retryOrEnd(
  state: EntryState,
  record: ForwardRecord,
  failed: FailedAttempt,
  nowMs: number,
): EntryCommand[] {
  const { diagnostic, isAnswerBegun, isCrashSuspect, isModelMissing } = failed;
  const quarantine = findRecordQuarantine(state, record);
  if (quarantine !== undefined) {
    return endQuarantined(state, record, quarantine, isAnswerBegun, nowMs);
  }
  const continued = failed.isServerFull ? continueAfterFull(state, record, nowMs) : null;
  if (continued !== null) {
    return continued;
  }
  const isDoubtful = isCrashSuspect && (record.isTrial || isRepeatDoubtful(state, record));
  if (
    !isDoubtful &&
    isRetrySafe(record, isAnswerBegun) &&
    takeRetryIfAllowed(state, record, nowMs)
  ) {
    return tryDispatch(state, record, nowMs) ?? [];
  }
  if (mayWait(state, record, failed, nowMs)) {
    record.notRunBackendIds =
      isModelMissing || isHeld(record, nowMs) ? [] : record.notRunBackendIds;
    return startWaiting(state, record, nowMs);
  }
  return endWithFailure(state, record, diagnostic, isAnswerBegun, nowMs);
}
