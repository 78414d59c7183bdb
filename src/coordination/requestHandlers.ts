/**
 * Handles arriving requests, callers that disconnect, and requests that exceed their deadline.
 */
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { RunStatus, type RequestInfo, TargetKind } from '../state/types.js';
import { type Admission, admitRequest } from './admission.js';
import { type Command, CommandKind, EventKind, type EventOf, RequestOutcome } from './events.js';
import { type VmState, RequestPhase, type RequestRecord } from './vmState.js';
import {
  abortRequest,
  finishRequest,
  createRefusal,
  getPromptTokens,
  getDeadlineTimerId,
  NO_TOKEN_GAPS,
  NO_WORKSPACE_NAME,
  refuseRequest,
} from './requestCompletion.js';
import { processTokenQueue, acquireTokens } from './tokenQueue.js';

function createRecord(request: RequestInfo, admission: Admission, nowMs: number): RequestRecord {
  return {
    info: request,
    workspace: admission.workspace,
    targetName: admission.targetName,
    isIdempotent: admission.isIdempotent,
    costTokens: admission.costTokens,
    arrivedAtMs: nowMs,
    phase: RequestPhase.AwaitingTokens,
    reservation: null,
    undepositedLoanTokens: 0,
    loanDeadlineMs: nowMs,
    nextLoanRequestAtMs: nowMs,
    pendingLoans: 0,
    borrowRounds: 0,
    attempt: 0,
    server: null,
    triedServers: [],
    claimId: null,
    runStatus: RunStatus.NotRun,
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
      refusal: createRefusal(diagnostic, RunStatus.NotRun),
    },
    {
      kind: CommandKind.RecordRequest,
      requestId: request.requestId,
      measure: {
        workspace: NO_WORKSPACE_NAME,
        target: getTargetName(request),
        outcome: RequestOutcome.Refused,
        diagnosticKey: diagnostic.key,
        firstTokenMs: null,
        ...NO_TOKEN_GAPS,
        durationMs: 0,
        tokens: 0,
      },
    },
  ];
}

/** Admits a new request and processes it up to the first step that has to wait. */
export function handleRequestArrived(
  state: VmState,
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
          timerId: getDeadlineTimerId(request.requestId),
          delayMs: request.timeoutMs,
          event: { kind: EventKind.RequestTimedOut, requestId: request.requestId },
        },
        ...acquireTokens(state, record, nowMs),
      ];
    },
  });
}

/** Resumes the workspace's token queue after a request has left it. */
function resumeTokenQueue(state: VmState, record: RequestRecord, nowMs: number): Command[] {
  return record.workspace === null ? [] : processTokenQueue(state, record.workspace, nowMs);
}

function cancelDispatch(record: RequestRecord): Command[] {
  if (record.phase !== RequestPhase.Dispatched) {
    return [];
  }
  const { requestId } = record.info;
  return [{ kind: CommandKind.CancelDispatch, requestId, attempt: record.attempt }];
}

/** Cancels the request of a caller that has disconnected. */
export function handleCallerDisconnected(
  state: VmState,
  event: EventOf<typeof EventKind.CallerDisconnected>,
  nowMs: number,
): Command[] {
  const record = state.requests.get(event.requestId);
  if (record === undefined) {
    return [];
  }
  const isSent = record.attempt > 0;
  const usedTokens = isSent ? getPromptTokens(record) + event.deliveredTokens : 0;
  const end = { outcome: RequestOutcome.Abandoned, diagnostic: null, usedTokens, ...NO_TOKEN_GAPS };
  return [
    ...cancelDispatch(record),
    ...finishRequest(state, record, end, nowMs),
    ...resumeTokenQueue(state, record, nowMs),
  ];
}

/** Ends a request that has exceeded its deadline. */
export function handleRequestTimedOut(
  state: VmState,
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
  record.runStatus = isDispatched ? RunStatus.Unknown : record.runStatus;
  const cancel = cancelDispatch(record);
  const end =
    record.firstTokenAtMs === null
      ? refuseRequest(state, record, diagnostic, nowMs)
      : abortRequest(state, record, diagnostic, record.costTokens, nowMs);
  return [...cancel, ...end, ...resumeTokenQueue(state, record, nowMs)];
}
