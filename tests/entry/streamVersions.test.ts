/**
 * Tests that a stream goes on only at servers of the software version that began it.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import {
  type AttemptFailure,
  type EntryEvent,
  EntryEventKind,
} from '../../src/coordination/entry/events.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState, RunStatus } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const ARRIVED_AT_MS = 10_000;
const BEGUN_AT_MS = 10_300;
const BROKEN_AT_MS = 10_600;

const LOST: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.AnswerTruncated, 'x'),
  runState: RunState.Streaming,
  isRefusedByServer: false,
  isMisdirected: false,
};
const SPOILED: AttemptFailure = {
  ...LOST,
  diagnostic: createDiagnostic(Diagnostics.StreamSpoiled, 'x', '9', 'no_number'),
};

/** How the run that began a stream ends. */
const BREAKS: readonly { readonly name: string; readonly event: EntryEvent }[] = [
  { name: 'its connection is lost', failure: LOST },
  { name: 'its server spoils it', failure: SPOILED },
].map(({ failure, name }) => ({
  name,
  event: {
    kind: EntryEventKind.AttemptFailed,
    requestId: 'r',
    attempt: 1,
    failure,
    load: null,
    isAnswerBegun: true,
    lastEventAtMs: BEGUN_AT_MS,
  },
}));
const ALL_BREAKS = [
  ...BREAKS,
  {
    name: 'its server falls silent',
    event: {
      kind: EntryEventKind.AttemptStalled,
      requestId: 'r',
      attempt: 1,
      silentMs: 2_400,
      isAnswerBegun: true,
    } as const,
  },
];

/** Replaces the servers e1 and e2 by one server for each version, in this order. */
function setVersions(
  vm: TestVm,
  versions: readonly string[],
  revision = 6,
  nowMs = 0,
): EntryCommand[] {
  const changes = versions.map((softwareVersion, index) => {
    const id = `e${index + 1}`;
    return { id, revision, entry: createTestEntry(id, 'llm', { softwareVersion }) };
  });
  return vm.readBackends(changes, revision, nowMs);
}

/** Starts a stream at a server of v1, whose run then breaks off. The other servers have the given versions. */
function breakStream(others: readonly string[], event: EntryEvent): EntryCommand[] {
  const vm = createTestVm();
  setVersions(vm, ['v1', 'none']);
  const kind = EntryEventKind.BackendsRead;
  const removed = { id: 'e2', revision: 7, entry: null };
  vm.step({ kind, isSnapshot: false, changes: [removed], revision: 7, source: 'test' }, 0);
  vm.step({ kind: EntryEventKind.MaintenanceTick }, ARRIVED_AT_MS - 1);
  vm.receiveRequest(createTestRequest('r', '/draft/x'), ARRIVED_AT_MS);
  vm.step(
    { kind: EntryEventKind.AnswerStarted, requestId: 'r', attempt: 1, load: null },
    BEGUN_AT_MS,
  );
  setVersions(vm, ['v1', ...others], 8, BEGUN_AT_MS);
  return vm.step(event, BROKEN_AT_MS);
}

function listServers(commands: readonly EntryCommand[]): string[] {
  return findCommands(commands, EntryCommandKind.Dispatch).map(({ backendId }) => backendId);
}

const SERVERS = [
  { name: 'another version only', others: ['v2'], expected: [] },
  { name: 'its version', others: ['v1'], expected: ['e2'] },
  { name: 'its version among others', others: ['v2', 'v3', 'v1', 'v2'], expected: ['e4'] },
];

describe('a stream that breaks off in the middle of an answer', () => {
  it.each(
    ALL_BREAKS.flatMap((row) =>
      SERVERS.map((servers) => ({ ...servers, ...row, how: row.name, which: servers.name })),
    ),
  )(
    'goes on only at a server of the version that began it: $how, servers of $which',
    ({ event, expected, others }) => {
      expect(listServers(breakStream(others, event))).toEqual(expected);
    },
  );

  it('is cut at once when no server of its version is left', () => {
    const vm = createTestVm();
    setVersions(vm, ['v1', 'v1']);
    const [first] = listServers(
      vm.receiveRequest(createTestRequest('r', '/draft/x'), ARRIVED_AT_MS),
    );
    vm.step(
      { kind: EntryEventKind.AnswerStarted, requestId: 'r', attempt: 1, load: null },
      BEGUN_AT_MS,
    );
    setVersions(vm, ['v2', 'v2'], 8, BEGUN_AT_MS);
    expect(first).toBeDefined();
    const commands = vm.step(BREAKS[0]!.event, BROKEN_AT_MS);
    const aborts = findCommands(commands, EntryCommandKind.AbortAnswer);
    expect(aborts.map(({ refusal }) => refusal.run)).toEqual([RunStatus.Unknown]);
  });
});

describe('a request that breaks off before its first event', () => {
  it('is retried at any version', () => {
    const vm = createTestVm();
    setVersions(vm, ['v1', 'v2']);
    const [first] = listServers(
      vm.receiveRequest(createTestRequest('r', '/draft/x'), ARRIVED_AT_MS),
    );
    const event = { ...BREAKS[0]!.event, isAnswerBegun: false, lastEventAtMs: null } as EntryEvent;
    const later = listServers(
      vm.step(
        { ...event, failure: { ...LOST, runState: RunState.MaybeSent } } as EntryEvent,
        BROKEN_AT_MS,
      ),
    );
    expect([first, ...later].sort()).toEqual(['e1', 'e2']);
  });
});
