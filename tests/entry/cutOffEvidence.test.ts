/**
 * Tests that a VM whose connections to sound servers are reset by a cut does not report these servers as crashed, and that it still
 * reports a server that has crashed.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, ProbeOutcome } from '../../src/coordination/entry/events.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;
const PROBE_MS = 2;
const REQUEST_COUNT = 60;
const COUNTERS = ['c1', 'c2', 'c3', 'c4'];
const ENGINES = ['e1', 'e2'];
const { Accepting, Gone, Unknown } = ProbeOutcome;

/** Sends requests until each of the given servers has one. Returns the requests by server. */
function occupy(vm: TestVm, serverIds: readonly string[]): ReadonlyMap<string, string> {
  const requests = new Map<string, string>();
  for (let i = 0; i < REQUEST_COUNT; i += 1) {
    const requestId = `r-${i}`;
    vm.receiveRequest(createTestRequest(requestId, '/lookup/x'), NOW_MS - 5);
    const backendId = vm.state.requests.get(requestId)?.backendId ?? '';
    if (serverIds.includes(backendId) && !requests.has(backendId)) {
      requests.set(backendId, requestId);
    }
  }
  return requests;
}

/** Answers the probes among commands, and those that follow from them, each after the time of a probe. */
function answerProbes(
  vm: TestVm,
  commands: readonly EntryCommand[],
  outcomes: Readonly<Record<string, ProbeOutcome>>,
  nowMs: number,
): void {
  const probes = findCommands(commands, EntryCommandKind.ProbeBackend);
  const kind = EntryEventKind.BackendProbed;
  const next = probes.flatMap(({ address, processKey }) => {
    const outcome = outcomes[address.split(':')[0]!] ?? Gone;
    return vm.step({ kind, processKey, outcome }, nowMs + PROBE_MS);
  });
  if (probes.length > 0) {
    answerProbes(vm, next, outcomes, nowMs + PROBE_MS);
  }
}

function loseConnection(vm: TestVm, requestId: string, backendId: string): EntryCommand[] {
  const failure = {
    diagnostic: createDiagnostic(Diagnostics.AnswerLost, backendId),
    runState: RunState.MaybeSent,
    isRefusedByServer: false,
    isMisdirected: false,
  };
  const kind = EntryEventKind.AttemptFailed;
  const lost = { kind, requestId, attempt: 1, failure, load: null, isAnswerBegun: false } as const;
  return vm.step(lost, NOW_MS);
}

const ALL_ACCEPT = {
  c1: Accepting,
  c2: Accepting,
  c3: Accepting,
  c4: Accepting,
  e1: Accepting,
  e2: Accepting,
};

/** Servers whose connections are lost at one moment, what probes of the servers find (else a refusal), and which servers have crashed. */
interface EvidenceCase {
  readonly name: string;
  readonly servers: readonly string[];
  readonly lost: readonly string[];
  readonly outcomes: Readonly<Record<string, ProbeOutcome>>;
  readonly crashed: readonly string[];
}

const CASES: readonly EvidenceCase[] = [
  {
    name: 'all servers refuse, connections to all of a service are lost',
    servers: [...COUNTERS, ...ENGINES],
    lost: COUNTERS,
    outcomes: {},
    crashed: [],
  },
  {
    name: 'all servers refuse, the connections to one are lost',
    servers: [...COUNTERS, ...ENGINES],
    lost: ['c1'],
    outcomes: {},
    crashed: [],
  },
  {
    name: 'one refuses, no other server answers',
    servers: COUNTERS,
    lost: ['c1'],
    outcomes: { c2: Unknown, c3: Unknown, c4: Unknown },
    crashed: [],
  },
  {
    name: 'one refuses, the others accept',
    servers: [...COUNTERS, ...ENGINES],
    lost: ['c1'],
    outcomes: { ...ALL_ACCEPT, c1: Gone },
    crashed: ['c1'],
  },
  {
    name: 'a rack refuses, one other server accepts',
    servers: COUNTERS,
    lost: ['c1', 'c2', 'c3'],
    outcomes: { c4: Accepting },
    crashed: ['c1', 'c2', 'c3'],
  },
  {
    name: 'one refuses, one does not answer, one accepts',
    servers: ['c1', 'c2', 'c3'],
    lost: ['c1'],
    outcomes: { c2: Unknown, c3: Accepting },
    crashed: ['c1'],
  },
  {
    name: 'all of its service refuse, servers of another service accept',
    servers: ['c1', 'c2', ...ENGINES],
    lost: ['c1', 'c2'],
    outcomes: { e1: Accepting, e2: Accepting },
    crashed: ['c1', 'c2'],
  },
  { name: 'the only server refuses', servers: ['c1'], lost: ['c1'], outcomes: {}, crashed: ['c1'] },
  {
    name: 'all accept',
    servers: COUNTERS,
    lost: ['c1', 'c2'],
    outcomes: ALL_ACCEPT,
    crashed: [],
  },
];

function createVm(servers: readonly string[]): TestVm {
  const entries = servers.map((id) => createTestEntry(id, id.startsWith('c') ? 'counter' : 'llm'));
  return createTestVm({}, entries);
}

function listReported({ state }: TestVm): string[] {
  return [...state.crashEvidence.crashes.values()].map(({ serverId }) => serverId).sort();
}

function listMarked({ state }: TestVm): string[] {
  return [...state.backends.values()]
    .filter(({ crashedUntilMs }) => crashedUntilMs > NOW_MS)
    .map(({ entry }) => entry.id)
    .sort();
}

describe('a VM that loses connections to servers', () => {
  it.each(CASES)('reports those that have crashed, and no others: $name', (row) => {
    const vm = createVm(row.servers);
    const requests = occupy(vm, row.lost);
    expect([...requests.keys()].sort()).toEqual(row.lost);
    const commands = [...requests].flatMap(([backendId, requestId]) =>
      loseConnection(vm, requestId, backendId),
    );
    answerProbes(vm, commands, row.outcomes, NOW_MS);
    expect(listReported(vm)).toEqual(row.crashed);
    expect(listMarked(vm)).toEqual(row.crashed);
    expect(vm.state.lostConnections.size).toBe(0);
  });

  it('reports a crash as soon as its probe and one of another server have ended', () => {
    const vm = createVm(COUNTERS);
    const requests = occupy(vm, ['c1']);
    const lost = loseConnection(vm, requests.get('c1')!, 'c1');
    const probes = findCommands(lost, EntryCommandKind.ProbeBackend);
    const kind = EntryEventKind.BackendProbed;
    probes.forEach(({ address, processKey }) => {
      const outcome = address.startsWith('c1') ? Gone : Accepting;
      vm.step({ kind, processKey, outcome }, NOW_MS + PROBE_MS);
    });
    expect(listReported(vm)).toEqual(['c1']);
  });

  it('reports the crash of the last server after those of the others', () => {
    const vm = createVm(['c1', 'c2']);
    const outcomes: Record<string, ProbeOutcome> = { c2: Accepting };
    const requests = occupy(vm, ['c1', 'c2']);
    answerProbes(vm, loseConnection(vm, requests.get('c1')!, 'c1'), outcomes, NOW_MS);
    outcomes.c2 = Gone;
    answerProbes(vm, loseConnection(vm, requests.get('c2')!, 'c2'), outcomes, NOW_MS);
    expect(listReported(vm)).toEqual(['c1', 'c2']);
  });
});
