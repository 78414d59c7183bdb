/**
 * Backend servers that leave, lapse and come back; configurations that never go back.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import {
  createTestDeployment,
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

function setStore(vm: TestVm, isReachable: boolean, nowMs: number): void {
  vm.step({ kind: EntryEventKind.StoreAccess, isReachable }, nowMs);
}

function removeAll(vm: TestVm, ids: readonly string[], nowMs: number): void {
  vm.read(
    ids.map((id) => ({ id, revision: 9, entry: null })),
    9,
    nowMs,
  );
}

function listServers(vm: TestVm): string[] {
  return [...vm.state.backends.keys()].sort();
}

const ALL = ['c1', 'c2', 'e1', 'e2'];

const REMOVAL_CASES = [
  { name: 'one, the store answers', ids: ['c1'], isAway: false, atOnce: ['c2', 'e1', 'e2'] },
  { name: 'one, the store was away', ids: ['c1'], isAway: true, atOnce: ALL },
  { name: 'all at once', ids: ALL, isAway: false, atOnce: ALL },
];

describe('a removed entry', () => {
  it.each(REMOVAL_CASES)('is gone at once or held for a time: $name', ({ atOnce, ids, isAway }) => {
    const vm = createTestVm();
    if (isAway) {
      setStore(vm, false, 9_000);
      setStore(vm, true, 10_000);
    }
    removeAll(vm, ids, 10_100);
    expect(listServers(vm)).toEqual(atOnce);
    vm.step({ kind: EntryEventKind.Tick }, 14_000);
    expect(listServers(vm)).toEqual(ALL.filter((id) => !ids.includes(id)));
  });

  it('that comes back in time stays', () => {
    const vm = createTestVm();
    setStore(vm, false, 9_000);
    setStore(vm, true, 10_000);
    removeAll(vm, ALL, 10_100);
    vm.read([{ id: 'c1', revision: 10, entry: createTestEntry('c1', 'counter') }], 10, 11_000);
    vm.step({ kind: EntryEventKind.Tick }, 14_000);
    expect(listServers(vm)).toEqual(['c1']);
  });
});

describe('a leaving server', () => {
  it('takes no new request', () => {
    const vm = createTestVm();
    const entry = createTestEntry('c1', 'counter', { isLeaving: true });
    vm.read([{ id: 'c1', revision: 9, entry }], 9);
    const used = Array.from({ length: 20 }, (_, i) =>
      getDispatch(vm.arrive(createTestRequest(`r${i}`, '/lookup/x'))),
    ).map(({ backendId }) => backendId);
    expect(new Set(used)).toEqual(new Set(['c2']));
  });

  it('is known anew after a restart under its id', () => {
    const vm = createTestVm();
    vm.state.backends.get('c1')!.avoidUntilMs = Number.POSITIVE_INFINITY;
    const entry = createTestEntry('c1', 'counter', { bornAtWallMs: 2 });
    vm.read([{ id: 'c1', revision: 9, entry }], 9);
    expect(vm.state.backends.get('c1')!.avoidUntilMs).toBe(Number.NEGATIVE_INFINITY);
  });
});

const VERSION_CASES = [
  { name: 'later', version: 7, inForce: 7 },
  { name: 'the same', version: 1, inForce: 1 },
  { name: 'earlier', version: 0, inForce: 1 },
];

describe('a configuration', () => {
  it.each(VERSION_CASES)('is in force only if it is later: $name', ({ inForce, version }) => {
    const vm = createTestVm();
    const kind = EntryEventKind.ConfigurationRead;
    vm.step({ kind, deployment: createTestDeployment(version), source: 'peer' });
    expect(vm.state.deployment?.version).toBe(inForce);
  });

  it('of a peer is asked for when the peer has a later one', () => {
    const vm = createTestVm();
    const report = {
      vmId: 'vm-2',
      incarnation: 'b',
      failureDomain: 'fd-b',
      peerAddress: 'vm-2:1',
      sequence: 1,
      configurationVersion: 2,
      backendsRevision: 0,
      isLeaving: false,
      workspaceDemands: [],
      modelDemands: [],
    };
    const kind = EntryEventKind.PeerMessage;
    const commands = vm.step({ kind, reports: [report], board: null, replyId: null });
    expect(findCommands(commands, EntryCommandKind.FetchFromPeer)).toEqual([
      { kind: EntryCommandKind.FetchFromPeer, peerAddress: 'vm-2:1' },
    ]);
  });
});
