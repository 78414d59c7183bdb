/**
 * The tokens of a request: from this VM's slice, or with what peers lend.
 *
 * Requests of a workspace that the own slice does not cover wait in line, and only the first of them
 * borrows. Else several would hold parts of what one of them needs, and all would fail.
 */
import { createDiagnostic, Diagnostics } from '../state/diagnostics.js';
import {
  depositTokens,
  getReservedTokens,
  getRoomTokens,
  getSliceTokens,
  reserveUpTo,
} from '../state/tokenSlice.js';
import type { Workspace } from '../state/types.js';
import {
  createBorrowCommands,
  getRefillMs,
  isFleetShort,
  planLoans,
  recordLender,
} from './borrowing.js';
import { startRun } from './dispatching.js';
import { type Command, CommandKind, EventKind, type EventOf } from './events.js';
import { type NodeState, RequestPhase, type RequestRecord } from './nodeState.js';
import { refuseRecord } from './requestRecords.js';
import { getSlice, isShareUsable } from './slices.js';

/** How long the finding that the whole fleet is short is kept at most. */
const MAX_SHORT_MS = 200;
/** Requests of one workspace that wait for tokens on one VM. */
const MAX_WAITING = 1_000;
const MIN_WAIT_MS = 5;

function getHeldTokens(record: RequestRecord): number {
  const reserved = record.reservation === null ? 0 : getReservedTokens(record.reservation);
  return reserved + record.looseTokens;
}

function getMissingTokens(record: RequestRecord): number {
  return record.costTokens - getHeldTokens(record);
}

/** Reserves what is missing as far as the own slice has it. */
function reserveMissing(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): void {
  const missingTokens = getMissingTokens(record);
  if (missingTokens <= 0 || !isShareUsable(state)) {
    return;
  }
  const more = reserveUpTo(getSlice(state, workspace, nowMs), missingTokens, nowMs);
  const { reservation } = record;
  // Both parts count as taken at the earlier instant, which refunds less.
  record.reservation = {
    amountMicro: (reservation?.amountMicro ?? 0) + more.amountMicro,
    cutAtStartMicro: reservation?.cutAtStartMicro ?? more.cutAtStartMicro,
  };
}

/** Stores a loan as far as the slice has room and returns what is left of it. */
function storeLoan(
  state: NodeState,
  workspace: Workspace,
  grantedTokens: number,
  nowMs: number,
): number {
  if (!isShareUsable(state)) {
    return grantedTokens;
  }
  const slice = getSlice(state, workspace, nowMs);
  return grantedTokens - depositTokens(slice, grantedTokens, nowMs);
}

function depositLoose(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): void {
  if (record.looseTokens > 0 && nowMs <= record.loanDeadlineMs) {
    storeLoan(state, workspace, record.looseTokens, nowMs);
  }
  record.looseTokens = 0;
}

function refuseForRate(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = getMissingTokens(record);
  const waitMs = getRefillMs(workspace, missingTokens);
  depositLoose(state, record, workspace, nowMs);
  const diagnostic = createDiagnostic(Diagnostics.RateExceeded, workspace.name, missingTokens);
  return refuseRecord(state, record, diagnostic, nowMs, waitMs);
}

/**
 * Lets the first request in line wait for the rate to refill what it lacks, or refuses it if that takes
 * too long. What it holds of peers' loans has to be spent or stored in time.
 */
function waitOrRefuse(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = getMissingTokens(record);
  const waitMs = Math.max(MIN_WAIT_MS, getRefillMs(workspace, missingTokens));
  if (nowMs + waitMs > record.arrivedAtMs + state.policy.maxTokenWaitMs) {
    return refuseForRate(state, record, workspace, nowMs);
  }
  record.askAgainAtMs = nowMs + waitMs;
  return [
    {
      kind: CommandKind.StartTimer,
      timerId: `tokens/${workspace.name}`,
      delayMs: waitMs,
      event: { kind: EventKind.TokensDue, workspace: workspace.name },
    },
  ];
}

/** Asks peers for what is missing, or waits when there is nobody left to ask. */
function borrowOrWait(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const mayAsk =
    record.borrowRounds < state.policy.maxBorrowRounds && !isFleetShort(state, workspace, nowMs);
  const missingTokens = getMissingTokens(record);
  const roomTokens = getRoomTokens(getSlice(state, workspace, nowMs), nowMs);
  const plans = mayAsk ? planLoans(state, workspace, missingTokens, roomTokens, nowMs) : [];
  if (mayAsk && plans.length === 0) {
    const shortMs = Math.min(MAX_SHORT_MS, getRefillMs(workspace, missingTokens));
    state.shortUntilMs.set(workspace.name, nowMs + shortMs);
  }
  if (plans.length === 0) {
    return waitOrRefuse(state, record, workspace, nowMs);
  }
  record.borrowRounds += 1;
  record.openLoans = plans.length;
  return createBorrowCommands(state, record.info.requestId, workspace, plans, nowMs);
}

function dropLateLoans(record: RequestRecord, nowMs: number): void {
  if (nowMs > record.loanDeadlineMs) {
    record.looseTokens = 0;
  }
}

/** Takes the first request in line one step further. */
function stepFirst(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  dropLateLoans(record, nowMs);
  reserveMissing(state, record, workspace, nowMs);
  if (getMissingTokens(record) <= 0) {
    return startRun(state, record, nowMs);
  }
  return nowMs < record.askAgainAtMs ? [] : borrowOrWait(state, record, workspace, nowMs);
}

function isWaiting(state: NodeState, record: RequestRecord, nowMs: number): boolean {
  const isOpen = state.requests.has(record.info.requestId);
  return isOpen && record.phase === RequestPhase.Borrowing && nowMs < record.askAgainAtMs;
}

/** Serves the line of a workspace as far as it goes without waiting. */
export function pumpTokenQueue(state: NodeState, workspace: Workspace, nowMs: number): Command[] {
  const queue = state.tokenQueues.get(workspace.name) ?? [];
  const commands: Command[] = [];
  while (queue.length > 0) {
    const record = state.requests.get(queue[0]!);
    if (record?.phase === RequestPhase.Borrowing) {
      if (record.openLoans > 0) {
        break;
      }
      commands.push(...stepFirst(state, record, workspace, nowMs));
      if (isWaiting(state, record, nowMs)) {
        break;
      }
    } else {
      queue.shift();
    }
  }
  return commands;
}

function canCoverAtOnce(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): boolean {
  const slice = getSlice(state, workspace, nowMs);
  return isShareUsable(state) && getSliceTokens(slice, nowMs) >= record.costTokens;
}

/** Tells whether the line already lacks more than the whole rate refills while a request may wait. */
function isLineTooLong(state: NodeState, workspace: Workspace, queue: readonly string[]): boolean {
  const lackingTokens = queue.reduce((sum, requestId) => {
    const waiting = state.requests.get(requestId);
    return sum + (waiting === undefined ? 0 : getMissingTokens(waiting));
  }, 0);
  return getRefillMs(workspace, lackingTokens) > state.policy.maxTokenWaitMs;
}

function enqueue(
  state: NodeState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): boolean {
  const queue = state.tokenQueues.get(workspace.name) ?? [];
  state.tokenQueues.set(workspace.name, queue);
  const isHopeless =
    isFleetShort(state, workspace, nowMs) && isLineTooLong(state, workspace, queue);
  if (queue.length >= MAX_WAITING || isHopeless) {
    return false;
  }
  queue.push(record.info.requestId);
  return true;
}

/** Starts a request once it has its tokens; refuses it if the fleet does not have them. */
export function takeTokens(state: NodeState, record: RequestRecord, nowMs: number): Command[] {
  const { workspace } = record;
  if (workspace === null) {
    return startRun(state, record, nowMs);
  }
  state.usedWorkspaces.add(workspace.name);
  if (canCoverAtOnce(state, record, workspace, nowMs)) {
    reserveMissing(state, record, workspace, nowMs);
    return startRun(state, record, nowMs);
  }
  return enqueue(state, record, workspace, nowMs)
    ? pumpTokenQueue(state, workspace, nowMs)
    : refuseForRate(state, record, workspace, nowMs);
}

function holdLoose(record: RequestRecord, tokens: number, deadlineMs: number): void {
  if (tokens === 0) {
    return;
  }
  record.loanDeadlineMs =
    record.looseTokens === 0 ? deadlineMs : Math.min(record.loanDeadlineMs, deadlineMs);
  record.looseTokens += tokens;
}

function findBorrower(state: NodeState, requestId: string | null): RequestRecord | undefined {
  const record = requestId === null ? undefined : state.requests.get(requestId);
  return record?.phase === RequestPhase.Borrowing ? record : undefined;
}

/**
 * Takes a lender's answer; when the last one is in, the request goes on or asks again. A loan that came
 * too late to be spent is dropped.
 */
export function handleLoanAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.LoanAnswered>,
  nowMs: number,
): Command[] {
  const { askedAtMs, grantedTokens, requestId, spendWithinMs, workspace: name } = event;
  recordLender(state, event, nowMs);
  const workspace = state.configuration?.workspacesByName.get(name);
  if (workspace === undefined) {
    return [];
  }
  const deadlineMs = askedAtMs + spendWithinMs;
  const isInTime = nowMs <= deadlineMs;
  const looseTokens = isInTime ? storeLoan(state, workspace, grantedTokens, nowMs) : 0;
  const record = findBorrower(state, requestId);
  if (record === undefined) {
    return [];
  }
  record.openLoans -= 1;
  dropLateLoans(record, nowMs);
  holdLoose(record, looseTokens, deadlineMs);
  reserveMissing(state, record, workspace, nowMs);
  return record.openLoans > 0 ? [] : pumpTokenQueue(state, workspace, nowMs);
}

/** Tries again for the requests that wait for their workspace's rate. */
export function handleTokensDue(
  state: NodeState,
  event: EventOf<typeof EventKind.TokensDue>,
  nowMs: number,
): Command[] {
  const workspace = state.configuration?.workspacesByName.get(event.workspace);
  return workspace === undefined ? [] : pumpTokenQueue(state, workspace, nowMs);
}
