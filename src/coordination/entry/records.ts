/**
 * The end of forwarded requests: refusals, measures, and what a record gives back.
 */
import { getVariantKey } from '../../state/entry/backends.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import { RunClaim } from '../../state/types.js';
import { LogLevel, RequestOutcome } from '../events.js';
import { createRefusal, OPEN_WORKSPACE } from '../requestRecords.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryPart,
  type LogFields,
} from './commands.js';
import { noteRead } from './promptLoad.js';
import { refundRate } from './rates.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from './state.js';

/** How a forwarded request ended. */
export interface ForwardEnd {
  readonly outcome: RequestOutcome;
  readonly diagnostic: Diagnostic | null;
  readonly maxGapMs?: number;
  readonly meanGapMs?: number;
  readonly status?: number;
}

/** The timers of a request. */
export function getDueTimerId(requestId: string): string {
  return `due/${requestId}`;
}
export function getWaitTimerId(requestId: string): string {
  return `wait/${requestId}`;
}

/** What every log line on a request tells. */
export function describeRecord(record: ForwardRecord, nowMs: number): LogFields {
  return {
    request: record.request.callerRequestId,
    route: record.route.name,
    workspace: record.workspace?.name ?? OPEN_WORKSPACE,
    model: record.request.model ?? '',
    adapter: record.request.adapter ?? '',
    attempt: record.attempt,
    server: record.backendId ?? '',
    ageMs: nowMs - record.arrivedAtMs,
    leftMs: record.endsAtMs - nowMs,
  };
}

/** Names the demand for a request's model: service, model and adapter. */
export function getDemandKey(record: Pick<ForwardRecord, 'request' | 'service'>): string {
  const { adapter, model } = record.request;
  return `${record.service.name} ${getVariantKey(model ?? '', adapter)}`;
}

/** Frees the place that the record's dispatch holds at its server. */
export function releaseBackend(state: EntryState, record: ForwardRecord): void {
  const backend = record.backendId === null ? undefined : state.backends.get(record.backendId);
  if (backend !== undefined) {
    backend.inFlight = Math.max(0, backend.inFlight - 1);
    noteRead(backend, record);
  }
  record.backendId = null;
}

/** Ends the dispatch under way, if there is one. */
export function cancelAttempt(record: ForwardRecord): EntryCommand[] {
  if (record.phase !== ForwardPhase.Dispatched) {
    return [];
  }
  const { requestId } = record.request;
  return [{ kind: EntryCommandKind.CancelAttempt, requestId, attempt: record.attempt }];
}

/** Removes a record, gives back what it held, and orders its measure and its line in the log. */
export function closeForward(
  state: EntryState,
  record: ForwardRecord,
  end: ForwardEnd,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  const fields = describeRecord(record, nowMs);
  releaseBackend(state, record);
  state.requests.delete(requestId);
  const hasRun = record.attempt > 0 && record.runClaim !== RunClaim.NotRun;
  const isAnswered = end.outcome === RequestOutcome.Completed;
  if (record.isCharged && !hasRun && !isAnswered && record.workspace !== null) {
    refundRate(state, record.workspace.name, record.costTokens);
  }
  const diagnosticKey = end.diagnostic?.key ?? null;
  return [
    { kind: EntryCommandKind.CancelTimer, timerId: getDueTimerId(requestId) },
    { kind: EntryCommandKind.CancelTimer, timerId: getWaitTimerId(requestId) },
    {
      kind: EntryCommandKind.RecordRequest,
      requestId,
      measure: {
        workspace: record.workspace?.name ?? OPEN_WORKSPACE,
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
    createEntryLog(LogLevel.Info, EntryPart.Request, 'The request ended.', {
      ...fields,
      outcome: end.outcome,
      reason: diagnosticKey ?? '',
      status: end.status ?? 0,
      firstEventMs:
        record.firstEventAtMs === null ? -1 : record.firstEventAtMs - record.arrivedAtMs,
      maxGapMs: Math.round(end.maxGapMs ?? 0),
      run: record.runClaim,
      version: state.deployment?.version ?? 0,
    }),
  ];
}

/** Ends a request of which the caller has received nothing. */
export function refuseForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): EntryCommand[] {
  const { requestId } = record.request;
  const refusal = createRefusal(diagnostic, record.runClaim, retryAfterMs);
  return [
    { kind: EntryCommandKind.Refuse, requestId, refusal },
    ...closeForward(state, record, { outcome: RequestOutcome.Refused, diagnostic }, nowMs),
  ];
}

/** Ends an answer that the caller has a part of. */
export function abortForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
): EntryCommand[] {
  const { requestId } = record.request;
  const refusal = createRefusal(diagnostic, RunClaim.Unknown);
  return [
    { kind: EntryCommandKind.AbortAnswer, requestId, refusal },
    ...closeForward(state, record, { outcome: RequestOutcome.Broken, diagnostic }, nowMs),
  ];
}

/** Ends a request wherever it stands; one that is under way may have run. */
export function giveUpForward(
  state: EntryState,
  record: ForwardRecord,
  diagnostic: Diagnostic,
  nowMs: number,
): EntryCommand[] {
  const cancel = cancelAttempt(record);
  if (record.phase === ForwardPhase.Dispatched) {
    record.runClaim = RunClaim.Unknown;
  }
  const end =
    record.firstEventAtMs === null
      ? refuseForward(state, record, diagnostic, nowMs)
      : abortForward(state, record, diagnostic, nowMs);
  return [...cancel, ...end];
}
