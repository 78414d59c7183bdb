/**
 * Implements one VM's slice of a workspace's token bucket.
 *
 * The slices of all VMs together never hold more than the burst and never refill faster than the
 * rate, so the VMs enforce the limit without coordination. The slice of a new process is empty.
 *
 * Reservations. A request reserves its maximum cost at admission and is refunded what it did not use. An
 * unrestricted refund would violate the limit: the slice may have refilled to its capacity meanwhile, and
 * the refund would be added to that. The limit holds if a refund never raises the level above what it
 * would be had the actual cost been taken at admission. `refundableMicro` is an upper bound of all refunds
 * that are still possible. Whenever the level and the refundable amount together exceed the capacity, the
 * excess is cut from the refunds of every open reservation, and the running total of these cuts is kept.
 *
 * Loans. A slice lends tokens to a peer that needs more than its own slice has. The request for the loan
 * states the time, from the request on, within which the borrower spends or deposits the loan; later it
 * drops the loan. The lender deducts the loan at once, and for at least the stated time from the grant on,
 * the loan still counts against the lender's capacity. Otherwise the lender could refill while the loan is
 * in transit, and the fleet could hold more than the burst.
 *
 * Amounts are in millionths of a token, so that the refill of a small share is not rounded to zero.
 */

/** A lender extends a loan's time by this factor and some milliseconds, as clock speeds differ. */
const LOAN_HOLD_FACTOR = 1.25;
const LOAN_HOLD_EXTRA_MS = 5;

const MICRO_PER_TOKEN = 1_000_000;
/** One token per second in millionths of a token per millisecond. */
const MICRO_PER_MS = MICRO_PER_TOKEN / 1000;

interface Loan {
  readonly amountMicro: number;
  /** The end of the time in which the loan counts against the lender's capacity. */
  readonly expiresAtMs: number;
}

/** Tokens reserved at admission; those that are not used may be refunded. */
export interface Reservation {
  readonly amountMicro: number;
  readonly totalCutAtStartMicro: number;
}

/** The state of a slice. All members are mutable; only the loop changes them. */
export interface TokenSlice {
  levelMicro: number;
  capacityMicro: number;
  rateMicroPerMs: number;
  updatedAtMs: number;
  refundableMicro: number;
  totalCutMicro: number;
  lentMicro: number;
  loans: Loan[];
}

/** Creates an empty slice. The capacity and the rate are this VM's share of the workspace's. */
export function createTokenSlice(
  capacityTokens: number,
  rateTokensPerSecond: number,
  nowMs: number,
): TokenSlice {
  return {
    levelMicro: 0,
    capacityMicro: Math.floor(capacityTokens * MICRO_PER_TOKEN),
    rateMicroPerMs: Math.floor(rateTokensPerSecond * MICRO_PER_MS),
    updatedAtMs: nowMs,
    refundableMicro: 0,
    totalCutMicro: 0,
    lentMicro: 0,
    loans: [],
  };
}

function getUnlentCapacityMicro(slice: TokenSlice): number {
  return Math.max(0, slice.capacityMicro - slice.lentMicro);
}

function cutRefundable(slice: TokenSlice): void {
  const excessMicro = slice.levelMicro + slice.refundableMicro - getUnlentCapacityMicro(slice);
  const cutAmountMicro = Math.min(Math.max(0, excessMicro), slice.refundableMicro);
  slice.refundableMicro -= cutAmountMicro;
  slice.totalCutMicro += cutAmountMicro;
}

function dropExpiredLoans(slice: TokenSlice, nowMs: number): void {
  if (slice.loans.length === 0) {
    return;
  }
  slice.loans = slice.loans.filter((loan) => loan.expiresAtMs > nowMs);
  slice.lentMicro = slice.loans.reduce((sum, loan) => sum + loan.amountMicro, 0);
}

/**
 * Refills a slice up to `nowMs`. If a loan expired since the last refill, the level is capped as if the
 * loan had counted against the capacity up to `nowMs`.
 */
export function refillSlice(slice: TokenSlice, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - slice.updatedAtMs);
  const refilledMicro = slice.levelMicro + elapsedMs * slice.rateMicroPerMs;
  slice.levelMicro = Math.min(refilledMicro, getUnlentCapacityMicro(slice));
  slice.updatedAtMs += elapsedMs;
  cutRefundable(slice);
  dropExpiredLoans(slice, nowMs);
}

/** Sets the capacity and rate of a slice. The level is reduced at once if it exceeds the new capacity. */
export function resizeSlice(
  slice: TokenSlice,
  capacityTokens: number,
  rateTokensPerSecond: number,
  nowMs: number,
): void {
  refillSlice(slice, nowMs);
  slice.capacityMicro = Math.floor(capacityTokens * MICRO_PER_TOKEN);
  slice.rateMicroPerMs = Math.floor(rateTokensPerSecond * MICRO_PER_MS);
  slice.levelMicro = Math.min(slice.levelMicro, getUnlentCapacityMicro(slice));
  cutRefundable(slice);
}

/** Returns how many more whole tokens the slice can hold now. */
export function getHeadroomTokens(slice: TokenSlice, nowMs: number): number {
  refillSlice(slice, nowMs);
  return Math.max(
    0,
    Math.floor((getUnlentCapacityMicro(slice) - slice.levelMicro) / MICRO_PER_TOKEN),
  );
}

/** Returns the whole tokens in the slice now. */
export function getSliceTokens(slice: TokenSlice, nowMs: number): number {
  refillSlice(slice, nowMs);
  return Math.floor(slice.levelMicro / MICRO_PER_TOKEN);
}

/** Reserves the whole tokens in the slice, up to `tokens`. */
export function reserveUpTo(slice: TokenSlice, tokens: number, nowMs: number): Reservation {
  const reservedTokens = Math.min(tokens, getSliceTokens(slice, nowMs));
  const amountMicro = reservedTokens * MICRO_PER_TOKEN;
  slice.levelMicro -= amountMicro;
  slice.refundableMicro += amountMicro;
  return { amountMicro, totalCutAtStartMicro: slice.totalCutMicro };
}

/** Returns the whole tokens of a reservation. */
export function getReservedTokens(reservation: Reservation): number {
  return Math.floor(reservation.amountMicro / MICRO_PER_TOKEN);
}

/** Closes a reservation and refunds the tokens that were not used, as far as the limit allows. */
export function settleReservation(
  slice: TokenSlice,
  reservation: Reservation,
  usedTokens: number,
  nowMs: number,
): void {
  refillSlice(slice, nowMs);
  const cutSinceMicro = slice.totalCutMicro - reservation.totalCutAtStartMicro;
  const maxRefundMicro = Math.max(0, reservation.amountMicro - cutSinceMicro);
  const unusedMicro = Math.max(0, reservation.amountMicro - usedTokens * MICRO_PER_TOKEN);
  slice.refundableMicro = Math.max(0, slice.refundableMicro - maxRefundMicro);
  slice.levelMicro += Math.min(unusedMicro, maxRefundMicro);
}

/** Lends up to `tokens` for at most `spendWithinMs` and returns how many were lent. */
export function lendTokens(
  slice: TokenSlice,
  tokens: number,
  spendWithinMs: number,
  nowMs: number,
): number {
  const grantedTokens = Math.min(tokens, getSliceTokens(slice, nowMs));
  if (grantedTokens <= 0) {
    return 0;
  }
  const amountMicro = grantedTokens * MICRO_PER_TOKEN;
  slice.levelMicro -= amountMicro;
  slice.lentMicro += amountMicro;
  const holdMs = Math.ceil(spendWithinMs * LOAN_HOLD_FACTOR) + LOAN_HOLD_EXTRA_MS;
  slice.loans.push({ amountMicro, expiresAtMs: nowMs + holdMs });
  return grantedTokens;
}

/**
 * Deposits borrowed tokens as far as the capacity allows and returns how many were deposited. Tokens that
 * do not fit can only be spent on the request that borrowed them, before the loan's deadline.
 */
export function depositTokens(slice: TokenSlice, tokens: number, nowMs: number): number {
  const depositedTokens = Math.min(tokens, getHeadroomTokens(slice, nowMs));
  slice.levelMicro += depositedTokens * MICRO_PER_TOKEN;
  cutRefundable(slice);
  return depositedTokens;
}
