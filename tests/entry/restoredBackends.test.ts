/**
 * Tests which backend servers a VM uses after the store has come back from a copy: what the VM learned in the lost seconds
 * holds until the servers have had time to write it again.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type BackendChange, EntryEventKind } from '../../src/coordination/entry/events.js';
import { isAcceptingRequests } from '../../src/coordination/entry/requests/backendSelection.js';
import type { BackendEntry } from '../../src/state/entry/backends.js';
import { createStoreRevision } from '../../src/state/storeRevision.js';
import { createTestDeployment, createTestEntry, createTestVm, type TestVm } from './fixtures.js';

const RESTORED_AT_MS = 20_000;
const COPY_REVISION = createStoreRevision(1, 4);
const WRITTEN_AGAIN_REVISION = createStoreRevision(1, 6);

const C1 = createTestEntry('c1', 'counter');
const OTHERS = [
  createTestEntry('c2', 'counter'),
  createTestEntry('e1', 'llm'),
  createTestEntry('e2', 'llm'),
];
const OTHER_IDS = ['c2', 'e1', 'e2'];
const LEAVING = { ...C1, isLeaving: true };
const RESTARTED = { ...C1, bornAtWallMs: 7 };
const LOADED = createTestEntry('e3', 'llm', {
  models: [{ name: 'm4', version: 1, adapters: [] }],
});

interface Change {
  readonly afterMs: number;
  readonly id: string;
  readonly entry: BackendEntry | null;
}

interface Case {
  readonly name: string;
  /** What the VM reads in the seconds that the store then loses. */
  readonly lost: readonly Omit<Change, 'afterMs'>[];
  readonly copy: readonly BackendEntry[];
  /** What is written after the restore. */
  readonly written?: readonly Change[];
  /** The servers that accept requests, besides `OTHER_IDS`, by the time since the restore. */
  readonly accepting: Readonly<Record<number, readonly string[]>>;
}

const CASES: readonly Case[] = [
  {
    name: 'nothing was lost',
    lost: [],
    copy: [C1, ...OTHERS],
    accepting: { 100: ['c1'], 3_000: ['c1'], 20_000: ['c1'] },
  },
  {
    name: 'a server that registered in the lost seconds and has ended',
    lost: [{ id: 'c9', entry: createTestEntry('c9', 'counter') }],
    copy: [C1, ...OTHERS],
    accepting: { 100: ['c1', 'c9'], 2_300: ['c1', 'c9'], 3_000: ['c1'] },
  },
  {
    name: 'a server that registered in the lost seconds and registers again',
    lost: [{ id: 'c9', entry: createTestEntry('c9', 'counter') }],
    copy: [C1, ...OTHERS],
    written: [{ afterMs: 1_500, id: 'c9', entry: createTestEntry('c9', 'counter') }],
    accepting: { 100: ['c1', 'c9'], 3_000: ['c1', 'c9'], 20_000: ['c1', 'c9'] },
  },
  {
    name: 'a server that left in the lost seconds',
    lost: [{ id: 'c1', entry: null }],
    copy: [C1, ...OTHERS],
    written: [{ afterMs: 3_700, id: 'c1', entry: null }],
    accepting: { 100: [], 3_000: [], 9_000: [], 20_000: [] },
  },
  {
    name: 'a server that was silent in the lost seconds and is alive',
    lost: [{ id: 'c1', entry: null }],
    copy: [C1, ...OTHERS],
    accepting: { 100: [], 3_000: [], 9_000: ['c1'] },
  },
  {
    name: 'a server that announced in the lost seconds that it leaves',
    lost: [{ id: 'c1', entry: LEAVING }],
    copy: [C1, ...OTHERS],
    accepting: { 100: [], 3_000: [], 20_000: [] },
  },
  {
    name: 'a server that announced it and was then removed',
    lost: [
      { id: 'c1', entry: LEAVING },
      { id: 'c1', entry: null },
    ],
    copy: [C1, ...OTHERS],
    accepting: { 100: [], 3_000: [], 20_000: [] },
  },
  {
    name: 'a server that restarted in the lost seconds and registers again',
    lost: [{ id: 'c1', entry: RESTARTED }],
    copy: [C1, ...OTHERS],
    written: [{ afterMs: 1_500, id: 'c1', entry: RESTARTED }],
    accepting: { 100: ['c1'], 3_000: ['c1'], 20_000: ['c1'] },
  },
  {
    name: 'a server that restarted while it was leaving',
    lost: [
      { id: 'c1', entry: LEAVING },
      { id: 'c1', entry: RESTARTED },
    ],
    copy: [LEAVING, ...OTHERS],
    written: [{ afterMs: 1_500, id: 'c1', entry: RESTARTED }],
    accepting: { 100: ['c1'], 3_000: ['c1'] },
  },
  {
    name: 'a server that the copy shows as leaving',
    lost: [],
    copy: [LEAVING, ...OTHERS],
    accepting: { 100: [], 3_000: [] },
  },
  {
    name: 'a server that only the copy has',
    lost: [],
    copy: [C1, createTestEntry('c9', 'counter'), ...OTHERS],
    accepting: { 100: ['c1', 'c9'], 3_000: ['c1', 'c9'] },
  },
];

function readCopy(vm: TestVm, entries: readonly BackendEntry[]): void {
  const changes = entries.map((entry): BackendChange => ({
    id: entry.id,
    revision: COPY_REVISION,
    entry,
  }));
  const event = { kind: EntryEventKind.BackendsRead, isSnapshot: true, changes } as const;
  vm.step({ ...event, revision: COPY_REVISION, source: 'store' }, RESTORED_AT_MS);
}

function runUntil(vm: TestVm, changes: readonly Change[], fromMs: number, toMs: number): void {
  for (let afterMs = fromMs; afterMs < toMs; afterMs += 100) {
    const nowMs = RESTORED_AT_MS + afterMs;
    changes
      .filter((change) => change.afterMs === afterMs)
      .forEach(({ entry, id }) => {
        const change = { id, revision: WRITTEN_AGAIN_REVISION, entry };
        vm.readBackends([change], WRITTEN_AGAIN_REVISION, nowMs);
      });
    vm.step({ kind: EntryEventKind.MaintenanceTick }, nowMs);
  }
}

describe('the servers after a restore of the store', () => {
  it.each(CASES)('are used by what is known of them: $name', (testCase) => {
    const { accepting, copy, lost, written = [] } = testCase;
    const vm = createTestVm();
    lost.forEach(({ entry, id }, i) => vm.readBackends([{ id, revision: 6 + i, entry }], 6 + i));
    readCopy(vm, copy);
    let afterMs = 0;
    Object.entries(accepting).forEach(([untilText, expected]) => {
      runUntil(vm, written, afterMs, Number(untilText));
      afterMs = Number(untilText);
      const ids = [...vm.state.backends.values()]
        .filter(isAcceptingRequests)
        .map(({ entry }) => entry.id);
      expect(ids.sort()).toEqual([...expected, ...OTHER_IDS].sort());
    });
  });

  it('are used for the models that they loaded in the lost seconds, until the store shows otherwise', () => {
    const vm = createTestVm();
    vm.readBackends([{ id: 'e3', revision: 6, entry: LOADED }], 6);
    readCopy(vm, [C1, ...OTHERS, { ...LOADED, models: [] }]);
    const listModels = (): string[] =>
      vm.state.backends.get('e3')!.entry.models.map(({ name }) => name);
    expect(listModels()).toEqual(['m4']);
    runUntil(vm, [], 0, 3_000);
    expect(listModels()).toEqual([]);
  });
});

describe('a VM whose store was restored', () => {
  it('ends its term as the controller and registers anew', () => {
    const vm = createTestVm();
    vm.step({
      kind: EntryEventKind.ControllerLeaseAnswered,
      fence: 9,
      isLost: false,
      sentAtMs: 10_000,
    });
    expect(vm.state.placement.fence).toBe(9);
    const kind = EntryEventKind.StoreRestored;
    const commands = vm.step({ kind, revision: COPY_REVISION, knownRevision: 9, source: 'store' });
    expect(vm.state.placement.fence).toBeNull();
    expect(commands.map((command) => command.kind)).toEqual(
      expect.arrayContaining([
        EntryCommandKind.ReleaseControllerLease,
        EntryCommandKind.RenewRegistration,
      ]),
    );
  });

  const CONFIGURATIONS = [
    { name: 'an earlier version in the copy', version: 1, revision: COPY_REVISION, isUsed: false },
    { name: 'the same version before the restore', version: 2, revision: 8, isUsed: false },
    {
      name: 'the same version, written anew after the restore',
      version: 2,
      revision: WRITTEN_AGAIN_REVISION,
      isUsed: true,
    },
    { name: 'a later version', version: 3, revision: WRITTEN_AGAIN_REVISION, isUsed: true },
  ];

  it.each(CONFIGURATIONS)('uses a configuration only if it is later: $name', (testCase) => {
    const vm = createTestVm();
    const kind = EntryEventKind.ConfigurationRead;
    vm.step({ kind, deployment: createTestDeployment(2), revision: 8, source: 'store' });
    const deployment = createTestDeployment(testCase.version);
    vm.step({ kind, deployment, revision: testCase.revision, source: 'store' });
    expect(vm.state.deployment === deployment).toBe(testCase.isUsed);
  });
});
