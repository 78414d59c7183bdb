/**
 * Tests when a VM passes requests to other VMs, to which ones, and what follows from how they end them.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, ProbeOutcome } from '../../src/coordination/entry/events.js';
import type { PassedEnd } from '../../src/coordination/entry/passedRequest.js';
import type { ListedEntryVm } from '../../src/coordination/entry/peerMessage.js';
import {
  createDiagnostic,
  type DiagnosticMessage,
  Diagnostics,
} from '../../src/state/diagnostics.js';
import { RunState, RunStatus } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4'].map((id) => createTestEntry(id, 'llm'));
/** The only engine that has the model `m2`. */
const RARE_MODEL_ENGINE = createTestEntry('e5', 'llm', {
  models: [{ name: 'm2', version: 1, adapters: [] }],
});
const COUNTERS = ['c1', 'c2', 'c3', 'c4'].map((id) => createTestEntry(id, 'counter'));
const CUT_AT_MS = 10_000;

function createListed(vmId: string, changes: Partial<ListedEntryVm> = {}): ListedEntryVm {
  const place = { failureDomain: 'fd-a', peerAddress: `${vmId}:1` };
  return { vmId, incarnation: 'a', processorShare: 1, ...place, ...changes };
}

const SELF = createListed('vm-1');
const NEAR = createListed('vm-2');
const FAR = createListed('vm-3', { failureDomain: 'fd-b' });

function createVm(vms: readonly ListedEntryVm[] = [SELF, NEAR, FAR]): TestVm {
  const vm = createTestVm({}, [...ENGINES, RARE_MODEL_ENGINE, ...COUNTERS]);
  vm.step({ kind: EntryEventKind.VmsRead, vms }, 0);
  return vm;
}

function fail(
  vm: TestVm,
  requestId: string,
  attempt: number,
  message: DiagnosticMessage,
  changes: {
    readonly runState?: RunState;
    readonly end?: PassedEnd;
    readonly isAnswerBegun?: boolean;
  } = {},
  nowMs = CUT_AT_MS,
): EntryCommand[] {
  const { end = null, isAnswerBegun = false, runState = RunState.NotSent } = changes;
  const failure = {
    diagnostic: createDiagnostic(message, 'x'),
    runState,
    isRefusedByServer: end?.run === RunStatus.NotRun,
    isMisdirected: false,
  };
  const kind = EntryEventKind.AttemptFailed;
  const event = { kind, requestId, attempt, failure, load: null, passedEnd: end, isAnswerBegun };
  return vm.step(event, nowMs);
}

/** Sends requests to a path whose attempts cannot connect, until the VM is cut off from the path's service. */
function cutOff(vm: TestVm, path: string, nowMs = CUT_AT_MS): void {
  const isCutOff = (): boolean =>
    [...vm.state.reach.values()].some(({ cutOffSinceMs }) => cutOffSinceMs !== null);
  for (let i = 0; i < 20 && !isCutOff(); i += 1) {
    const requestId = `lost-${i}`;
    vm.receiveRequest(createTestRequest(requestId, path), nowMs);
    for (let attempt = 1; vm.state.requests.get(requestId)?.backendId; attempt += 1) {
      fail(vm, requestId, attempt, Diagnostics.ConnectFailed, {}, nowMs);
    }
  }
}

function listPasses(commands: readonly EntryCommand[]): string[] {
  return findCommands(commands, EntryCommandKind.Pass).map(({ vmId }) => vmId);
}

function createEnd(
  entry: DiagnosticMessage,
  run: RunStatus = RunStatus.NotRun,
  retryAfterMs: number | null = null,
): PassedEnd {
  const { code, message } = createDiagnostic(entry, 'x');
  return { run, code, message, retryAfterMs };
}

describe('a VM that reaches its servers', () => {
  it.each([
    { name: 'no attempt has failed', failures: 0 },
    { name: 'one server of four cannot be connected to', failures: 1 },
  ])('passes no request and sends no probe: $name', ({ failures }) => {
    const vm = createVm();
    const sent = vm.receiveRequest(createTestRequest('answered', '/lookup/x'), CUT_AT_MS - 100);
    const started = {
      kind: EntryEventKind.AnswerStarted,
      requestId: 'answered',
      attempt: 1,
      load: null,
    };
    vm.step(started, CUT_AT_MS - 50);
    const commands = [
      ...sent,
      ...vm.receiveRequest(createTestRequest('r', '/lookup/x'), CUT_AT_MS),
      ...(failures > 0 ? fail(vm, 'r', 1, Diagnostics.ConnectFailed) : []),
    ];
    expect(listPasses(commands)).toEqual([]);
    expect(findCommands(commands, EntryCommandKind.ProbeBackend)).toEqual([]);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(2 + failures);
  });
});

describe('a VM that is cut off from a service', () => {
  it.each([
    { name: 'whole answers', path: '/lookup/x' },
    { name: 'requests that may run once', path: '/book/x' },
    { name: 'streams that may be resumed', path: '/draft/x' },
    { name: 'streams that may not', path: '/letter/x' },
  ])('passes requests to another VM at once: $name', ({ path }) => {
    const vm = createVm();
    cutOff(vm, path);
    const commands = vm.receiveRequest(createTestRequest('r', path), CUT_AT_MS + 1);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toEqual([]);
    expect(findCommands(commands, EntryCommandKind.Pass)).toMatchObject([
      {
        vmId: 'vm-2',
        address: 'vm-2:1',
        attempt: 1,
        pass: { vmId: 'vm-1', incarnation: 'a', workspace: 'mill' },
      },
    ]);
  });

  it('goes on sending the requests of other services itself', () => {
    const vm = createVm();
    cutOff(vm, '/lookup/x');
    const commands = vm.receiveRequest(createTestRequest('r', '/draft/x'), CUT_AT_MS + 1);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(1);
  });

  it.each([
    { name: 'one of its failure domain goes first', vms: [SELF, FAR, NEAR], requests: 10, far: 0 },
    {
      name: 'others take part once that one has many',
      vms: [SELF, FAR, NEAR],
      requests: 60,
      far: 25,
    },
    {
      name: 'one with more processor time takes more',
      vms: [SELF, { ...NEAR, failureDomain: 'fd-c' }, { ...FAR, processorShare: 3 }],
      requests: 40,
      far: 30,
    },
    {
      name: 'one has no more requests than connections while another has fewer',
      vms: [SELF, { ...NEAR, processorShare: 8 }, { ...FAR, processorShare: 8 }],
      // Three more are those that have shown the cut.
      requests: 74,
      far: 74 + 3 - 64,
    },
  ])('chooses among the VMs: $name', ({ far, requests, vms }) => {
    const vm = createVm(vms);
    cutOff(vm, '/lookup/x');
    const passed = Array.from({ length: requests }, (_, i) =>
      listPasses(
        vm.receiveRequest(
          createTestRequest(`r${i}`, '/lookup/x', { promptTokens: 1, maxOutputTokens: 1 }),
          CUT_AT_MS + 1,
        ),
      ),
    ).flat();
    expect(passed).toHaveLength(requests);
    expect(Math.abs(passed.filter((vmId) => vmId === 'vm-3').length - far)).toBeLessThanOrEqual(1);
  });

  it.each([
    {
      name: 'its server does not answer',
      path: '/book/x',
      connectMs: [700],
      servers: 1,
    },
    {
      name: 'two servers refuse at once',
      path: '/book/x',
      connectMs: [0, 0],
      servers: 2,
    },
    {
      name: 'the first refuses at once, the second does not answer',
      path: '/draft/x',
      connectMs: [0, 700],
      servers: 2,
    },
    {
      name: 'the only one that has its model refuses at once',
      path: '/draft/x',
      model: 'm2',
      connectMs: [0],
      servers: 1,
    },
  ])(
    'passes a request that could not connect, and charges it once: $name',
    ({ connectMs, model = 'm0', path, servers }) => {
      const vm = createVm();
      const commands = vm.receiveRequest(createTestRequest('r', path, { model }), CUT_AT_MS);
      const { levelTokens } = vm.state.buckets.get('mill')!;
      connectMs.forEach((durationMs, i) =>
        commands.push(
          ...fail(vm, 'r', i + 1, Diagnostics.ConnectFailed, {}, CUT_AT_MS + durationMs),
        ),
      );
      const tried = findCommands(commands, EntryCommandKind.Dispatch);
      expect(new Set(tried.map(({ backendId }) => backendId)).size).toBe(servers);
      expect(tried).toHaveLength(servers);
      expect(listPasses(commands)).toEqual(['vm-2']);
      expect(vm.state.buckets.get('mill')!.levelTokens).toBe(levelTokens);
    },
  );

  it.each([
    {
      name: 'no server answers, probes are not answered',
      answers: false,
      outcome: ProbeOutcome.Unknown,
      passes: 1,
      probes: 3,
    },
    {
      name: 'no server answers, probes are refused',
      answers: false,
      outcome: ProbeOutcome.Gone,
      passes: 1,
      probes: 3,
    },
    {
      name: 'no server answers, connections are accepted',
      answers: false,
      outcome: ProbeOutcome.Accepting,
      passes: 0,
      probes: 3,
    },
    {
      name: 'others are answered',
      answers: true,
      outcome: ProbeOutcome.Unknown,
      passes: 0,
      probes: 0,
    },
  ])(
    'learns that it is cut off although its kept connections hang: $name',
    ({ answers, outcome, passes, probes }) => {
      const vm = createVm();
      vm.receiveRequest(createTestRequest('hung', '/book/x'), CUT_AT_MS);
      const sent: EntryCommand[] = [];
      for (let afterMs = 100; afterMs <= 2_400; afterMs += 100) {
        const nowMs = CUT_AT_MS + afterMs;
        if (answers) {
          const requestId = `sound-${afterMs}`;
          vm.receiveRequest(createTestRequest(requestId, '/book/x', { promptTokens: 1 }), nowMs);
          const kind = EntryEventKind.AnswerReady;
          vm.step({ kind, requestId, attempt: 1, status: 200, load: null }, nowMs);
        }
        const commands = vm.step({ kind: EntryEventKind.MaintenanceTick }, nowMs);
        findCommands(commands, EntryCommandKind.ProbeBackend).forEach(({ processKey }) =>
          vm.step({ kind: EntryEventKind.BackendProbed, processKey, outcome }, nowMs),
        );
        sent.push(...findCommands(commands, EntryCommandKind.ProbeBackend));
      }
      expect(sent).toHaveLength(probes);
      const request = createTestRequest('r', '/book/x', { promptTokens: 1 });
      expect(listPasses(vm.receiveRequest(request, CUT_AT_MS + 2_500))).toHaveLength(passes);
    },
  );

  it('passes nothing once its stop is too near for an answer', () => {
    const vm = createVm();
    cutOff(vm, '/lookup/x');
    vm.step({ kind: EntryEventKind.StopRequested }, CUT_AT_MS);
    const early = vm.receiveRequest(createTestRequest('r', '/lookup/x'), CUT_AT_MS + 100);
    const late = vm.receiveRequest(createTestRequest('s', '/lookup/x'), CUT_AT_MS + 5_000);
    expect(listPasses(early)).toHaveLength(1);
    expect(listPasses(late)).toEqual([]);
  });

  it('sends requests itself again once two servers in a row accept connections', () => {
    const vm = createVm();
    cutOff(vm, '/lookup/x');
    const kind = EntryEventKind.ReachTick;
    const outcomes = [
      ProbeOutcome.Accepting,
      ProbeOutcome.Unknown,
      ProbeOutcome.Accepting,
      ProbeOutcome.Accepting,
    ];
    const cutOffAfter = outcomes.map((outcome, i) => {
      const [probe] = findCommands(
        vm.step({ kind, service: 'counter' }, CUT_AT_MS + 400 * (i + 1)),
        EntryCommandKind.ProbeBackend,
      );
      const { processKey } = probe!;
      vm.step(
        { kind: EntryEventKind.BackendProbed, processKey, outcome },
        CUT_AT_MS + 400 * (i + 1) + 5,
      );
      return vm.state.reach.get('counter')!.cutOffSinceMs !== null;
    });
    expect(cutOffAfter).toEqual([true, true, true, false]);
    const commands = vm.receiveRequest(createTestRequest('r', '/lookup/x'), CUT_AT_MS + 2_000);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(1);
    expect(vm.step({ kind, service: 'counter' }, CUT_AT_MS + 2_100)).toEqual([]);
  });
});

/** What follows once the first VM that a request was passed to has ended it. */
const NEXT = { Passed: 'passed', Refused: 'refused', Nothing: 'nothing' } as const;

const ENDS = [
  {
    reason: Diagnostics.ServersUnreachable,
    run: RunStatus.NotRun,
    path: '/book/x',
    next: NEXT.Passed,
  },
  { reason: Diagnostics.Stopping, run: RunStatus.NotRun, path: '/book/x', next: NEXT.Passed },
  { reason: Diagnostics.NotConfigured, run: RunStatus.NotRun, path: '/book/x', next: NEXT.Passed },
  { reason: Diagnostics.UnknownPeer, run: RunStatus.NotRun, path: '/book/x', next: NEXT.Passed },
  {
    reason: Diagnostics.PassingUnsupported,
    run: RunStatus.NotRun,
    path: '/book/x',
    next: NEXT.Passed,
  },
  {
    reason: Diagnostics.MemoryExhausted,
    run: RunStatus.NotRun,
    path: '/book/x',
    next: NEXT.Passed,
  },
  {
    reason: Diagnostics.StreamVersionGone,
    run: RunStatus.NotRun,
    path: '/draft/x',
    next: NEXT.Passed,
  },
  { reason: Diagnostics.Overloaded, run: RunStatus.NotRun, path: '/book/x', next: NEXT.Refused },
  {
    reason: Diagnostics.NoBackendServer,
    run: RunStatus.NotRun,
    path: '/draft/x',
    next: NEXT.Refused,
  },
  {
    reason: Diagnostics.RequestQuarantined,
    run: RunStatus.NotRun,
    path: '/draft/x',
    next: NEXT.Refused,
  },
  { reason: Diagnostics.AnswerLost, run: RunStatus.Unknown, path: '/book/x', next: NEXT.Refused },
  {
    reason: Diagnostics.DeadlineExceeded,
    run: RunStatus.Unknown,
    path: '/lookup/x',
    next: NEXT.Refused,
  },
  { reason: Diagnostics.Stopping, run: RunStatus.Unknown, path: '/lookup/x', next: NEXT.Passed },
  { reason: Diagnostics.Stopping, run: RunStatus.Unknown, path: '/book/x', next: NEXT.Refused },
];

describe('a request that another VM ends', () => {
  it.each(ENDS.map((row) => ({ ...row, name: `${row.reason.key}, ${row.run}, ${row.path}` })))(
    'goes on as its reason and what has run allow: $name',
    ({ next, path, reason, run }) => {
      const vm = createVm();
      cutOff(vm, path);
      vm.receiveRequest(createTestRequest('r', path), CUT_AT_MS + 1);
      const end = createEnd(reason, run, 900);
      const commands = fail(vm, 'r', 1, Diagnostics.BackendRefused, {
        end,
        runState: RunState.Accepted,
      });
      const refusals = findCommands(commands, EntryCommandKind.Refuse);
      expect(listPasses(commands)).toEqual(next === NEXT.Passed ? ['vm-3'] : []);
      expect(refusals).toHaveLength(next === NEXT.Refused ? 1 : 0);
      if (next === NEXT.Refused) {
        expect(refusals[0]!.refusal).toMatchObject({ run, diagnostic: { code: reason.code } });
      }
    },
  );

  it.each([
    { name: 'may run once', path: '/book/x', passes: [] },
    { name: 'may run again', path: '/lookup/x', passes: ['vm-3'] },
  ])('is not run twice when that VM is lost: $name', ({ passes, path }) => {
    const vm = createVm();
    cutOff(vm, path);
    vm.receiveRequest(createTestRequest('r', path), CUT_AT_MS + 1);
    const commands = fail(vm, 'r', 1, Diagnostics.AnswerLost, { runState: RunState.MaybeSent });
    expect(listPasses(commands)).toEqual(passes);
    const refused = findCommands(commands, EntryCommandKind.Refuse).map(
      ({ refusal }) => refusal.run,
    );
    expect(refused).toEqual(passes.length === 0 ? [RunStatus.Unknown] : []);
  });

  it('is passed to a VM that has brought answers before one of which that is not known', () => {
    const vm = createVm([SELF, NEAR, createListed('vm-4'), createListed('vm-5')]);
    cutOff(vm, '/lookup/x');
    const passedTo = Array.from({ length: 5 }, (_, i) => {
      const requestId = `r${i}`;
      const request = createTestRequest(requestId, '/lookup/x');
      const [vmId = ''] = listPasses(vm.receiveRequest(request, CUT_AT_MS + i));
      const kind = EntryEventKind.AnswerReady;
      vm.step({ kind, requestId, attempt: 1, status: 200, load: null }, CUT_AT_MS + i);
      return vmId;
    });
    expect(new Set(passedTo).size).toBe(1);
  });

  it.each([
    { reason: Diagnostics.StreamVersionGone, next: 'vm-2' },
    { reason: Diagnostics.Stopping, next: 'vm-3' },
  ])('keeps others from that VM unless it lacks one version: $reason.key', ({ next, reason }) => {
    const vm = createVm();
    cutOff(vm, '/draft/x');
    vm.receiveRequest(createTestRequest('r', '/draft/x'), CUT_AT_MS + 1);
    const changes = { end: createEnd(reason), runState: RunState.Accepted };
    fail(vm, 'r', 1, Diagnostics.BackendRefused, changes, CUT_AT_MS + 2);
    const later = vm.receiveRequest(createTestRequest('s', '/draft/x'), CUT_AT_MS + 3);
    expect(listPasses(later)).toEqual([next]);
  });

  it.each([
    { name: 'a server has answered', reason: null, isReleased: true },
    { name: 'it has no room', reason: Diagnostics.Overloaded, isReleased: true },
    { name: 'it reaches none either', reason: Diagnostics.ServersUnreachable, isReleased: false },
    { name: 'it stops', reason: Diagnostics.Stopping, isReleased: false },
  ])('ends the term of the controller only if that VM reaches engines: $name', (row) => {
    const vm = createVm();
    const leased = { kind: EntryEventKind.ControllerLeaseAnswered, fence: 40, isLost: false };
    vm.step({ ...leased, sentAtMs: CUT_AT_MS }, CUT_AT_MS);
    cutOff(vm, '/draft/x');
    vm.receiveRequest(createTestRequest('r', '/draft/x'), CUT_AT_MS + 1);
    if (row.reason === null) {
      const kind = EntryEventKind.AnswerStarted;
      vm.step({ kind, requestId: 'r', attempt: 1, load: null }, CUT_AT_MS + 50);
    } else {
      const changes = { end: createEnd(row.reason), runState: RunState.Accepted };
      fail(vm, 'r', 1, Diagnostics.BackendRefused, changes, CUT_AT_MS + 50);
    }
    const commands = vm.step({ kind: EntryEventKind.ControllerTick }, CUT_AT_MS + 200);
    const released = findCommands(commands, EntryCommandKind.ReleaseControllerLease);
    expect(released).toHaveLength(row.isReleased ? 1 : 0);
  });

  it('goes on with a begun stream at another VM, at the version that began it', () => {
    const vm = createVm();
    cutOff(vm, '/draft/x');
    vm.receiveRequest(createTestRequest('r', '/draft/x'), CUT_AT_MS + 1);
    const source = { backendId: 'e1', bornAtWallMs: 1, softwareVersion: 'v7' };
    const kind = EntryEventKind.AnswerStarted;
    vm.step({ kind, requestId: 'r', attempt: 1, load: null, source }, CUT_AT_MS + 50);
    const commands = fail(
      ...[vm, 'r', 1, Diagnostics.AnswerTruncated],
      { runState: RunState.Streaming, isAnswerBegun: true },
      CUT_AT_MS + 100,
    );
    expect(findCommands(commands, EntryCommandKind.Pass)).toMatchObject([
      { vmId: 'vm-3', pass: { streamVersion: 'v7' } },
    ]);
  });

  it.each([
    { name: 'all of four', others: 4, passes: 4, laterPasses: 0 },
    { name: 'five of seven', others: 7, passes: 5, laterPasses: 1 },
  ])(
    'is rejected as not run once the VMs that were asked reach no server: $name',
    ({ laterPasses, others, passes }) => {
      const listed = Array.from({ length: others }, (_, i) => createListed(`vm-${i + 2}`));
      const vm = createVm([SELF, ...listed]);
      cutOff(vm, '/lookup/x');
      vm.receiveRequest(createTestRequest('r', '/lookup/x'), CUT_AT_MS + 1);
      const end = createEnd(Diagnostics.ServersUnreachable);
      const ended = Array.from({ length: passes }, (_, i) =>
        fail(vm, 'r', i + 1, Diagnostics.BackendRefused, { end, runState: RunState.Accepted }),
      );
      expect(ended.flatMap(listPasses)).toHaveLength(passes - 1);
      const [refusal] = findCommands(ended.at(-1)!, EntryCommandKind.Refuse);
      expect(refusal?.refusal.run).toBe(RunStatus.NotRun);
      const later = vm.receiveRequest(createTestRequest('s', '/lookup/x'), CUT_AT_MS + 500);
      expect(findCommands(later, EntryCommandKind.Refuse)).toHaveLength(1 - laterPasses);
      expect(listPasses(later)).toHaveLength(laterPasses);
    },
  );
});
