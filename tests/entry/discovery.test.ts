/**
 * Tests that servers stay usable when a store outage expires their registrations, that draining and restarted
 * servers are handled, and that an earlier configuration never replaces a later one.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { StoreRequest } from '../../src/coordination/entry/peerMessage.js';
import {
  createPeerMessage,
  createTestDeployment,
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

function setStoreReachable(vm: TestVm, isReachable: boolean, nowMs: number): void {
  vm.step({ kind: EntryEventKind.StoreReachabilityRead, isReachable, ageMs: 0 }, nowMs);
}

function removeEntries(vm: TestVm, ids: readonly string[], nowMs: number): void {
  vm.readBackends(
    ids.map((id) => ({ id, revision: 9, entry: null })),
    9,
    nowMs,
  );
}

function listServerIds(vm: TestVm): string[] {
  return [...vm.state.backends.keys()].sort();
}

const ALL_SERVER_IDS = ['c1', 'c2', 'e1', 'e2'];

const REMOVAL_CASES = [
  {
    name: 'one entry while the store is reachable',
    ids: ['c1'],
    isAfterOutage: false,
    expectedIds: ['c2', 'e1', 'e2'],
  },
  {
    name: 'one entry after a store outage',
    ids: ['c1'],
    isAfterOutage: true,
    expectedIds: ALL_SERVER_IDS,
  },
  {
    name: 'all entries at once',
    ids: ALL_SERVER_IDS,
    isAfterOutage: false,
    expectedIds: ALL_SERVER_IDS,
  },
];

describe('a backend server whose entry is removed', () => {
  it.each(REMOVAL_CASES)(
    'is dropped at once or after a grace period: $name',
    ({ expectedIds, ids, isAfterOutage }) => {
      const vm = createTestVm();
      if (isAfterOutage) {
        setStoreReachable(vm, false, 9_000);
        setStoreReachable(vm, true, 10_000);
      }
      removeEntries(vm, ids, 10_100);
      expect(listServerIds(vm)).toEqual(expectedIds);
      vm.step({ kind: EntryEventKind.MaintenanceTick }, 14_000);
      expect(listServerIds(vm)).toEqual(ALL_SERVER_IDS.filter((id) => !ids.includes(id)));
    },
  );

  it('is kept if it registers again within the grace period', () => {
    const vm = createTestVm();
    setStoreReachable(vm, false, 9_000);
    setStoreReachable(vm, true, 10_000);
    removeEntries(vm, ALL_SERVER_IDS, 10_100);
    vm.readBackends(
      [{ id: 'c1', revision: 10, entry: createTestEntry('c1', 'counter') }],
      10,
      11_000,
    );
    vm.step({ kind: EntryEventKind.MaintenanceTick }, 14_000);
    expect(listServerIds(vm)).toEqual(['c1']);
  });
});

describe('a backend server that is leaving or has restarted', () => {
  it('receives no new requests while it is leaving', () => {
    const vm = createTestVm();
    const entry = createTestEntry('c1', 'counter', { isLeaving: true });
    vm.readBackends([{ id: 'c1', revision: 9, entry }], 9);
    const usedIds = Array.from({ length: 20 }, (_, i) =>
      getDispatch(vm.receiveRequest(createTestRequest(`r${i}`, '/lookup/x'))),
    ).map(({ backendId }) => backendId);
    expect(new Set(usedIds)).toEqual(new Set(['c2']));
  });

  it('has its state reset after a restart under the same id', () => {
    const vm = createTestVm();
    vm.state.backends.get('c1')!.avoidUntilMs = Number.POSITIVE_INFINITY;
    const entry = createTestEntry('c1', 'counter', { bornAtWallMs: 2 });
    vm.readBackends([{ id: 'c1', revision: 9, entry }], 9);
    expect(vm.state.backends.get('c1')!.avoidUntilMs).toBe(Number.NEGATIVE_INFINITY);
  });
});

const VERSION_CASES = [
  { name: 'a later version', version: 7, expectedVersion: 7 },
  { name: 'the same version', version: 1, expectedVersion: 1 },
  { name: 'an earlier version', version: 0, expectedVersion: 1 },
];

describe('a configuration', () => {
  it.each(VERSION_CASES)(
    'is applied only if its version is later than the current one: $name',
    ({ expectedVersion, version }) => {
      const vm = createTestVm();
      const kind = EntryEventKind.ConfigurationRead;
      vm.step({ kind, deployment: createTestDeployment(version), revision: 1, source: 'peer' });
      expect(vm.state.deployment?.version).toBe(expectedVersion);
    },
  );

  it('is fetched from a peer that reports a later version', () => {
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
      vmCount: 1,
      ageMs: 0,
    };
    const kind = EntryEventKind.PeerMessage;
    const message = createPeerMessage({ reports: [report] });
    const commands = vm.step({ kind, message, replyId: null });
    expect(findCommands(commands, EntryCommandKind.SendPeerMessage)).toMatchObject([
      { peerAddress: 'vm-2:1', storeRequest: StoreRequest.Fetch },
    ]);
  });
});
