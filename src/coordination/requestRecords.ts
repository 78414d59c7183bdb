/**
 * The end of requests: refusals, measures, and what a record gives back.
 */
import type { Diagnostic } from '../state/diagnostics.js';
import { settleReservation } from '../state/tokenSlice.js';
import { type Refusal, RunClaim, TargetKind } from '../state/types.js';
import { type Command, CommandKind, type RequestMeasure, RequestOutcome } from './events.js';
import { type NodeState, RequestPhase, type RequestRecord } from './nodeState.js';
import { getServerRecord } from './routing.js';
import { getSlice } from './slices.js';

/** The workspace name under which requests on open routes are measured. */
export const OPEN_WORKSPACE = '(open)';

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: RequestOutcome;
  readonly diagnostic: Diagnostic | null;
  /** Tokens that the workspace received, prompt included. */
  readonly usedTokens: number;
  readonly maxGapMs: number;
  readonly meanGapMs: number;
}

/** The gaps of a request without an answer. */
export const NO_GAPS = { maxGapMs: 0, meanGapMs: 0 } as const;

/** Creates a refusal. */
export function createRefusal(
  diagnostic: Diagnostic,
  run: RunClaim,
  retryAfterMs: number | null = null,
): Refusal {
  return { diagnostic, run, retryAfterMs };
}

/** Returns the prompt's tokens, or a plain call's cost. */
export function getPromptTokens(record: RequestRecord): number {
  const { target } = record.info;
  return target.kind === TargetKind.Model ? target.promptTokens : record.costTokens;
}

/** The timer of a request's time limit. */
export function getTimerId(requestId: string): string {
  return `request/${requestId}`;
}

function createMeasure(record: RequestRecord, end: RequestEnd, nowMs: number): RequestMeasure {
  const { firstTokenAtMs } = record;
  return {
    workspace: record.workspace?.name ?? OPEN_WORKSPACE,
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

/** Frees the place that the record's dispatch holds at its server. */
export function releaseServer(state: NodeState, record: RequestRecord): void {
  if (record.server === null) {
    return;
  }
  const server = getServerRecord(state, record.server);
  server.inFlight -= 1;
  record.server = null;
}

function settleTokens(
  state: NodeState,
  record: RequestRecord,
  usedTokens: number,
  nowMs: number,
): void {
  if (record.workspace === null || record.reservation === null) {
    return;
  }
  const slice = getSlice(state, record.workspace, nowMs);
  // Loans are spent first, for they cannot be given back.
  const ownTokens = Math.max(0, usedTokens - record.looseTokens);
  settleReservation(slice, record.reservation, ownTokens, nowMs);
  record.reservation = null;
}

function endClaim(record: RequestRecord, end: RequestEnd): Command[] {
  if (record.claimId === null) {
    return [];
  }
  const { claimId, info, runClaim } = record;
  const isAnswered = end.outcome === RequestOutcome.Completed;
  const run = isAnswered || record.server !== null ? RunClaim.Unknown : runClaim;
  const { requestId } = info;
  return [{ kind: CommandKind.EndClaim, requestId, claimId, run, isAnswered }];
}

/** Removes a record, gives back what it held, and orders its measure. */
export function closeRecord(
  state: NodeState,
  record: RequestRecord,
  end: RequestEnd,
  nowMs: number,
): Command[] {
  const claimCommands = endClaim(record, end);
  releaseServer(state, record);
  settleTokens(state, record, end.usedTokens, nowMs);
  const { requestId } = record.info;
  state.requests.delete(requestId);
  return [
    ...claimCommands,
    { kind: CommandKind.CancelTimer, timerId: getTimerId(requestId) },
    { kind: CommandKind.RecordRequest, requestId, measure: createMeasure(record, end, nowMs) },
  ];
}

/** Ends a request of which the caller has received nothing. */
export function refuseRecord(
  state: NodeState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  nowMs: number,
  retryAfterMs: number | null = null,
): Command[] {
  const usedTokens = record.runClaim === RunClaim.NotRun ? 0 : record.costTokens;
  const end = { outcome: RequestOutcome.Refused, diagnostic, usedTokens, ...NO_GAPS };
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
export function abortRecord(
  state: NodeState,
  record: RequestRecord,
  diagnostic: Diagnostic,
  deliveredTokens: number,
  nowMs: number,
): Command[] {
  const usedTokens = getPromptTokens(record) + deliveredTokens;
  const end = { outcome: RequestOutcome.Broken, diagnostic, usedTokens, ...NO_GAPS };
  return [
    {
      kind: CommandKind.AbortAnswer,
      requestId: record.info.requestId,
      refusal: createRefusal(diagnostic, RunClaim.Unknown),
    },
    ...closeRecord(state, record, end, nowMs),
  ];
}

/** Returns the record of a request if the dispatch is its current one; late signals find none. */
export function findDispatch(
  state: NodeState,
  requestId: string,
  attempt: number,
): RequestRecord | undefined {
  const record = state.requests.get(requestId);
  const isCurrent = record?.phase === RequestPhase.Dispatched && record.attempt === attempt;
  return isCurrent ? record : undefined;
}
