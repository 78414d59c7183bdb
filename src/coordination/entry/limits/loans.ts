/**
 * Lends tokens of the limits that the VMs divide among themselves, and uses those that other VMs lend.
 */
import { handleRateLoan } from '../requests/admission.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { type EntryEventKind, type EntryEventOf, LimitKind } from '../events.js';
import { handlePlaceLoan } from '../requests/dispatchOrder.js';
import { handlePermitLoan } from '../requests/forwarding.js';
import { lendRate, type Loan } from './rateLoans.js';
import { lendPermits } from './serverLimits.js';
import { lendPlace } from './serverPlaces.js';
import type { EntryState } from '../state.js';

type Lender = (state: EntryState, name: string, tokens: number, nowMs: number) => Loan;
type LoanHandler = (
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
) => EntryCommand[];

const LENDERS: Readonly<Record<LimitKind, Lender>> = {
  [LimitKind.Workspace]: lendRate,
  [LimitKind.Server]: lendPermits,
  [LimitKind.Place]: lendPlace,
};

const LOAN_HANDLERS: Readonly<Record<LimitKind, LoanHandler>> = {
  [LimitKind.Workspace]: handleRateLoan,
  [LimitKind.Server]: handlePermitLoan,
  [LimitKind.Place]: handlePlaceLoan,
};

/** Lends another VM the requested tokens if this VM has that many to spare, else none. */
export function handleLoanRequested(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanRequested>,
  nowMs: number,
): EntryCommand[] {
  const { limit, replyId, tokens } = event;
  const loan = LENDERS[limit.kind](state, limit.name, tokens, nowMs);
  return [{ kind: EntryCommandKind.ReplyToLoanRequest, replyId, ...loan }];
}

/** Goes on with a request once another VM has answered the loan request for it. */
export function handleLoanAnswered(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
): EntryCommand[] {
  return LOAN_HANDLERS[event.limit.kind](state, event, nowMs);
}
