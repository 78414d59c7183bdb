/**
 * Tests that callers who take their streams up go before new requests where the rate of their workspace is used up.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { getRateBucket } from '../../src/coordination/entry/limits/rates.js';
import {
  createTestRequest,
  createTestVm,
  findCommands,
  TEST_WORKSPACE,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;
const COST_TOKENS = 1_100;
const TOKENS_PER_MS = TEST_WORKSPACE.rateTokensPerSecond / 1_000;
/** Time in which the bucket refills for one request. */
const REFILL_MS = Math.ceil(COST_TOKENS / TOKENS_PER_MS);
const TAKE_UP = { lastEventId: '9', resumedRequestId: 'first' };

/** Creates a VM whose bucket is empty. */
function createEmptyVm(): TestVm {
  const vm = createTestVm();
  getRateBucket(vm.state, TEST_WORKSPACE, NOW_MS);
  getRateBucket(vm.state, TEST_WORKSPACE, NOW_MS).levelTokens = 0;
  return vm;
}

/** Lets a request arrive; returns whether it was charged to the rate. */
function isAdmitted(vm: TestVm, id: string, changes: object, atMs: number): boolean {
  vm.receiveRequest(createTestRequest(id, '/draft/x', changes), atMs);
  return vm.state.requests.get(id)?.isCharged === true;
}

/** Lets a request be rejected; returns the time after which it may come again. */
function reject(vm: TestVm, id: string, changes: object): number {
  const commands = vm.receiveRequest(createTestRequest(id, '/draft/x', changes), NOW_MS);
  return findCommands(commands, EntryCommandKind.Refuse)[0]?.refusal.retryAfterMs ?? -1;
}

const ROWS = [
  { name: 'one request, which the stream takes', at: REFILL_MS, isNewAdmitted: false },
  { name: 'two requests', at: 2 * REFILL_MS, isNewAdmitted: true },
  { name: 'two requests after the caller has not come', at: 5_000, isNewAdmitted: true },
];

describe('a stream that is taken up while the rate of its workspace is used up', () => {
  it.each(ROWS)('keeps the tokens for it: $name', ({ at, isNewAdmitted }) => {
    const vm = createEmptyVm();
    reject(vm, 'a', TAKE_UP);
    expect(isAdmitted(vm, 'new', {}, NOW_MS + at)).toBe(isNewAdmitted);
    expect(isAdmitted(vm, 'b', TAKE_UP, NOW_MS + at)).toBe(true);
  });

  it('is told to come again after those that were rejected before it', () => {
    const vm = createEmptyVm();
    const times = ['a', 'b', 'c', 'd', 'e'].map((id) =>
      reject(vm, id, { ...TAKE_UP, resumedRequestId: id }),
    );
    expect(times[4]).toBeGreaterThanOrEqual(5 * REFILL_MS - 5);
  });

  it('is counted once when it was rejected twice', () => {
    const vm = createEmptyVm();
    reject(vm, 'a', TAKE_UP);
    reject(vm, 'b', TAKE_UP);
    expect(isAdmitted(vm, 'new', {}, NOW_MS + 2 * REFILL_MS)).toBe(true);
  });

  it.each([
    { name: 'small', promptTokens: 1 },
    { name: 'large', promptTokens: 100_000 },
  ])('keeps a bounded number of records: $name requests', ({ promptTokens }) => {
    const vm = createEmptyVm();
    const ids = Array.from({ length: 1_000 }, (_, i) => `r${i}`);
    ids.forEach((id) =>
      reject(vm, id, { ...TAKE_UP, promptTokens, maxOutputTokens: 1, resumedRequestId: id }),
    );
    expect(vm.state.buckets.get('mill')!.reservations.size).toBeLessThanOrEqual(100);
  });

  it('keeps no tokens for requests from the beginning', () => {
    const vm = createEmptyVm();
    reject(vm, 'a', {});
    expect(isAdmitted(vm, 'new', {}, NOW_MS + REFILL_MS)).toBe(true);
  });
});
