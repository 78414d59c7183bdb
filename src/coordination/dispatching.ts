/**
 * A request that has its tokens: the claim of its idempotency key, dispatch, retries and answer.
 */
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../state/diagnostics.js';
import { combineRunClaims, getRunClaim } from '../state/runState.js';
import { RunClaim, TargetKind } from '../state/types.js';
import {
  ClaimOutcome,
  type Command,
  CommandKind,
  type EventKind,
  type EventOf,
  RequestOutcome,
} from './events.js';
import { type NodeState, RequestPhase, type RequestRecord } from './nodeState.js';
import {
  abortRecord,
  closeRecord,
  findDispatch,
  getPromptTokens,
  NO_GAPS,
  OPEN_WORKSPACE,
  refuseRecord,
  releaseServer,
} from './requestRecords.js';
import { getServerRecord, selectServer } from './routing.js';

/** What a caller is told to wait when a refusal does not come from its rate. */
const BUSY_RETRY_AFTER_MS = 1_000;

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
export function startRun(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { idempotencyDigest, requestId } = record.info;
  if (record.isIdempotent || idempotencyDigest === null) {
    return startDispatch(state, record, nowMs);
  }
  record.phase = RequestPhase.Claiming;
  record.claimId = `${record.workspace?.name ?? OPEN_WORKSPACE}/${idempotencyDigest}`;
  return [{ kind: CommandKind.ClaimIdempotencyKey, requestId, claimId: record.claimId }];
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
  const end = { outcome, diagnostic: null, usedTokens: record.costTokens, ...NO_GAPS };
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
  const { maxGapMs, meanGapMs } = event;
  const outcome = RequestOutcome.Completed;
  const end = { outcome, diagnostic: null, usedTokens, maxGapMs, meanGapMs };
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
