/**
 * Keeps the requests of all VMs at a brittle server within its slots, so that it has to reject none.
 *
 * Each VM has some of the places; a request takes one from its dispatch until its end. VMs without a free place borrow one from
 * another VM, and return it once it is free for longer than a moment. If the return is lost, the lender goes without it for longer than
 * the borrower may begin requests with it, which mostly have ended then.
 */
import type { Backend, BorrowedPlace, Brittleness } from '../../../state/entry/backends.js';
import { getPlaceShare, selectPlaceHolders } from '../../../state/entry/placeShares.js';
import { nextRandomInt } from '../../../state/random.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { LimitKind } from '../events.js';
import type { EntryState } from '../state.js';
import { findLender, type LenderAddress } from './lenders.js';
import type { Loan } from './rateLoans.js';

/** A loan is of one place; a call for none returns one. */
const LOAN_PLACES = 1;
const RETURN_PLACES = 0;
/** How long a borrowed place may be used for further requests, and how long its lender goes without it. */
const BORROWED_MS = 6_000;
const LENT_MS = 15_000;
/** Names no request: a returned place is none's. */
const RETURN_NAME = '';
/** Time for which no VM is asked for a place after one has refused: most have none left then. */
const LOAN_REFUSAL_DELAY_MS = 500;
/** A server whose answer has told that it is full gets no requests until it tells otherwise, or for this time. */
const FULL_LOAD_MAX_AGE_MS = 500;

function listVmIds({ self, sharingVmIds }: EntryState): string[] {
  return [self.vmId, ...sharingVmIds];
}

/** Adapts this VM's places at a server to the VMs that there are now. */
export function updatePlaces(state: EntryState, { brittleness, entry }: Backend): void {
  if (brittleness !== null) {
    const { vmId } = state.self;
    brittleness.places = getPlaceShare(entry.id, listVmIds(state), vmId, entry.slots);
  }
}

/** Returns the places that this VM has not lent. */
function getOwnPlaces({ lentUntilMs, places }: Brittleness, nowMs: number): number {
  return places - lentUntilMs.filter((endMs) => endMs > nowMs).length;
}

/** Returns the borrowed places with which requests may begin. */
function listBorrowed({ borrowed }: Brittleness, nowMs: number): BorrowedPlace[] {
  return borrowed.filter(({ untilMs }) => untilMs > nowMs);
}

/** Returns the number of places of this VM that are free: negative while more requests run than it has places. */
function countFreePlaces({ inFlight }: Backend, brittleness: Brittleness, nowMs: number): number {
  return getOwnPlaces(brittleness, nowMs) + listBorrowed(brittleness, nowMs).length - inFlight;
}

/** Returns whether the last answer has told, a short time ago, that a server is full. */
function isSeenFull(backend: Backend, nowMs: number): boolean {
  const { entry, inFlight, loadSeenAtMs, otherVmRequests } = backend;
  const isRecent = nowMs - loadSeenAtMs < FULL_LOAD_MAX_AGE_MS;
  return isRecent && otherVmRequests + inFlight >= Math.max(1, entry.slots);
}

/** Returns whether a server counts as full, whatever places this VM has. */
function isFull(backend: Backend, nowMs: number): boolean {
  return backend.fullUntilMs > nowMs || isSeenFull(backend, nowMs);
}

/** Returns whether a server may get a request of this VM now: it is not brittle, or this VM has a free place there. */
export function hasPlace(backend: Backend, nowMs: number): boolean {
  const { brittleness } = backend;
  return (
    brittleness === null ||
    (!isFull(backend, nowMs) && countFreePlaces(backend, brittleness, nowMs) > 0)
  );
}

/** Picks one of the VMs at random that have places at a server; null if none can be asked. */
function pickLender(state: EntryState, { entry }: Backend, nowMs: number): LenderAddress | null {
  const lenders = selectPlaceHolders(entry.id, listVmIds(state), entry.slots).flatMap(
    (vmId) => findLender(state, vmId, nowMs) ?? [],
  );
  return lenders[nextRandomInt(state.random, Math.max(1, lenders.length))] ?? null;
}

/** Asks another VM for a place for a request at one of some servers, if one of them is brittle and not full. */
export function requestPlace(
  state: EntryState,
  requestId: string,
  servers: readonly Backend[],
  nowMs: number,
): EntryCommand[] {
  const brittle = servers.filter(
    (backend) =>
      backend.brittleness !== null &&
      backend.brittleness.noLoanUntilMs <= nowMs &&
      !isFull(backend, nowMs) &&
      !hasPlace(backend, nowMs),
  );
  if (brittle.length === 0) {
    return [];
  }
  const server = brittle[nextRandomInt(state.random, brittle.length)]!;
  const lender = pickLender(state, server, nowMs);
  if (lender === null) {
    return [];
  }
  server.brittleness!.noLoanUntilMs = nowMs + LOAN_REFUSAL_DELAY_MS;
  const kind = EntryCommandKind.RequestLoan;
  const limit = { kind: LimitKind.Place, name: server.entry.id };
  return [{ kind, requestId, ...lender, limit, tokens: LOAN_PLACES }];
}

/** Returns a borrowed place at each brittle server where this VM has a free one, once nothing waits for it. */
export function returnPlaces(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.backends.values()].flatMap((backend) => {
    const { brittleness, entry } = backend;
    if (brittleness === null || brittleness.borrowed.length === 0) {
      return [];
    }
    const [first, ...others] = listBorrowed(brittleness, nowMs);
    if (first === undefined || countFreePlaces(backend, brittleness, nowMs) <= 0) {
      return [];
    }
    brittleness.borrowed = others;
    const lender = findLender(state, first.lenderVmId, nowMs);
    const kind = EntryCommandKind.RequestLoan;
    const limit = { kind: LimitKind.Place, name: entry.id };
    return lender === null
      ? []
      : [{ kind, requestId: RETURN_NAME, ...lender, limit, tokens: RETURN_PLACES }];
  });
}

/** Takes back the place that another VM returns. */
function takeBackPlace({ lentUntilMs }: Brittleness): void {
  lentUntilMs.pop();
}

/** Lends a place of this VM at a server, if one is free, or takes back one that was lent. */
export function lendPlace(
  state: EntryState,
  serverId: string,
  tokens: number,
  nowMs: number,
): Loan {
  const backend = state.backends.get(serverId);
  const brittleness = backend?.brittleness ?? null;
  if (brittleness !== null && tokens === RETURN_PLACES) {
    takeBackPlace(brittleness);
  }
  const isLent =
    backend !== undefined &&
    brittleness !== null &&
    tokens === LOAN_PLACES &&
    !isFull(backend, nowMs) &&
    backend.inFlight < getOwnPlaces(brittleness, nowMs);
  if (isLent) {
    brittleness.lentUntilMs = brittleness.lentUntilMs.filter((endMs) => endMs > nowMs);
    brittleness.lentUntilMs.push(nowMs + LENT_MS);
  }
  return { lentTokens: isLent ? tokens : 0, spareTokens: 0 };
}

/** Adds the place that another VM has lent. */
export function creditPlace(
  state: EntryState,
  serverId: string,
  lenderVmId: string,
  lentTokens: number,
  nowMs: number,
): void {
  const brittleness = state.backends.get(serverId)?.brittleness ?? null;
  if (brittleness !== null && lentTokens === LOAN_PLACES) {
    const untilMs = nowMs + BORROWED_MS;
    brittleness.borrowed = [...listBorrowed(brittleness, nowMs), { lenderVmId, untilMs }];
    brittleness.noLoanUntilMs = Number.NEGATIVE_INFINITY;
  }
}
