/**
 * Runs a request whose tokens are reserved: claims its idempotency key, dispatches it to a backend
 * server, retries failed dispatches and completes it with the answer.
 */
import {
  createDiagnostic,
  type Diagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../state/diagnostics.js';
import { combineRunStatuses, getRunStatus } from '../state/runState.js';
import { RunStatus, TargetKind } from '../state/types.js';
import {
  ClaimOutcome,
  type Command,
  CommandKind,
  createLog,
  type EventKind,
  type EventOf,
  LogLevel,
  LogPrefix,
  RequestOutcome,
} from './events.js';
import { type VmState, RequestPhase, type RequestRecord } from './vmState.js';
import {
  abortRequest,
  finishRequest,
  findDispatchedRequest,
  getPromptTokens,
  NO_TOKEN_GAPS,
  NO_WORKSPACE_NAME,
  refuseRequest,
  releaseServerSlot,
} from './requestCompletion.js';
import { getServerRecord, selectServer } from './routing.js';

/** Retry delay sent with refusals that the rate limit did not cause. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

function dispatchRequest(
  state: VmState,
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

function startDispatch(state: VmState, record: RequestRecord, nowMs: number): Command[] {
  const { retryBurst, retryRatio } = state.policy;
  state.retryTokens = Math.min(retryBurst, state.retryTokens + retryRatio);
  const result = dispatchRequest(state, record, 0, nowMs);
  return Array.isArray(result)
    ? result
    : refuseRequest(state, record, result, nowMs, DEFAULT_RETRY_AFTER_MS);
}

/** Claims the idempotency key of a request that may run only once; dispatches any other at once. */
export function startRun(state: VmState, record: RequestRecord, nowMs: number): Command[] {
  const { idempotencyDigest, requestId } = record.info;
  if (record.isIdempotent || idempotencyDigest === null) {
    return startDispatch(state, record, nowMs);
  }
  record.phase = RequestPhase.Claiming;
  record.claimId = `${record.workspace?.name ?? NO_WORKSPACE_NAME}/${idempotencyDigest}`;
  return [{ kind: CommandKind.ClaimIdempotencyKey, requestId, claimId: record.claimId }];
}

type ClaimHandler = (state: VmState, record: RequestRecord, nowMs: number) => Command[];

/** Creates a handler that refuses a request because an earlier one with its key may have run. */
function createRefusingClaimHandler(message: DiagnosticMessage): ClaimHandler {
  return (state, record, nowMs) => {
    record.runStatus = RunStatus.Unknown;
    record.claimId = null;
    return refuseRequest(state, record, createDiagnostic(message), nowMs, DEFAULT_RETRY_AFTER_MS);
  };
}

function replayAnswer(state: VmState, record: RequestRecord, nowMs: number): Command[] {
  const { requestId } = record.info;
  const outcome = RequestOutcome.Completed;
  const end = { outcome, diagnostic: null, usedTokens: record.costTokens, ...NO_TOKEN_GAPS };
  return [
    { kind: CommandKind.ReplayAnswer, requestId },
    ...finishRequest(state, record, end, nowMs),
  ];
}

const CLAIM_HANDLERS: Readonly<Record<ClaimOutcome, ClaimHandler>> = {
  [ClaimOutcome.Won]: startDispatch,
  [ClaimOutcome.Answered]: replayAnswer,
  [ClaimOutcome.InProgress]: createRefusingClaimHandler(Diagnostics.ClaimInProgress),
  [ClaimOutcome.HeldElsewhere]: createRefusingClaimHandler(Diagnostics.ClaimHeldElsewhere),
  [ClaimOutcome.Unavailable]: createRefusingClaimHandler(Diagnostics.ClaimUnavailable),
};

/** Dispatches a request that won its claim, replays a stored answer, or refuses the request. */
export function handleClaimAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.ClaimAnswered>,
  nowMs: number,
): Command[] {
  const { claimId, outcome, requestId } = event;
  const record = state.requests.get(requestId);
  if (record?.phase === RequestPhase.Claiming) {
    return CLAIM_HANDLERS[outcome](state, record, nowMs);
  }
  // The request ended before the result of its claim arrived, so it was never dispatched.
  return outcome === ClaimOutcome.Won
    ? [{ kind: CommandKind.EndClaim, requestId, claimId, run: RunStatus.NotRun, isAnswered: false }]
    : [];
}

/** Records when the first byte of an answer arrived. */
export function handleAnswerStarted(
  state: VmState,
  event: EventOf<typeof EventKind.AnswerStarted>,
  nowMs: number,
): Command[] {
  const record = findDispatchedRequest(state, event.requestId, event.attempt);
  if (record !== undefined) {
    record.firstTokenAtMs ??= nowMs;
  }
  return [];
}

/** Completes a request whose whole answer has been sent to the caller. */
export function handleAnswerCompleted(
  state: VmState,
  event: EventOf<typeof EventKind.AnswerCompleted>,
  nowMs: number,
): Command[] {
  const record = findDispatchedRequest(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const usedTokens = getPromptTokens(record) + event.generatedTokens;
  const { maxGapMs, meanGapMs } = event;
  const outcome = RequestOutcome.Completed;
  const end = { outcome, diagnostic: null, usedTokens, maxGapMs, meanGapMs };
  return finishRequest(state, record, end, nowMs);
}

/** Logs and counts an answer that does not belong to its request. Its dispatch fails after that. */
export function handleAnswerSpoiled(
  state: VmState,
  { attempt, reason, requestId }: EventOf<typeof EventKind.AnswerSpoiled>,
): Command[] {
  const server = findDispatchedRequest(state, requestId, attempt)?.server ?? null;
  if (server === null) {
    return [];
  }
  const fields = { server, reason, requestId, attempt };
  return [
    { kind: CommandKind.RecordSpoiledAnswer, server, reason },
    createLog(LogLevel.Warn, LogPrefix.Server, 'A backend server has spoiled an answer.', fields),
  ];
}

/** Withdraws a retry from the budget if it has one; an attempt proven not to have run needs none. */
function withdrawRetry(state: VmState, isProvenNotRun: boolean): boolean {
  if (isProvenNotRun) {
    return true;
  }
  if (state.retryTokens < 1) {
    return false;
  }
  state.retryTokens -= 1;
  return true;
}

function penalizeServer(state: VmState, server: string, nowMs: number): void {
  getServerRecord(state, server).penaltyUntilMs = nowMs + state.policy.serverPenaltyMs;
}

/**
 * Returns whether a request may be dispatched again. Once the caller has received part of an
 * answer, only a model's answer can be resumed on another server.
 */
function isSafeToRetry(record: RequestRecord, isAnswerBegun: boolean): boolean {
  if (isAnswerBegun) {
    return record.info.target.kind === TargetKind.Model;
  }
  return record.isIdempotent || record.runStatus === RunStatus.NotRun;
}

/** Retries a failed dispatch if safe; otherwise ends the request and reports if it may have run. */
export function handleDispatchFailed(
  state: VmState,
  event: EventOf<typeof EventKind.DispatchFailed>,
  nowMs: number,
): Command[] {
  const record = findDispatchedRequest(state, event.requestId, event.attempt);
  if (record === undefined) {
    return [];
  }
  const { deliveredTokens, diagnostic, isAnswerBegun, isRefusedByServer, runState } = event;
  const attemptClaim = isRefusedByServer ? RunStatus.NotRun : getRunStatus(runState);
  record.runStatus = combineRunStatuses(record.runStatus, attemptClaim);
  penalizeServer(state, record.server!, nowMs);
  releaseServerSlot(state, record);
  const endRequest = (reason: Diagnostic): Command[] =>
    isAnswerBegun
      ? abortRequest(state, record, reason, deliveredTokens, nowMs)
      : refuseRequest(state, record, reason, nowMs, DEFAULT_RETRY_AFTER_MS);
  const willRetry =
    record.attempt < state.policy.maxAttempts &&
    isSafeToRetry(record, isAnswerBegun) &&
    withdrawRetry(state, attemptClaim === RunStatus.NotRun);
  if (!willRetry) {
    return endRequest(diagnostic);
  }
  const result = dispatchRequest(state, record, deliveredTokens, nowMs);
  return Array.isArray(result) ? result : endRequest(diagnostic);
}
