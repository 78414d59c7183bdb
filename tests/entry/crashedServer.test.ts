/**
 * Tests that a server whose process has crashed gets no requests until it registers again.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, ProbeOutcome } from '../../src/coordination/entry/events.js';
import { NO_EVIDENCE } from '../../src/protocol/entry/peerMessages.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import type { CrashReport } from '../../src/state/entry/crashEvidence.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestEntry,
  createPeerMessage,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;
const REQUEST_COUNT = 12;

const CRASH: CrashReport = {
  serverId: 'e1',
  bornAtWallMs: 1,
  service: 'llm',
  address: 'e1:80',
  atMs: -20,
  suspects: [],
};

function hearOfCrash(vm: TestVm, crash: CrashReport): void {
  const evidence = { ...NO_EVIDENCE, crashes: [crash] };
  const kind = EntryEventKind.PeerMessage;
  vm.step({ kind, message: createPeerMessage({ evidence }), replyId: null }, NOW_MS);
}

function loseConnection(vm: TestVm, outcome: ProbeOutcome): void {
  const promptParts = ['a', 'b', 'own'];
  let requestId = 'lost-0';
  for (let i = 0; i < REQUEST_COUNT; i += 1) {
    requestId = `lost-${i}`;
    const sent = vm.receiveRequest(createTestRequest(requestId, '/draft/x', { promptParts }));
    if (getDispatch(sent).backendId === 'e1') {
      break;
    }
  }
  const failure = {
    diagnostic: createDiagnostic(Diagnostics.AnswerLost, 'e1'),
    runState: RunState.MaybeSent,
    isRefusedByServer: false,
    isMisdirected: false,
  };
  const kind = EntryEventKind.AttemptFailed;
  const lost = { kind, requestId, attempt: 1, failure, load: null, isAnswerBegun: false } as const;
  const probes = findCommands(vm.step(lost, NOW_MS), EntryCommandKind.ProbeBackend);
  expect(probes[0]!.address).toBe('e1:80');
  // Another server is probed as well, and runs.
  probes.forEach(({ address, processKey }) => {
    const found = address === 'e1:80' ? outcome : ProbeOutcome.Accepting;
    vm.step({ kind: EntryEventKind.BackendProbed, processKey, outcome: found }, NOW_MS + 2);
  });
}

const CASES = [
  {
    name: 'another VM reports its crash',
    prepare: (vm: TestVm) => hearOfCrash(vm, CRASH),
    afterMs: 100,
    isUsed: false,
  },
  {
    name: 'another VM has reported its crash long ago',
    prepare: (vm: TestVm) => hearOfCrash(vm, CRASH),
    afterMs: 5_000,
    isUsed: true,
  },
  {
    name: 'another VM reports the crash of an earlier process',
    prepare: (vm: TestVm) => hearOfCrash(vm, { ...CRASH, bornAtWallMs: 0 }),
    afterMs: 100,
    isUsed: true,
  },
  {
    name: 'it has registered a new process',
    prepare: (vm: TestVm) => {
      hearOfCrash(vm, CRASH);
      const entry = createTestEntry('e1', 'llm', { bornAtWallMs: 2 });
      vm.readBackends([{ id: 'e1', revision: 9, entry }], 9);
    },
    afterMs: 100,
    isUsed: true,
  },
  {
    name: 'a probe finds no process',
    prepare: (vm: TestVm) => loseConnection(vm, ProbeOutcome.Gone),
    afterMs: 1_600,
    isUsed: false,
  },
  {
    name: 'a probe finds that only a connection was lost',
    prepare: (vm: TestVm) => loseConnection(vm, ProbeOutcome.Accepting),
    afterMs: 1_600,
    isUsed: true,
  },
  {
    name: 'a probe has no result',
    prepare: (vm: TestVm) => loseConnection(vm, ProbeOutcome.Unknown),
    afterMs: 1_600,
    isUsed: true,
  },
];

describe('a server', () => {
  it.each(CASES)('gets no requests while its process is gone: $name', (testCase) => {
    const vm = createTestVm();
    testCase.prepare(vm);
    const used = Array.from({ length: REQUEST_COUNT }, (_, i) => {
      const request = createTestRequest(`after-${i}`, '/draft/x');
      return getDispatch(vm.receiveRequest(request, NOW_MS + testCase.afterMs)).backendId;
    });
    expect(used.includes('e1')).toBe(testCase.isUsed);
  });
});
