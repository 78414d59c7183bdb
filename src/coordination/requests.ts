/**
 * Handles arriving requests, callers that disconnect, and requests that exceed their deadline.
 */
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { RunClaim, type RequestInfo, TargetKind } from '../state/types.js';
import { type Admission, admitRequest } from './admission.js';
import { type Command, CommandKind, EventKind, type EventOf, RequestOutcome } from './events.js';
import { type NodeState, RequestPhase, type RequestRecord } from './nodeState.js';
import {
  abortRecord,
  closeRecord,
  createRefusal,
  getPromptTokens,
  getTimerId,
  NO_GAPS,
  OPEN_WORKSPACE,
  refuseRecord,
} from './requestRecords.js';
import { pumpTokenQueue, takeTokens } from './tokenQueue.js';

function createRecord(request: RequestInfo, admission: Admission, nowMs: number): RequestRecord {
  return {
    info: request,
    workspace: admission.workspace,
    targetName: admission.targetName,
    isIdempotent: admission.isIdempotent,
    costTokens: admission.costTokens,
    arrivedAtMs: nowMs,
    phase: RequestPhase.Borrowing,
    reservation: null,
    looseTokens: 0,
    loanDeadlineMs: nowMs,
    askAgainAtMs: nowMs,
    openLoans: 0,
    borrowRounds: 0,
    attempt: 0,
    server: null,
    triedServers: [],
    claimId: null,
    runClaim: RunClaim.NotRun,
    firstTokenAtMs: null,
  };
}

function getTargetName(request: RequestInfo): string {
  const { target } = request;
  return target.kind === TargetKind.Model ? target.model : target.path;
}

function refuseArrival(request: RequestInfo, diagnostic: Diagnostic): Command[] {
  return [
    {
      kind: CommandKind.Refuse,
      requestId: request.requestId,
      refusal: createRefusal(diagnostic, RunClaim.NotRun),
    },
    {
      kind: CommandKind.RecordRequest,
      requestId: request.requestId,
      measure: {
        workspace: OPEN_WORKSPACE,
        target: getTargetName(request),
        outcome: RequestOutcome.Refused,
        diagnosticKey: diagnostic.key,
        firstTokenMs: null,
        ...NO_GAPS,
        durationMs: 0,
        tokens: 0,
      },
    },
  ];
}

/** Admits a new request and processes it up to the first step that has to wait. */
export function handleRequestArrived(
  state: NodeState,
  event: EventOf<typeof EventKind.RequestArrived>,
  nowMs: number,
): Command[] {
  const { request } = event;
  return admitRequest(state, request).caseOf<Command[]>({
    Left: (diagnostic) => refuseArrival(request, diagnostic),
    Right: (admission) => {
      const record = createRecord(request, admission, nowMs);
      state.requests.set(request.requestId, record);
      return [
        {
          kind: CommandKind.StartTimer,
          timerId: getTimerId(request.requestId),
          delayMs: request.timeoutMs,
          event: { kind: EventKind.RequestTimedOut, requestId: request.requestId },
        },
        ...takeTokens(state, record, nowMs),
      ];
    },
  });
}

/** Resumes the workspace's token queue after a request has left it. */
function resumeTokenQueue(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  return record.workspace === null ? [] : pumpTokenQueue(state, record.workspace, nowMs);
}

function cancelDispatch(record: RequestRecord): Command[] {
  if (record.phase !== RequestPhase.Dispatched) {
    return [];
  }
  const { requestId } = record.info;
  return [{ kind: CommandKind.CancelDispatch, requestId, attempt: record.attempt }];
}

/** Cancels the request of a caller that has disconnected. */
export function handleCallerLeft(
  state: NodeState,
  event: EventOf<typeof EventKind.CallerLeft>,
  nowMs: number,
): Command[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const isSent = record.attempt > 0;
  const usedTokens = isSent ? getPromptTokens(record) + event.deliveredTokens : 0;
  const end = { outcome: RequestOutcome.Abandoned, diagnostic: null, usedTokens, ...NO_GAPS };
  return [
    ...cancelDispatch(record),
    ...closeRecord(state, record, end, nowMs),
    ...resumeTokenQueue(state, record, nowMs),
  ];
}

/** Ends a request that has exceeded its deadline. */
export function handleRequestTimedOut(
  state: NodeState,
  event: EventOf<typeof EventKind.RequestTimedOut>,
  nowMs: number,
): Command[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const { timeoutMs } = record.info;
  const diagnostic = createDiagnostic(Diagnostics.DeadlineExceeded, timeoutMs);
  const isDispatched = record.phase === RequestPhase.Dispatched;
  record.runClaim = isDispatched ? RunClaim.Unknown : record.runClaim;
  const cancel = cancelDispatch(record);
  const end =
    record.firstTokenAtMs === null
      ? refuseRecord(state, record, diagnostic, nowMs)
      : abortRecord(state, record, diagnostic, record.costTokens, nowMs);
  return [...cancel, ...end, ...resumeTokenQueue(state, record, nowMs)];
}
