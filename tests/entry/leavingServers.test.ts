/**
 * Tests that a backend server gets no more requests once it has said in an answer that it leaves, whatever its entry in the
 * store says, until it registers as another incarnation.
 */
import { describe, expect, it } from 'vitest';
import { isAcceptingRequests } from '../../src/coordination/entry/requests/backendSelection.js';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { NO_EVIDENCE } from '../../src/protocol/entry/peerMessages.js';
import type { BackendEntry } from '../../src/state/entry/backends.js';
import { createStoreRevision } from '../../src/state/storeRevision.js';
import {
  createPeerMessage,
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

const C1 = createTestEntry('c1', 'counter');
const NEW_ERA = createStoreRevision(1, 2);

function createStatement(changes: object = {}): EntryEvent {
  return {
    kind: EntryEventKind.ServerStated,
    backendId: 'c1',
    bornAtWallMs: 1,
    requestName: 'caller-r',
    isLeaving: true,
    pauseMs: null,
    isMalformed: false,
    ...changes,
  };
}

function hearFromPeer(vm: TestVm, bornAtWallMs: number): void {
  const evidence = { ...NO_EVIDENCE, leaving: [{ serverId: 'c1', bornAtWallMs }] };
  const message = createPeerMessage({ evidence });
  vm.step({ kind: EntryEventKind.PeerMessage, message, replyId: null });
}

const SOURCES = [
  { name: 'an answer', learn: (vm: TestVm) => vm.step(createStatement()), isUsed: false },
  { name: 'another VM', learn: (vm: TestVm) => hearFromPeer(vm, 1), isUsed: false },
  {
    name: 'its entry',
    learn: (vm: TestVm) =>
      vm.readBackends([{ id: 'c1', revision: 6, entry: { ...C1, isLeaving: true } }], 6),
    isUsed: false,
  },
  {
    name: 'an answer of an earlier incarnation',
    learn: (vm: TestVm) => vm.step(createStatement({ bornAtWallMs: 0 })),
    isUsed: true,
  },
  {
    name: 'another VM about an earlier incarnation',
    learn: (vm: TestVm) => hearFromPeer(vm, 0),
    isUsed: true,
  },
  {
    name: 'a malformed answer',
    learn: (vm: TestVm) => vm.step(createStatement({ isLeaving: false, isMalformed: true })),
    isUsed: true,
  },
];

/** Entries, and null for removals, that the VM reads after it has learned that the server leaves. */
const LATER_ENTRIES: readonly {
  readonly name: string;
  readonly entries: readonly (BackendEntry | null)[];
  readonly isUsed: boolean;
}[] = [
  { name: 'an entry that was written before', entries: [C1], isUsed: false },
  { name: 'its removal and the same incarnation again', entries: [null, C1], isUsed: false },
  { name: 'another incarnation', entries: [{ ...C1, bornAtWallMs: 2 }], isUsed: true },
  {
    name: 'its removal and another incarnation',
    entries: [null, { ...C1, bornAtWallMs: 2 }],
    isUsed: true,
  },
  {
    name: 'its removal and another incarnation without a time of birth, at another address',
    entries: [null, { ...C1, address: 'c1-new:80' }],
    isUsed: true,
  },
  {
    name: 'another incarnation without a time of birth, at another address',
    entries: [{ ...C1, address: 'c1-new:80' }],
    isUsed: true,
  },
];

function isUsed(vm: TestVm): boolean {
  const backend = vm.state.backends.get('c1');
  return backend !== undefined && isAcceptingRequests(backend);
}

describe('a server that leaves', () => {
  it.each(SOURCES)('is known from $name', ({ isUsed: expected, learn }) => {
    const vm = createTestVm();
    learn(vm);
    expect(isUsed(vm)).toBe(expected);
  });

  it.each(LATER_ENTRIES)('is not used again by $name', ({ entries, isUsed: expected }) => {
    const vm = createTestVm();
    vm.step(createStatement());
    entries.forEach((entry, i) => vm.readBackends([{ id: 'c1', revision: 6 + i, entry }], 6 + i));
    expect(isUsed(vm)).toBe(expected);
  });

  it('is not used again by the copy from which the store was restored', () => {
    const vm = createTestVm();
    vm.step(createStatement());
    const changes = [{ id: 'c1', revision: NEW_ERA, entry: C1 }];
    const read = { kind: EntryEventKind.BackendsRead, isSnapshot: true, changes } as const;
    vm.step({ ...read, revision: NEW_ERA, source: 'store' }, 10_000);
    vm.step({ kind: EntryEventKind.MaintenanceTick }, 20_000);
    expect(isUsed(vm)).toBe(false);
  });

  it('gets none of the requests that arrive, and its own are recalled unless their answers have begun', () => {
    const vm = createTestVm();
    const sent = Array.from({ length: 20 }, (_, i) => `r${i}`).map((id) => ({
      id,
      dispatch: getDispatch(vm.receiveRequest(createTestRequest(id, '/lookup/x'))),
    }));
    const toC1 = sent.filter(({ dispatch }) => dispatch.backendId === 'c1').map(({ id }) => id);
    const [begun] = toC1;
    const started = { kind: EntryEventKind.AnswerStarted, requestId: begun!, attempt: 1 } as const;
    vm.step({ ...started, load: null });
    const recalled = findCommands(vm.step(createStatement()), EntryCommandKind.RecallAttempt);
    expect(recalled.map(({ requestId }) => requestId)).toEqual(toC1.slice(1));
    const later = Array.from({ length: 20 }, (_, i) =>
      getDispatch(vm.receiveRequest(createTestRequest(`later${i}`, '/lookup/x'))),
    );
    expect(new Set(later.map(({ backendId }) => backendId))).toEqual(new Set(['c2']));
  });

  it('is told to other VMs', () => {
    const vm = createTestVm();
    vm.step(createStatement());
    const kind = EntryEventKind.PeerMessage;
    const commands = vm.step({ kind, message: createPeerMessage(), replyId: 'q' });
    const [reply] = findCommands(commands, EntryCommandKind.ReplyToPeer);
    expect(reply?.message?.evidence.leaving).toEqual([{ serverId: 'c1', bornAtWallMs: 1 }]);
  });

  it('has a malformed statement logged once', () => {
    const vm = createTestVm();
    const statement = createStatement({ isLeaving: false, isMalformed: true });
    const logs = [vm.step(statement), vm.step(statement)].map((commands) =>
      findCommands(commands, EntryCommandKind.Log),
    );
    expect(logs.map(({ length }) => length)).toEqual([1, 0]);
  });
});
