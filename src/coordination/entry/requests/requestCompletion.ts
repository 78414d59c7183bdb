/**
 * Ends forwarded requests: rejects or aborts them, records their metrics, and releases the backend server slot
 * and the tokens that they held.
 */
import { getVariantKey } from '../../../state/entry/backends.js';
import type { Diagnostic } from '../../../state/diagnostics.js';
import { RunStatus } from '../../../state/types.js';
import { LogLevel, RequestOutcome } from '../../events.js';
import { createRefusal, NO_WORKSPACE_NAME } from '../../requestCompletion.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
  type LogFields,
} from '../commands.js';
import type { CloseCause } from '../closeCause.js';

import { writeBrokenStream } from './streamOriginWrites.js';
import { removePendingPrefill } from './prefillLoad.js';
import { dequeue } from './waitingQueue.js';
import { refundRate } from '../limits/rates.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';

/** Result of a forwarded request. */
export interface ForwardEnd {
  readonly outcome: RequestOutcome;
  readonly diagnostic: Diagnostic | null;
  readonly maxGapMs?: number;
  readonly meanGapMs?: number;
  readonly status?: number;
  /** What has closed the connection of the caller before the answer was complete. */
  readonly closedBy?: CloseCause;
}

/** Returns the id of the timer that ends a request at its deadline. */
export function getDeadlineTimerId(requestId: string): string {
  return `due/${requestId}`;
}

/** Returns the id of the timer that limits the wait for a backend server. */
export function getWaitTimerId(requestId: string): string {
  return `wait/${requestId}`;
}

/** Returns the fields that all log lines about a request share. */
export function getRequestLogFields(record: ForwardRecord, nowMs: number): LogFields {
  return {
    request: record.request.callerRequestId,
    route: record.route.name,
    workspace: record.workspace?.name ?? NO_WORKSPACE_NAME,
    model: record.request.model ?? '',
    adapter: record.request.adapter ?? '',
    attempt: record.attempt,
    server: record.backendId ?? '',
    passedBy: record.passedBy ?? '',
    passedTo: record.passedTo ?? '',
    softwareVersion: record.softwareVersion,
    resumes: record.request.resumedRequestId ?? '',
    ageMs: nowMs - record.arrivedAtMs,
    leftMs: record.deadlineAtMs - nowMs,
  };
}

/** Returns the key under which demand for a request's service, model and adapter is counted. */
export function getDemandKey(record: Pick<ForwardRecord, 'request' | 'service'>): string {
  const { adapter, model } = record.request;
  return `${record.service.name} ${getVariantKey(model ?? '', adapter)}`;
}

/** Releases the slot that the current attempt holds at its backend server, or at the VM that it was passed to. */
export function releaseBackend(state: EntryState, record: ForwardRecord): void {
  const backend = record.backendId === null ? undefined : state.backends.get(record.backendId);
  if (backend !== undefined) {
    backend.inFlight = Math.max(0, backend.inFlight - 1);
    removePendingPrefill(backend, record);
  }
  record.backendId = null;
  const target = record.passedTo === null ? undefined : state.passTargets.get(record.passedTo);
  if (target !== undefined) {
    target.inFlight = Math.max(0, target.inFlight - 1);
  }
  record.passedTo = null;
}

/** Returns the command that cancels the attempt in flight, if there is one. */
export function cancelAttempt(record: ForwardRecord): EntryCommand[] {
  if (record.phase !== ForwardPhase.Dispatched) {
    return [];
  }
  const { requestId } = record.request;
  return [{ kind: EntryCommandKind.CancelAttempt, requestId, attempt: record.attempt }];
}

/**
 * Removes a record and returns the commands that cancel its timers, record its metrics and log its end. Refunds
 * the cost of a request that provably did not run.
 */
export function closeForward(
  state: EntryState,
  record: ForwardRecord,
  end: ForwardEnd,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  const fields = getRequestLogFields(record, nowMs);
  releaseBackend(state, record);
  dequeue(state, record);
  state.requests.delete(requestId);
  const hasRun = record.attempt > 0 && record.runStatus !== RunStatus.NotRun;
  const isAnswered = end.outcome === RequestOutcome.Completed;
  if (record.isCharged && !hasRun && !isAnswered && record.workspace !== null) {
    refundRate(state, record.workspace.name, record.costTokens);
  }
  const diagnosticKey = end.diagnostic?.key ?? null;
  const isBroken = record.firstEventAtMs !== null && !isAnswered;
  return [
    ...(isBroken ? writeBrokenStream(state, record, nowMs) : []),
    { kind: EntryCommandKind.CancelTimer, timerId: getDeadlineTimerId(requestId) },
    { kind: EntryCommandKind.CancelTimer, timerId: getWaitTimerId(requestId) },
    {
      kind: EntryCommandKind.RecordRequest,
      requestId,
      measure: {
        workspace: record.workspace?.name ?? NO_WORKSPACE_NAME,
        target: record.route.name,
        outcome: end.outcome,
        diagnosticKey,
        firstTokenMs:
          record.firstEventAtMs === null ? null : record.firstEventAtMs - record.arrivedAtMs,
        maxGapMs: end.maxGapMs ?? 0,
        meanGapMs: end.meanGapMs ?? 0,
        durationMs: nowMs - record.arrivedAtMs,
        tokens: record.costTokens,
      },
    },
    createEntryLog(LogLevel.Info, EntryLogPrefix.Request, 'The request ended.', {
      ...fields,
      outcome: end.outcome,
      reason: diagnosticKey ?? '',
      status: end.status ?? 0,
      closedBy: end.closedBy ?? '',
      firstEventMs:
        record.firstEventAtMs === null ? -1 : record.firstEventAtMs - record.arrivedAtMs,
      maxGapMs: Math.round(end.maxGapMs ?? 0),
      run: record.runStatus,
      version: state.deployment?.version ?? 0,
    }),
  ];
}

/** Rejects a request whose caller has received no part of an answer. */
export function refuseForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): EntryCommand[] {
  const { requestId } = record.request;
  const refusal = createRefusal(diagnostic, record.runStatus, retryAfterMs);
  return [
    { kind: EntryCommandKind.Refuse, requestId, refusal },
    ...closeForward(state, record, { outcome: RequestOutcome.Refused, diagnostic }, nowMs),
  ];
}

/** Aborts an answer that the caller has received in part. */
export function abortForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  const refusal = createRefusal(diagnostic, RunStatus.Unknown);
  return [
    { kind: EntryCommandKind.AbortAnswer, requestId, refusal },
    ...closeForward(state, record, { outcome: RequestOutcome.Broken, diagnostic }, nowMs),
  ];
}

/** Ends a request in any phase. A request in flight is reported as one that may have run. */
export function terminateForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): EntryCommand[] {
  const cancel = cancelAttempt(record);
  if (record.phase === ForwardPhase.Dispatched) {
    record.runStatus = RunStatus.Unknown;
  }
  const end =
    record.firstEventAtMs === null
      ? refuseForward(state, record, diagnostic, nowMs, retryAfterMs)
      : abortForward(state, record, diagnostic, nowMs);
  return [...cancel, ...end];
}
