/**
 * Tests of token slices. In any time window, the tokens received from all slices together must not exceed
 * the burst plus the refill of that window.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createTokenSlice,
  depositTokens,
  getReservedTokens,
  getSliceTokens,
  lendTokens,
  type Reservation,
  reserveUpTo,
  resizeSlice,
  settleReservation,
  type TokenSlice,
} from '../../src/state/tokenSlice.js';
import { findExcess, type Receipt } from '../fakes/referenceRateLimit.js';

const MAX_SLICES = 3;
const SPEND_WITHIN_MS = 150;

interface OpenRequest {
  readonly slice: TokenSlice;
  readonly reservation: Reservation;
  readonly receipt: Receipt;
}

interface Loan {
  readonly borrower: TokenSlice;
  readonly tokens: number;
  readonly askedAtMs: number;
}

interface World {
  readonly slices: TokenSlice[];
  readonly receipts: Receipt[];
  readonly open: OpenRequest[];
  readonly loans: Loan[];
}

type Operation = { readonly afterMs: number } & (
  | { readonly kind: 'reserve'; readonly slice: number; readonly tokens: number }
  | { readonly kind: 'settle'; readonly pick: number; readonly usedFraction: number }
  | {
      readonly kind: 'lend';
      readonly slice: number;
      readonly borrower: number;
      readonly tokens: number;
    }
  | { readonly kind: 'receive'; readonly pick: number }
);

type Actions = {
  readonly [K in Operation['kind']]: (
    world: World,
    operation: Extract<Operation, { kind: K }>,
    nowMs: number,
  ) => void;
};

const ACTIONS: Actions = {
  reserve: ({ open, receipts, slices }, { slice: at, tokens: wanted }, nowMs) => {
    const slice = slices[at % slices.length]!;
    const reservation = reserveUpTo(slice, wanted, nowMs);
    const receipt = { atMs: nowMs, tokens: getReservedTokens(reservation) };
    receipts.push(receipt);
    open.push({ slice, reservation, receipt });
  },
  settle: ({ open }, { pick: at, usedFraction: fraction }, nowMs) => {
    const [request] = open.splice(at % Math.max(1, open.length), 1);
    if (request === undefined) {
      return;
    }
    const used = Math.floor(getReservedTokens(request.reservation) * fraction);
    request.receipt.tokens = used;
    settleReservation(request.slice, request.reservation, used, nowMs);
  },
  lend: ({ loans, slices }, { borrower, slice, tokens: wanted }, nowMs) => {
    const granted = lendTokens(slices[slice % slices.length]!, wanted, SPEND_WITHIN_MS, nowMs);
    const target = slices[borrower % slices.length]!;
    loans.push({ borrower: target, tokens: granted, askedAtMs: nowMs });
  },
  receive: ({ loans, receipts }, { pick: at }, nowMs) => {
    const [loan] = loans.splice(at % Math.max(1, loans.length), 1);
    if (loan === undefined || nowMs - loan.askedAtMs > SPEND_WITHIN_MS) {
      return;
    }
    const stored = depositTokens(loan.borrower, loan.tokens, nowMs);
    receipts.push({ atMs: nowMs, tokens: loan.tokens - stored });
  },
};

function runOperation(world: World, operation: Operation, nowMs: number): void {
  const action = ACTIONS[operation.kind] as (w: World, o: Operation, now: number) => void;
  action(world, operation, nowMs);
}

const index = fc.nat({ max: MAX_SLICES - 1 });
const pick = fc.nat({ max: 50 });
const tokens = fc.oneof(fc.constant(400), fc.integer({ min: 1, max: 400 }));
const usedFraction = fc.constantFrom(0, 0.1, 0.5, 1);
const afterMs = fc.constantFrom(0, 0, 0, 1, 7, 50, 149, 151, 199, 201, 1001, 5000);

const operation: fc.Arbitrary<Operation> = fc.oneof(
  fc.record({ kind: fc.constant('reserve' as const), afterMs, slice: index, tokens }),
  fc.record({ kind: fc.constant('settle' as const), afterMs, pick, usedFraction }),
  fc.record({ kind: fc.constant('lend' as const), afterMs, slice: index, borrower: index, tokens }),
  fc.record({ kind: fc.constant('receive' as const), afterMs, pick }),
);

const BOUND_CASES = [
  { name: 'one slice', slices: 1, burst: 30, rate: 10 },
  { name: 'one slice that refills fast', slices: 1, burst: 30, rate: 300 },
  { name: 'two slices that refill fast', slices: 2, burst: 60, rate: 600 },
  { name: 'three slices', slices: 3, burst: 90, rate: 30 },
  { name: 'a large burst', slices: 3, burst: 3_000, rate: 200 },
  { name: 'a rate below one token per second for each slice', slices: 3, burst: 30, rate: 1 },
];

describe('token slices', () => {
  it.each(BOUND_CASES)(
    'never exceed burst plus refill in any window: $name',
    ({ burst, rate, slices }) => {
      fc.assert(
        fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
          const create = (): TokenSlice => createTokenSlice(burst / slices, rate / slices, 0);
          const world: World = {
            slices: Array.from({ length: slices }, create),
            receipts: [],
            open: [],
            loans: [],
          };
          let nowMs = 0;
          operations.forEach((item) => {
            nowMs += item.afterMs;
            runOperation(world, item, nowMs);
          });
          expect(findExcess(world.receipts, burst, rate)).toBeLessThanOrEqual(0);
        }),
        { numRuns: 3_000 },
      );
    },
  );

  const REFILL_CASES = [
    { name: 'start empty', capacity: 100, rate: 10, atMs: 0, expected: 0 },
    { name: 'refill at their rate', capacity: 100, rate: 10, atMs: 1_000, expected: 10 },
    {
      name: 'stop refilling at their capacity',
      capacity: 100,
      rate: 10,
      atMs: 60_000,
      expected: 100,
    },
    {
      name: 'refill at a rate below one token per second',
      capacity: 10,
      rate: 0.5,
      atMs: 4_000,
      expected: 2,
    },
    {
      name: 'ignore a clock that went backwards',
      capacity: 10,
      rate: 1,
      atMs: -5_000,
      expected: 0,
    },
  ];

  it.each(REFILL_CASES)('$name', ({ atMs, capacity, expected, rate }) => {
    const slice = createTokenSlice(capacity, rate, 0);
    expect(getSliceTokens(slice, atMs)).toBe(expected);
  });

  it('refill without rounding loss when they are read every millisecond', () => {
    const slice = createTokenSlice(10, 0.5, 0);
    for (let atMs = 0; atMs <= 4_000; atMs += 1) {
      getSliceTokens(slice, atMs);
    }
    expect(getSliceTokens(slice, 4_000)).toBe(2);
  });

  const REFUND_CASES = [
    { name: 'refund the unused tokens', settledAtMs: 10_000, used: 40, expected: 60 },
    {
      name: 'refund only what fits above the refill',
      settledAtMs: 13_000,
      used: 0,
      expected: 70,
    },
    {
      name: 'refund nothing once the slice has refilled completely',
      settledAtMs: 20_000,
      used: 0,
      expected: 0,
    },
  ];

  it.each(REFUND_CASES)('$name', ({ expected, settledAtMs, used }) => {
    const slice = createTokenSlice(100, 10, 0);
    const reservation = reserveUpTo(slice, 100, 10_000);
    reserveUpTo(slice, 100, settledAtMs);
    settleReservation(slice, reservation, used, settledAtMs);
    expect(getSliceTokens(slice, settledAtMs)).toBe(expected);
  });

  it('reduce their level at once when their share shrinks', () => {
    const slice = createTokenSlice(100, 10, 0);
    resizeSlice(slice, 50, 10, 60_000);
    expect(getSliceTokens(slice, 60_000)).toBe(50);
  });
});
