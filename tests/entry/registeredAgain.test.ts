/**
 * Tests that what a backend server has said of itself holds when its entry disappears and comes back, as it does when the
 * server is cut off from the store for some seconds.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const STATED = {
  kind: EntryEventKind.ServerStated,
  backendId: 'c1',
  bornAtWallMs: 1,
  requestName: 'caller-r',
  isLeaving: false,
  pauseMs: null,
  isMalformed: false,
} as const;

const STATEMENTS: readonly { readonly name: string; readonly state: (vm: TestVm) => void }[] = [
  { name: 'that it leaves', state: (vm) => vm.step({ ...STATED, isLeaving: true }) },
  { name: 'a pause', state: (vm) => vm.step({ ...STATED, pauseMs: 60_000 }) },
  {
    name: 'a request limit',
    state: (vm) =>
      vm.step({
        kind: EntryEventKind.LimitReported,
        backendId: 'c1',
        requestsPerSecond: 0.25,
        dispatchedAtMs: 9_000,
      }),
  },
];

const RETURNS = [
  { name: 'the same incarnation', bornAtWallMs: 1, isFree: false },
  { name: 'another incarnation', bornAtWallMs: 2, isFree: true },
];

const CASES = STATEMENTS.flatMap((statement) =>
  RETURNS.map((back) => ({
    ...back,
    name: `${statement.name}, ${back.name}`,
    state: statement.state,
  })),
);

describe('a server that registers again', () => {
  it.each(CASES)('is bound by what it said before: $name', ({ bornAtWallMs, isFree, state }) => {
    const vm = createTestVm();
    state(vm);
    vm.readBackends([{ id: 'c1', revision: 6, entry: null }], 6, 12_000);
    const entry = createTestEntry('c1', 'counter', { bornAtWallMs });
    vm.readBackends([{ id: 'c1', revision: 7, entry }], 7, 13_000);
    const commands = Array.from({ length: 30 }, (_, i) =>
      vm.receiveRequest(createTestRequest(`r${i}`, '/lookup/x'), 13_100),
    ).flat();
    const toC1 = findCommands(commands, EntryCommandKind.Dispatch).filter(
      ({ backendId }) => backendId === 'c1',
    );
    expect(toC1.length > 3).toBe(isFree);
  });
});
