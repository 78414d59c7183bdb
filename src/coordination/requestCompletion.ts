/**
 * Ends requests: refuses or aborts them, releases what their records hold, and emits their metrics.
 */
import type { Diagnostic } from '../state/diagnostics.js';
import { settleReservation } from '../state/tokenSlice.js';
import { type Refusal, RunStatus, TargetKind } from '../state/types.js';
import { type Command, CommandKind, type RequestMetrics, RequestOutcome } from './events.js';
import { type VmState, RequestPhase, type RequestRecord } from './vmState.js';
import { getServerRecord } from './routing.js';
import { getSlice } from './slices.js';

/** Stands for the workspace name of a request without a workspace, in metrics and claim ids. */
export const NO_WORKSPACE_NAME = '(open)';

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: RequestOutcome;
  readonly diagnostic: Diagnostic | null;
  /** Tokens charged to the workspace, including the prompt. */
  readonly usedTokens: number;
  readonly maxGapMs: number;
  readonly meanGapMs: number;
}

/** The gaps between tokens of a request without a complete answer. */
export const NO_TOKEN_GAPS = { maxGapMs: 0, meanGapMs: 0 } as const;

/** Creates a refusal. */
export function createRefusal(
  diagnostic: Diagnostic,
  run: RunStatus,
  retryAfterMs: number | null = null,
): Refusal {
  return { diagnostic, run, retryAfterMs };
}

/** Returns the tokens of a model request's prompt, or the cost of a request on a route. */
export function getPromptTokens(record: RequestRecord): number {
  const { target } = record.info;
  return target.kind === TargetKind.Model ? target.promptTokens : record.costTokens;
}

/** Returns the id of the timer that enforces a request's deadline. */
export function getDeadlineTimerId(requestId: string): string {
  return `request/${requestId}`;
}

function createMeasure(record: RequestRecord, end: RequestEnd, nowMs: number): RequestMetrics {
  const { firstTokenAtMs } = record;
  return {
    workspace: record.workspace?.name ?? NO_WORKSPACE_NAME,
    target: record.targetName,
    outcome: end.outcome,
    diagnosticKey: end.diagnostic?.key ?? null,
    firstTokenMs: firstTokenAtMs === null ? null : firstTokenAtMs - record.arrivedAtMs,
    maxGapMs: end.maxGapMs,
    meanGapMs: end.meanGapMs,
    durationMs: nowMs - record.arrivedAtMs,
    tokens: end.usedTokens,
  };
}

/** Removes a request from the in-flight count of the backend server that it was dispatched to. */
export function releaseServerSlot(state: VmState, record: RequestRecord): void {
  if (record.server === null) {
    return;
  }
  const server = getServerRecord(state, record.server);
  server.inFlight -= 1;
  record.server = null;
}

function settleTokens(
  state: VmState,
  record: RequestRecord,
  usedTokens: number,
  nowMs: number,
): void {
  if (record.workspace === null || record.reservation === null) {
    return;
  }
  const slice = getSlice(state, record.workspace, nowMs);
  // Borrowed tokens count as spent first because they cannot be returned to the lender.
  const ownTokens = Math.max(0, usedTokens - record.undepositedLoanTokens);
  settleReservation(slice, record.reservation, ownTokens, nowMs);
  record.reservation = null;
}

function endClaim(record: RequestRecord, end: RequestEnd): Command[] {
  if (record.claimId === null) {
    return [];
  }
  const { claimId, info, runStatus } = record;
  const isAnswered = end.outcome === RequestOutcome.Completed;
  const run = isAnswered || record.server !== null ? RunStatus.Unknown : runStatus;
  const { requestId } = info;
  return [{ kind: CommandKind.EndClaim, requestId, claimId, run, isAnswered }];
}

/** Removes a request's record, releases what it held, and returns the commands that end it. */
export function finishRequest(
  state: VmState,
  record: RequestRecord,
  end: RequestEnd,
  nowMs: number,
): Command[] {
  const claimCommands = endClaim(record, end);
  releaseServerSlot(state, record);
  settleTokens(state, record, end.usedTokens, nowMs);
  const { requestId } = record.info;
  state.requests.delete(requestId);
  return [
    ...claimCommands,
    { kind: CommandKind.CancelTimer, timerId: getDeadlineTimerId(requestId) },
    { kind: CommandKind.RecordRequest, requestId, measure: createMeasure(record, end, nowMs) },
  ];
}

/** Refuses a request; the caller has received no part of an answer. */
export function refuseRequest(
  state: VmState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): Command[] {
  const usedTokens = record.runStatus === RunStatus.NotRun ? 0 : record.costTokens;
  const end = { outcome: RequestOutcome.Refused, diagnostic, usedTokens, ...NO_TOKEN_GAPS };
  return [
    {
      kind: CommandKind.Refuse,
      requestId: record.info.requestId,
      refusal: createRefusal(diagnostic, record.runStatus, retryAfterMs),
    },
    ...finishRequest(state, record, end, nowMs),
  ];
}

/** Ends a request with an error after the caller has received part of its answer. */
export function abortRequest(
  state: VmState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  deliveredTokens: number,
  nowMs: number,
): Command[] {
  const usedTokens = getPromptTokens(record) + deliveredTokens;
  const end = { outcome: RequestOutcome.Broken, diagnostic, usedTokens, ...NO_TOKEN_GAPS };
  return [
    {
      kind: CommandKind.AbortAnswer,
      requestId: record.info.requestId,
      refusal: createRefusal(diagnostic, RunStatus.Unknown),
    },
    ...finishRequest(state, record, end, nowMs),
  ];
}

/** Returns a request's record if `attempt` is its current dispatch; late events find none. */
export function findDispatchedRequest(
  state: VmState,
  requestId: string,
  attempt: number,
): RequestRecord | undefined {
  const record = state.requests.get(requestId);
  const isCurrent = record?.phase === RequestPhase.Dispatched && record.attempt === attempt;
  return isCurrent ? record : undefined;
}
