/**
 * Obtains the tokens of a request, from this VM's slice or from peers' loans.
 *
 * Requests of a workspace that this VM's slice does not cover wait in a queue, and only the request at
 * its head borrows. Otherwise several requests would each hold some of the tokens that one of them
 * needs, and all would fail.
 */
import { createDiagnostic, Diagnostics } from '../state/diagnostics.js';
import {
  depositTokens,
  getReservedTokens,
  getHeadroomTokens,
  getSliceTokens,
  reserveUpTo,
} from '../state/tokenSlice.js';
import type { Workspace } from '../state/types.js';
import {
  createBorrowCommands,
  getRefillMs,
  isFleetShortOfTokens,
  planLoans,
  recordLenderTokens,
} from './borrowing.js';
import { startRun } from './dispatching.js';
import { type Command, CommandKind, EventKind, type EventOf } from './events.js';
import { type VmState, RequestPhase, type RequestRecord } from './vmState.js';
import { refuseRequest } from './requestCompletion.js';
import { getSlice, isShareUsable } from './slices.js';

/** Limit on how long the whole fleet counts as short of tokens once no lender was found. */
const MAX_SHORTAGE_MS = 200;
/** Limit on the requests of one workspace that wait for tokens on one VM. */
const MAX_QUEUED_REQUESTS = 1_000;
const MIN_WAIT_MS = 5;

function getHeldTokens(record: RequestRecord): number {
  const reserved = record.reservation === null ? 0 : getReservedTokens(record.reservation);
  return reserved + record.undepositedLoanTokens;
}

function getMissingTokens(record: RequestRecord): number {
  return record.costTokens - getHeldTokens(record);
}

/** Reserves as many of the missing tokens as this VM's slice has. */
function reserveMissing(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): void {
  const missingTokens = getMissingTokens(record);
  if (missingTokens <= 0 || !isShareUsable(state)) {
    return;
  }
  const added = reserveUpTo(getSlice(state, workspace, nowMs), missingTokens, nowMs);
  const { reservation } = record;
  // All tokens count as reserved at the earlier time, so the refund may be too small but never too large.
  record.reservation = {
    amountMicro: (reservation?.amountMicro ?? 0) + added.amountMicro,
    totalCutAtStartMicro: reservation?.totalCutAtStartMicro ?? added.totalCutAtStartMicro,
  };
}

/** Deposits a loan into the slice as far as it fits, and returns the number of tokens that did not fit. */
function depositLoan(
  state: VmState,
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

function depositHeldLoans(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): void {
  if (record.undepositedLoanTokens > 0 && nowMs <= record.loanDeadlineMs) {
    depositLoan(state, workspace, record.undepositedLoanTokens, nowMs);
  }
  record.undepositedLoanTokens = 0;
}

function refuseForRate(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = getMissingTokens(record);
  const waitMs = getRefillMs(workspace, missingTokens);
  depositHeldLoans(state, record, workspace, nowMs);
  const diagnostic = createDiagnostic(Diagnostics.RateExceeded, workspace.name, missingTokens);
  return refuseRequest(state, record, diagnostic, nowMs, waitMs);
}

/**
 * Lets the request at the head of the queue wait until the workspace's whole rate could have refilled
 * the missing tokens, or refuses it if that takes too long. Borrowed tokens that the request holds must
 * be spent or deposited before their deadline.
 */
function waitOrRefuse(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const missingTokens = getMissingTokens(record);
  const waitMs = Math.max(MIN_WAIT_MS, getRefillMs(workspace, missingTokens));
  if (nowMs + waitMs > record.arrivedAtMs + state.policy.maxTokenWaitMs) {
    return refuseForRate(state, record, workspace, nowMs);
  }
  record.nextLoanRequestAtMs = nowMs + waitMs;
  return [
    {
      kind: CommandKind.StartTimer,
      timerId: `tokens/${workspace.name}`,
      delayMs: waitMs,
      event: { kind: EventKind.TokenWaitElapsed, workspace: workspace.name },
    },
  ];
}

/** Borrows the missing tokens from peers; if there is no lender to ask, waits or refuses the request. */
function borrowOrWait(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  const canBorrow =
    record.borrowRounds < state.policy.maxBorrowRounds &&
    !isFleetShortOfTokens(state, workspace, nowMs);
  const missingTokens = getMissingTokens(record);
  const headroomTokens = getHeadroomTokens(getSlice(state, workspace, nowMs), nowMs);
  const plans = canBorrow ? planLoans(state, workspace, missingTokens, headroomTokens, nowMs) : [];
  if (canBorrow && plans.length === 0) {
    const shortageMs = Math.min(MAX_SHORTAGE_MS, getRefillMs(workspace, missingTokens));
    state.fleetShortUntilMs.set(workspace.name, nowMs + shortageMs);
  }
  if (plans.length === 0) {
    return waitOrRefuse(state, record, workspace, nowMs);
  }
  record.borrowRounds += 1;
  record.pendingLoans = plans.length;
  return createBorrowCommands(state, record.info.requestId, workspace, plans, nowMs);
}

function dropExpiredLoans(record: RequestRecord, nowMs: number): void {
  if (nowMs > record.loanDeadlineMs) {
    record.undepositedLoanTokens = 0;
  }
}

/** Advances the request at the head of the queue: starts it, borrows, lets it wait or refuses it. */
function advanceHead(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): Command[] {
  dropExpiredLoans(record, nowMs);
  reserveMissing(state, record, workspace, nowMs);
  if (getMissingTokens(record) <= 0) {
    return startRun(state, record, nowMs);
  }
  return nowMs < record.nextLoanRequestAtMs ? [] : borrowOrWait(state, record, workspace, nowMs);
}

function isWaitingForRefill(state: VmState, record: RequestRecord, nowMs: number): boolean {
  const isPending = state.requests.has(record.info.requestId);
  return (
    isPending && record.phase === RequestPhase.AwaitingTokens && nowMs < record.nextLoanRequestAtMs
  );
}

/** Processes the queue of a workspace until the request at its head has to wait. */
export function processTokenQueue(state: VmState, workspace: Workspace, nowMs: number): Command[] {
  const queue = state.tokenQueues.get(workspace.name) ?? [];
  const commands: Command[] = [];
  while (queue.length > 0) {
    const record = state.requests.get(queue[0]!);
    if (record?.phase === RequestPhase.AwaitingTokens) {
      if (record.pendingLoans > 0) {
        break;
      }
      commands.push(...advanceHead(state, record, workspace, nowMs));
      if (isWaitingForRefill(state, record, nowMs)) {
        break;
      }
    } else {
      queue.shift();
    }
  }
  return commands;
}

function canCoverImmediately(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): boolean {
  const slice = getSlice(state, workspace, nowMs);
  return isShareUsable(state) && getSliceTokens(slice, nowMs) >= record.costTokens;
}

/**
 * Returns whether the queued requests lack more tokens than the workspace's whole rate refills in the
 * maximum waiting time of a request.
 */
function isQueueTooLong(state: VmState, workspace: Workspace, queue: readonly string[]): boolean {
  const totalMissingTokens = queue.reduce((sum, requestId) => {
    const waiting = state.requests.get(requestId);
    return sum + (waiting === undefined ? 0 : getMissingTokens(waiting));
  }, 0);
  return getRefillMs(workspace, totalMissingTokens) > state.policy.maxTokenWaitMs;
}

function enqueue(
  state: VmState,
  record: RequestRecord,
  workspace: Workspace,
  nowMs: number,
): boolean {
  const queue = state.tokenQueues.get(workspace.name) ?? [];
  state.tokenQueues.set(workspace.name, queue);
  const wouldTimeOut =
    isFleetShortOfTokens(state, workspace, nowMs) && isQueueTooLong(state, workspace, queue);
  if (queue.length >= MAX_QUEUED_REQUESTS || wouldTimeOut) {
    return false;
  }
  queue.push(record.info.requestId);
  return true;
}

/** Starts a request if its tokens are available; otherwise queues or refuses it. */
export function acquireTokens(state: VmState, record: RequestRecord, nowMs: number): Command[] {
  const { workspace } = record;
  if (workspace === null) {
    return startRun(state, record, nowMs);
  }
  state.usedWorkspaces.add(workspace.name);
  if (canCoverImmediately(state, record, workspace, nowMs)) {
    reserveMissing(state, record, workspace, nowMs);
    return startRun(state, record, nowMs);
  }
  return enqueue(state, record, workspace, nowMs)
    ? processTokenQueue(state, workspace, nowMs)
    : refuseForRate(state, record, workspace, nowMs);
}

function holdLoan(record: RequestRecord, tokens: number, deadlineMs: number): void {
  if (tokens === 0) {
    return;
  }
  record.loanDeadlineMs =
    record.undepositedLoanTokens === 0 ? deadlineMs : Math.min(record.loanDeadlineMs, deadlineMs);
  record.undepositedLoanTokens += tokens;
}

function findBorrowingRequest(state: VmState, requestId: string | null): RequestRecord | undefined {
  const record = requestId === null ? undefined : state.requests.get(requestId);
  return record?.phase === RequestPhase.AwaitingTokens ? record : undefined;
}

/**
 * Processes a lender's answer. After the last answer, the request starts, borrows again, waits or is
 * refused. A loan that arrives after its deadline is dropped.
 */
export function handleLoanAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.LoanAnswered>,
  nowMs: number,
): Command[] {
  const { askedAtMs, grantedTokens, requestId, spendWithinMs, workspace: name } = event;
  recordLenderTokens(state, event, nowMs);
  const workspace = state.configuration?.workspacesByName.get(name);
  if (workspace === undefined) {
    return [];
  }
  const deadlineMs = askedAtMs + spendWithinMs;
  const isInTime = nowMs <= deadlineMs;
  const remainingTokens = isInTime ? depositLoan(state, workspace, grantedTokens, nowMs) : 0;
  const record = findBorrowingRequest(state, requestId);
  if (record === undefined) {
    return [];
  }
  record.pendingLoans -= 1;
  dropExpiredLoans(record, nowMs);
  holdLoan(record, remainingTokens, deadlineMs);
  reserveMissing(state, record, workspace, nowMs);
  return record.pendingLoans > 0 ? [] : processTokenQueue(state, workspace, nowMs);
}

/** Resumes the queue of a workspace after the wait for its rate to refill. */
export function handleTokenWaitElapsed(
  state: VmState,
  event: EventOf<typeof EventKind.TokenWaitElapsed>,
  nowMs: number,
): Command[] {
  const workspace = state.configuration?.workspacesByName.get(event.workspace);
  return workspace === undefined ? [] : processTokenQueue(state, workspace, nowMs);
}
