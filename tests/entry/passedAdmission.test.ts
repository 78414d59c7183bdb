/**
 * Tests which requests a VM takes from other VMs, and what it does with them.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, type ForwardRequest } from '../../src/coordination/entry/events.js';
import type { PassedRequest } from '../../src/coordination/entry/passedRequest.js';
import { createServiceReach } from '../../src/state/entry/serviceReach.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState, RunStatus } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;
const SENDER = {
  vmId: 'vm-2',
  incarnation: 'b',
  failureDomain: 'fd-a',
  peerAddress: 'vm-2:1',
  processorShare: 1,
};
const PASS: PassedRequest = {
  vmId: 'vm-2',
  incarnation: 'b',
  configurationVersion: 1,
  service: 'counter',
  workspace: 'mill',
  streamVersion: null,
  possiblyRunIds: [],
  notRunIds: [],
};

function createVm(): TestVm {
  const entries = ['c1', 'c2', 'c3', 'c4'].map((id) => createTestEntry(id, 'counter'));
  const engines = ['e1', 'e2'].map((id, i) =>
    createTestEntry(id, 'llm', { softwareVersion: `v${i + 1}` }),
  );
  const vm = createTestVm({}, [...entries, ...engines]);
  vm.step({ kind: EntryEventKind.VmsRead, vms: [SENDER] }, 0);
  return vm;
}

function receive(
  vm: TestVm,
  path: string,
  pass: Partial<PassedRequest> = {},
  changes: Partial<ForwardRequest> = {},
) {
  const request = createTestRequest('p', path, { keyDigest: null, ...changes });
  const kind = EntryEventKind.PassedRequestArrived;
  return vm.step({ kind, request, pass: { ...PASS, ...pass }, delayMs: 0 }, NOW_MS);
}

const ADMISSIONS = [
  { name: 'a proper one', path: '/lookup/x', reason: null },
  { name: 'one that may run once', path: '/book/x', reason: null },
  { name: 'one of a route that needs no key', path: '/', pass: { workspace: null }, reason: null },
  {
    name: 'one of a VM that is not listed',
    path: '/lookup/x',
    pass: { vmId: 'vm-9' },
    reason: Diagnostics.UnknownPeer,
  },
  {
    name: 'one of an earlier process of the VM',
    path: '/lookup/x',
    pass: { incarnation: 'a' },
    reason: Diagnostics.UnknownPeer,
  },
  {
    name: 'one without a workspace although its route needs a key',
    path: '/lookup/x',
    pass: { workspace: null },
    reason: Diagnostics.UnknownKey,
  },
  {
    name: 'one with a workspace that does not exist',
    path: '/lookup/x',
    pass: { workspace: 'nobody' },
    reason: Diagnostics.UnknownKey,
  },
  {
    name: 'one for a service that is no target of its route',
    path: '/lookup/x',
    pass: { service: 'llm' },
    reason: Diagnostics.NoBackendServer,
  },
  {
    name: 'one of a VM with a later configuration',
    path: '/lookup/x',
    pass: { configurationVersion: 2 },
    reason: Diagnostics.NotConfigured,
  },
  { name: 'one without a route', path: 'x', reason: Diagnostics.UnknownRoute },
  {
    name: 'a stream of a version that no server has',
    path: '/draft/x',
    pass: { service: 'llm', streamVersion: 'v3' },
    reason: Diagnostics.StreamVersionGone,
  },
  {
    name: 'one that arrives while the VM stops',
    path: '/lookup/x',
    prepare: (vm: TestVm) => vm.step({ kind: EntryEventKind.StopRequested }, NOW_MS),
    reason: Diagnostics.Stopping,
  },
  {
    name: 'one for a service that this VM is cut off from too',
    path: '/lookup/x',
    prepare: (vm: TestVm) =>
      vm.state.reach.set('counter', { ...createServiceReach(), cutOffSinceMs: NOW_MS }),
    reason: Diagnostics.ServersUnreachable,
  },
];

describe('a VM to which another one passes a request', () => {
  it.each(ADMISSIONS)(
    'takes or rejects it as not run: $name',
    ({ pass, path, prepare, reason }) => {
      const vm = createVm();
      prepare?.(vm);
      const commands = receive(vm, path, pass);
      const refusals = findCommands(commands, EntryCommandKind.Refuse).map(({ refusal }) => ({
        code: refusal.diagnostic.code,
        run: refusal.run,
      }));
      expect(refusals).toEqual(
        reason === null ? [] : [{ code: reason.code, run: RunStatus.NotRun }],
      );
      expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(
        reason === null ? 1 : 0,
      );
    },
  );

  it('gives the server the workspace that the other VM names, and charges nothing', () => {
    const vm = createVm();
    const [dispatch] = findCommands(receive(vm, '/lookup/x'), EntryCommandKind.Dispatch);
    expect(dispatch?.workspace).toBe('mill');
    expect(vm.state.buckets.size).toBe(0);
  });

  it('uses no server that the other VM has tried', () => {
    const vm = createVm();
    const tried = { possiblyRunIds: ['c1'], notRunIds: ['c2', 'c3'] };
    const [dispatch] = findCommands(receive(vm, '/lookup/x', tried), EntryCommandKind.Dispatch);
    expect(dispatch?.backendId).toBe('c4');
  });

  it('goes on with a stream only at the version that the other VM names', () => {
    const vm = createVm();
    const pass = { service: 'llm', streamVersion: 'v2' };
    const commands = receive(vm, '/draft/x', pass, { lastEventId: '4' });
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toMatchObject([{ backendId: 'e2' }]);
  });

  it('records no origin of its stream, which the other VM does', () => {
    const vm = createVm();
    receive(vm, '/draft/x', { service: 'llm' });
    const kind = EntryEventKind.AnswerStarted;
    vm.step({ kind, requestId: 'p', attempt: 1, load: null }, NOW_MS + 50);
    expect(vm.state.streams.origins.byStream.size).toBe(0);
  });

  it('never passes it on, but rejects it as not run with the reason', () => {
    const vm = createVm();
    vm.step({ kind: EntryEventKind.VmsRead, vms: [SENDER, { ...SENDER, vmId: 'vm-3' }] }, 0);
    let commands = receive(vm, '/book/x');
    const all = [...commands];
    for (let attempt = 1; vm.state.requests.has('p'); attempt += 1) {
      const failure = {
        diagnostic: createDiagnostic(Diagnostics.ConnectFailed, 'x'),
        runState: RunState.NotSent,
        isRefusedByServer: false,
        isMisdirected: false,
      };
      const kind = EntryEventKind.AttemptFailed;
      const event = { kind, requestId: 'p', attempt, failure, load: null, isAnswerBegun: false };
      commands = vm.step(event, NOW_MS + attempt);
      all.push(...commands);
    }
    expect(findCommands(all, EntryCommandKind.Pass)).toEqual([]);
    const [refused] = findCommands(commands, EntryCommandKind.Refuse);
    expect(refused?.refusal.run).toBe(RunStatus.NotRun);
    expect(refused?.refusal.diagnostic.code).toBe(Diagnostics.ServersUnreachable.code);
  });
});
