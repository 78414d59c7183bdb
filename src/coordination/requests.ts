/**
 * The course of a request: admission, tokens, the claim of its idempotency key, dispatch, retries, end.
 */
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../state/diagnostics.js';
import { combineRunClaims, getRunClaim } from '../state/runState.js';
import {
  depositTokens,
  getReservedTokens,
  LOAN_SPEND_MS,
  reserveUpTo,
} from '../state/tokenSlice.js';
import { RunClaim, type RequestInfo, TargetKind, type Workspace } from '../state/types.js';
import { type Admission, admitRequest } from './admission.js';
import {
  createBorrowCommands,
  getRefillMs,
  isFleetShort,
  planLoans,
  recordLender,
} from './borrowing.js';
import {
  ClaimOutcome,
  type Command,
  CommandKind,
  EventKind,
  type EventOf,
  RequestOutcome,
} from './events.js';
import { type NodeState, RequestPhase, type RequestRecord } from './nodeState.js';
import {
  closeRecord,
  createRefusal,
  findDispatch,
  getPromptTokens,
  getTimerId,
  OPEN_WORKSPACE,
  releaseServer,
} from './requestRecords.js';
import { getServerRecord, selectServer } from './routing.js';
import { getSlice, isShareUsable } from './slices.js';

/** How long the finding that the whole fleet is short is kept at most. */
const MAX_SHORT_MS = 200;
/** What a caller is told to wait when a refusal does not come from its rate. */
const BUSY_RETRY_AFTER_MS = 1_000;

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
    loanDeadlineMs: nowMs + LOAN_SPEND_MS,
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
        maxGapMs: 0,
        durationMs: 0,
        tokens: 0,
      },
    },
  ];
}

/** Ends a request of which the caller has received nothing. */
function refuseRecord(
  state: NodeState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): Command[] {
  const usedTokens = record.runClaim === RunClaim.NotRun ? 0 : record.costTokens;
  const end = { outcome: RequestOutcome.Refused, diagnostic, usedTokens, maxGapMs: 0 };
  return [
    {
      kind: CommandKind.Refuse,
      requestId: record.info.requestId,
      refusal: createRefusal(diagnostic, record.runClaim, retryAfterMs),
    },
    ...closeRecord(state, record, end, nowMs),
  ];
}

/** Ends an answer that the caller has a part of. */
function abortRecord(
  state: NodeState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  deliveredTokens: number,
  nowMs: number,
): Command[] {
  const usedTokens = getPromptTokens(record) + deliveredTokens;
  const end = { outcome: RequestOutcome.Broken, diagnostic, usedTokens, maxGapMs: 0 };
  return [
    {
      kind: CommandKind.AbortAnswer,
      requestId: record.info.requestId,
      refusal: createRefusal(diagnostic, RunClaim.Unknown),
    },
    ...closeRecord(state, record, end, nowMs),
  ];
}

function dispatchRecord(
  state: NodeState,
  record: RequestRecord,
  deliveredTokens: number,
  nowMs: number,
): Command[] | Diagnostic {
  if (state.configuration === null) {
    return createDiagnostic(Diagnostics.NotConfigured);
  }
  const query = {
    target: record.info.target,
    targetName: record.targetName,
    triedServers: record.triedServers,
  };
  return selectServer(state, state.configuration, query, nowMs).caseOf<Command[] | Diagnostic>({
    Left: (diagnostic) => diagnostic,
    Right: (server) => {
      record.phase = RequestPhase.Dispatched;
      record.attempt += 1;
      record.server = server.name;
      record.triedServers.push(server.name);
      getServerRecord(state, server.name).inFlight += 1;
      return [
        {
          kind: CommandKind.Dispatch,
          requestId: record.info.requestId,
          attempt: record.attempt,
          server: server.name,
          address: server.address,
          workspace: record.workspace?.name ?? null,
          isIdempotent: record.isIdempotent,
          resumeFromToken: deliveredTokens,
        },
      ];
    },
  });
}

function startDispatch(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { retryBurst, retryRatio } = state.policy;
  state.retryTokens = Math.min(retryBurst, state.retryTokens + retryRatio);
  const result = dispatchRecord(state, record, 0, nowMs);
  return Array.isArray(result)
    ? result
    : refuseRecord(state, record, result, nowMs, BUSY_RETRY_AFTER_MS);
}

/** Claims the idempotency key of a request that may run only once, else dispatches at once. */
function startRun(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { idempotencyDigest, requestId } = record.info;
  if (record.isIdempotent || idempotencyDigest === null) {
    return startDispatch(state, record, nowMs);
  }
  record.phase = RequestPhase.Claiming;
  record.claimId = `${record.workspace?.name ?? OPEN_WORKSPACE}/${idempotencyDigest}`;
  return [{ kind: CommandKind.ClaimIdempotencyKey, requestId, claimId: record.claimId }];
}

function getHeldTokens(record: RequestRecord): number {
  const reserved = record.reservation === null ? 0 : getReservedTokens(record.reservation);
  return reserved + record.looseTokens;
}

/** Gives back the part that was reserved and tries for the whole again. */
function reserveAgain(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): void {
  const openTokens = record.costTokens - getHeldTokens(record);
  if (openTokens <= 0) {
    return;
  }
  const slice = getSlice(state, workspace, nowMs);
  const reserved = record.reservation === null ? 0 : getReservedTokens(record.reservation);
  const more = reserveUpTo(slice, openTokens, nowMs);
  // Both parts count as taken at the earlier instant, which refunds less.
  record.reservation = {
    amountMicro: (record.reservation?.amountMicro ?? 0) + more.amountMicro,
    cutAtStartMicro: reserved > 0 ? record.reservation!.cutAtStartMicro : more.cutAtStartMicro,
  };
}

function refuseForRate(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = record.costTokens - getHeldTokens(record);
  const waitMs = getRefillMs(workspace, missingTokens);
  const untilMs = nowMs + Math.min(waitMs, MAX_SHORT_MS);
  state.shortUntilMs.set(workspace.name, untilMs);
  if (record.looseTokens > 0 && nowMs <= record.loanDeadlineMs) {
    depositTokens(getSlice(state, workspace, nowMs), record.looseTokens, nowMs);
    record.looseTokens = 0;
  }
  const diagnostic = createDiagnostic(Diagnostics.RateExceeded, workspace.name, missingTokens);
  return refuseRecord(state, record, diagnostic, nowMs, waitMs);
}

/** Asks peers for what is missing, or refuses when there is nobody left to ask. */
function borrowOrRefuse(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = record.costTokens - getHeldTokens(record);
  const mayAsk =
    record.borrowRounds < state.policy.maxBorrowRounds && !isFleetShort(state, workspace, nowMs);
  const plans = mayAsk ? planLoans(state, workspace, missingTokens, nowMs) : [];
  if (plans.length === 0) {
    return refuseForRate(state, record, workspace, nowMs);
  }
  record.phase = RequestPhase.Borrowing;
  record.borrowRounds += 1;
  record.openLoans = plans.length;
  record.loanDeadlineMs = nowMs + LOAN_SPEND_MS;
  return createBorrowCommands(record.info.requestId, workspace, plans);
}

function takeTokensOrBorrow(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { workspace } = record;
  if (workspace === null) {
    return startRun(state, record, nowMs);
  }
  if (isShareUsable(state)) {
    reserveAgain(state, record, workspace, nowMs);
  }
  return getHeldTokens(record) >= record.costTokens
    ? startRun(state, record, nowMs)
    : borrowOrRefuse(state, record, workspace, nowMs);
}

/** Admits a new request and takes it as far as it goes without waiting. */
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
        ...takeTokensOrBorrow(state, record, nowMs),
      ];
    },
  });
}

/** Takes a lender's answer; when the last one is in, goes on or asks again. */
export function handleLoanAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.LoanAnswered>,
  nowMs: number,
): Command[] {
  const { requestId, peerVmId, workspace: name, grantedTokens, leftTokens } = event;
  recordLender(state, name, peerVmId, leftTokens ?? 0, nowMs);
  const record = state.requests.get(requestId);
  const workspace = record?.workspace ?? null;
  if (record === undefined || workspace === null || record.phase !== RequestPhase.Borrowing) {
    return [];
  }
  record.openLoans -= 1;
  if (nowMs <= record.loanDeadlineMs) {
    const slice = getSlice(state, workspace, nowMs);
    const stored = isShareUsable(state) ? depositTokens(slice, grantedTokens, nowMs) : 0;
    record.looseTokens += grantedTokens - stored;
  } else {
    record.looseTokens = 0;
  }
  return record.openLoans > 0 ? [] : takeTokensOrBorrow(state, record, nowMs);
}

type ClaimHandler = (state: NodeState, record: RequestRecord, nowMs: number) => Command[];

/** Refuses a request whose key an earlier request may have run under. */
function createClaimRefuser(message: DiagnosticMessage): ClaimHandler {
  return (state, record, nowMs) => {
    record.runClaim = RunClaim.Unknown;
    record.claimId = null;
    return refuseRecord(state, record, createDiagnostic(message), nowMs, BUSY_RETRY_AFTER_MS);
  };
}

function replayAnswer(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { requestId } = record.info;
  const outcome = RequestOutcome.Completed;
  const end = { outcome, diagnostic: null, usedTokens: record.costTokens, maxGapMs: 0 };
  return [{ kind: CommandKind.ReplayAnswer, requestId }, ...closeRecord(state, record, end, nowMs)];
}

const CLAIM_HANDLERS: Readonly<Record<ClaimOutcome, ClaimHandler>> = {
  [ClaimOutcome.Won]: startDispatch,
  [ClaimOutcome.Answered]: replayAnswer,
  [ClaimOutcome.InProgress]: createClaimRefuser(Diagnostics.ClaimInProgress),
  [ClaimOutcome.HeldElsewhere]: createClaimRefuser(Diagnostics.ClaimHeldElsewhere),
  [ClaimOutcome.Unavailable]: createClaimRefuser(Diagnostics.ClaimUnavailable),
};

/** Dispatches a request whose claim was won, and refuses any other. */
export function handleClaimAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.ClaimAnswered>,
  nowMs: number,
): Command[] {
  const { claimId, outcome, requestId } = event;
  const record = state.requests.get(requestId);
  if (record?.phase === RequestPhase.Claiming) {
    return CLAIM_HANDLERS[outcome](state, record, nowMs);
  }
  // The request ended while its claim was being made, and was not sent.
  return outcome === ClaimOutcome.Won
    ? [{ kind: CommandKind.EndClaim, requestId, claimId, run: RunClaim.NotRun, isAnswered: false }]
    : [];
}

/** Notes the first byte of an answer. */
export function handleAnswerStarted(
  state: NodeState,
  event: EventOf<typeof EventKind.AnswerStarted>,
  nowMs: number,
): Command[] {
  const record = findDispatch(state, event.requestId, event.attempt);
  if (record !== undefined) {
    record.firstTokenAtMs ??= nowMs;
  }
  return [];
}

/** Ends a request whose whole answer has gone to the caller. */
export function handleAnswerCompleted(
  state: NodeState,
  event: EventOf<typeof EventKind.AnswerCompleted>,
  nowMs: number,
): Command[] {
  const record = findDispatch(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const usedTokens = getPromptTokens(record) + event.generatedTokens;
  const { maxGapMs } = event;
  const end = { outcome: RequestOutcome.Completed, diagnostic: null, usedTokens, maxGapMs };
  return closeRecord(state, record, end, nowMs);
}

function takeRetry(state: NodeState, isCertainlyNotRun: boolean): boolean {
  if (isCertainlyNotRun) {
    return true;
  }
  if (state.retryTokens < 1) {
    return false;
  }
  state.retryTokens -= 1;
  return true;
}

function penalizeServer(state: NodeState, server: string, nowMs: number): void {
  getServerRecord(state, server).penaltyUntilMs = nowMs + state.policy.serverPenaltyMs;
}

/** Only a model's answer can go on elsewhere once the caller has a part of it. */
function canSendAgain(record: RequestRecord, isAnswerBegun: boolean): boolean {
  if (isAnswerBegun) {
    return record.info.target.kind === TargetKind.Model;
  }
  return record.isIdempotent || record.runClaim === RunClaim.NotRun;
}

/** Retries a failed dispatch if that is safe, else ends the request with what is proved of it. */
export function handleDispatchFailed(
  state: NodeState,
  event: EventOf<typeof EventKind.DispatchFailed>,
  nowMs: number,
): Command[] {
  const record = findDispatch(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const { deliveredTokens, diagnostic, isAnswerBegun, isRefusedByServer, runState } = event;
  const attemptClaim = isRefusedByServer ? RunClaim.NotRun : getRunClaim(runState);
  record.runClaim = combineRunClaims(record.runClaim, attemptClaim);
  penalizeServer(state, record.server!, nowMs);
  releaseServer(state, record);
  const endRecord = (reason: Diagnostic): Command[] =>
    isAnswerBegun
      ? abortRecord(state, record, reason, deliveredTokens, nowMs)
      : refuseRecord(state, record, reason, nowMs, BUSY_RETRY_AFTER_MS);
  const mayRetry =
    record.attempt < state.policy.maxAttempts &&
    canSendAgain(record, isAnswerBegun) &&
    takeRetry(state, attemptClaim === RunClaim.NotRun);
  if (!mayRetry) {
    return endRecord(diagnostic);
  }
  const result = dispatchRecord(state, record, deliveredTokens, nowMs);
  return Array.isArray(result) ? result : endRecord(diagnostic);
}

function cancelDispatch(record: RequestRecord): Command[] {
  if (record.phase !== RequestPhase.Dispatched) {
    return [];
  }
  const { requestId } = record.info;
  return [{ kind: CommandKind.CancelDispatch, requestId, attempt: record.attempt }];
}

/** Cancels the work of a caller that has gone. */
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
  const end = { outcome: RequestOutcome.Abandoned, diagnostic: null, usedTokens, maxGapMs: 0 };
  return [...cancelDispatch(record), ...closeRecord(state, record, end, nowMs)];
}

/** Ends a request that has taken its whole time. */
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
  return record.firstTokenAtMs === null
    ? [...cancel, ...refuseRecord(state, record, diagnostic, nowMs)]
    : [...cancel, ...abortRecord(state, record, diagnostic, record.costTokens, nowMs)];
}
