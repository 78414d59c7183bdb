/**
 * Tests what becomes of a stream that its caller has received in part, and that the next server did not run: it waits
 * for a server for as long as its caller does, and it never ends with a rejection.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { CloseCause } from '../../src/coordination/entry/closeCause.js';
import {
  type AttemptFailure,
  type EntryEvent,
  EntryEventKind,
  StopStep,
} from '../../src/coordination/entry/events.js';
import { countWaitingRequests } from '../../src/coordination/entry/requests/forwarding.js';
import { ForwardPhase } from '../../src/coordination/entry/state.js';
import { RequestOutcome } from '../../src/coordination/events.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { QuarantineStatus } from '../../src/state/entry/crashEvidence.js';
import { RunState, RunStatus } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const ARRIVED_AT_MS = 10_000;
const LAST_EVENT_AT_MS = 12_000;
const SILENT_MS = 2_400;
const STALLED_AT_MS = LAST_EVENT_AT_MS + SILENT_MS;
const FAILED_AT_MS = STALLED_AT_MS + 20;
/** Four times the objective of the test routes. */
const CALLER_TIMEOUT_MS = 3_200;
const PARTS = ['a', 'b', 'own'];

const REJECTED: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.BackendRefused, 'x', 503),
  runState: RunState.Accepted,
  isRefusedByServer: true,
  isMisdirected: false,
};
const NOT_CONNECTED: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.ConnectFailed, 'x'),
  runState: RunState.NotSent,
  isRefusedByServer: false,
  isMisdirected: false,
};
const LOST: AttemptFailure = {
  ...NOT_CONNECTED,
  diagnostic: createDiagnostic(Diagnostics.AnswerTruncated, 'x'),
  runState: RunState.Streaming,
};
const NOT_RUN_CASES = [
  { name: 'the server rejects it', failure: REJECTED },
  { name: 'the server does not have the model', failure: { ...REJECTED, isMisdirected: true } },
  { name: 'the connect fails', failure: NOT_CONNECTED },
];

function fail(
  vm: TestVm,
  failure: AttemptFailure,
  nowMs = FAILED_AT_MS,
  isPlaceDoubtful = false,
): EntryCommand[] {
  const attempt = vm.state.requests.get('r')?.attempt ?? 0;
  return vm.step(
    {
      kind: EntryEventKind.AttemptFailed,
      requestId: 'r',
      attempt,
      failure,
      load: null,
      isAnswerBegun: true,
      lastEventAtMs: LAST_EVENT_AT_MS,
      isPlaceDoubtful,
    },
    nowMs,
  );
}

/** Starts a stream whose server falls silent after its first events, so that it is sent to the other server. */
function startMovedStream(deadlineMs = 15_000, path = '/draft/x'): TestVm {
  const vm = createTestVm();
  const request = createTestRequest('r', path, { deadlineMs, promptParts: PARTS });
  vm.receiveRequest(request, ARRIVED_AT_MS);
  const attempt = { requestId: 'r', attempt: 1 };
  vm.step({ kind: EntryEventKind.AnswerStarted, ...attempt, load: null }, ARRIVED_AT_MS + 300);
  const stalled = { ...attempt, silentMs: SILENT_MS, isAnswerBegun: true };
  vm.step({ kind: EntryEventKind.AttemptStalled, ...stalled }, STALLED_AT_MS);
  return vm;
}

/** Starts such a stream, which the other server then rejects. */
function startWaitingStream(deadlineMs = 15_000): TestVm {
  const vm = startMovedStream(deadlineMs);
  fail(vm, REJECTED);
  return vm;
}

function addServer(vm: TestVm, id: string, nowMs: number): EntryCommand[] {
  const kind = EntryEventKind.BackendsRead;
  const changes = [{ id, revision: 9, entry: createTestEntry(id, 'llm') }];
  return vm.step({ kind, isSnapshot: false, changes, revision: 9, source: 'test' }, nowMs);
}

function summarize(commands: readonly EntryCommand[]) {
  return {
    servers: findCommands(commands, EntryCommandKind.Dispatch).map(({ backendId }) => backendId),
    aborted: findCommands(commands, EntryCommandKind.AbortAnswer).map(({ refusal }) => refusal.run),
    rejected: findCommands(commands, EntryCommandKind.Refuse).length,
  };
}

const NOTHING = { servers: [], aborted: [], rejected: 0 };
const ABORTED = { ...NOTHING, aborted: [RunStatus.Unknown] };

describe('a stream that has begun and that the next server did not run', () => {
  it.each(NOT_RUN_CASES)('is not aborted while its caller waits: $name', ({ failure }) => {
    const vm = startMovedStream();
    expect(summarize(fail(vm, failure))).toEqual(NOTHING);
    const record = vm.state.requests.get('r');
    expect(record).toMatchObject({ phase: ForwardPhase.Waiting, runStatus: RunStatus.Unknown });
    expect([...countWaitingRequests(vm.state)]).toEqual([['llm m0', 1]]);
    expect(summarize(addServer(vm, 'e3', FAILED_AT_MS + 100)).servers).toEqual(['e3']);
  });

  it.each(NOT_RUN_CASES)('goes on at once at a third server: $name', ({ failure }) => {
    const vm = startMovedStream();
    addServer(vm, 'e3', STALLED_AT_MS);
    expect(summarize(fail(vm, failure))).toEqual({ ...NOTHING, servers: ['e3'] });
  });

  it('goes to the server that rejected it once that may have a place', () => {
    const vm = startMovedStream();
    const rejecting = vm.state.requests.get('r')!.backendId;
    fail(vm, REJECTED);
    const kind = EntryEventKind.MaintenanceTick;
    expect(summarize(vm.step({ kind }, FAILED_AT_MS + 300)).servers).toEqual([]);
    expect(summarize(vm.step({ kind }, FAILED_AT_MS + 500)).servers).toEqual([rejecting]);
  });

  it('waits without a server while the retry budget is empty', () => {
    const vm = startWaitingStream();
    vm.state.retryBudgets.get('llm')!.tokens = 0.5;
    expect(summarize(addServer(vm, 'e3', FAILED_AT_MS + 100))).toEqual(NOTHING);
    expect(vm.state.requests.get('r')?.phase).toBe(ForwardPhase.Waiting);
    vm.state.retryBudgets.get('llm')!.tokens = 1;
    const kind = EntryEventKind.MaintenanceTick;
    expect(summarize(vm.step({ kind }, FAILED_AT_MS + 200)).servers).toEqual(['e3']);
    expect(vm.state.retryBudgets.get('llm')!.tokens).toBe(0);
  });

  it('waits even if all other servers pause for longer', () => {
    const vm = startMovedStream();
    addServer(vm, 'e3', STALLED_AT_MS);
    vm.state.backends.get('e3')!.pausedUntilMs = STALLED_AT_MS + 60_000;
    expect(summarize(fail(vm, REJECTED))).toEqual(NOTHING);
    expect(vm.state.requests.get('r')?.phase).toBe(ForwardPhase.Waiting);
  });
});

const WAITS = [
  {
    name: 'since the last event',
    deadlineMs: 15_000,
    waitMs: LAST_EVENT_AT_MS + CALLER_TIMEOUT_MS - FAILED_AT_MS,
  },
  {
    name: 'but no longer than its deadline',
    deadlineMs: 4_700,
    waitMs: ARRIVED_AT_MS + 4_700 - FAILED_AT_MS,
  },
];

describe('the wait of a stream that has begun', () => {
  it.each(WAITS)('lasts as long as its caller waits, $name', ({ deadlineMs, waitMs }) => {
    const timers = findCommands(
      fail(startMovedStream(deadlineMs), REJECTED),
      EntryCommandKind.StartTimer,
    );
    const wait = timers.filter(({ event }) => event.kind === EntryEventKind.WaitTimedOut);
    expect(wait.map(({ delayMs }) => delayMs)).toEqual([waitMs]);
  });

  const requestId = 'r';
  const quarantine = {
    service: 'llm',
    causes: ['a', 'b'],
    episode: 1,
    status: QuarantineStatus.Held,
    firstCrashAtMs: 0,
    lastCrashAtMs: 9_000,
    crashCount: 3,
  };
  const ENDS: readonly {
    readonly name: string;
    readonly event: EntryEvent;
    readonly outcome: RequestOutcome;
  }[] = [
    {
      name: 'its end',
      event: { kind: EntryEventKind.WaitTimedOut, requestId },
      outcome: RequestOutcome.Broken,
    },
    {
      name: 'the deadline',
      event: { kind: EntryEventKind.RequestDeadlineReached, requestId },
      outcome: RequestOutcome.Broken,
    },
    {
      name: 'the end of a shutdown',
      event: { kind: EntryEventKind.StopStep, step: StopStep.AbortRequests },
      outcome: RequestOutcome.Broken,
    },
    {
      name: 'a quarantine',
      event: { kind: EntryEventKind.QuarantinesRead, quarantines: [quarantine], version: 7 },
      outcome: RequestOutcome.Broken,
    },
    {
      name: 'its caller, who leaves',
      event: {
        kind: EntryEventKind.CallerDisconnected,
        requestId,
        closedBy: CloseCause.Caller,
      },
      outcome: RequestOutcome.Abandoned,
    },
  ];

  it.each(ENDS)('ends with a visible break and without a refund by $name', ({ event, outcome }) => {
    const vm = startWaitingStream();
    const { levelTokens } = vm.state.buckets.get('mill')!;
    const commands = vm.step(event, FAILED_AT_MS);
    const isBroken = outcome === RequestOutcome.Broken;
    expect(summarize(commands)).toEqual(isBroken ? ABORTED : NOTHING);
    const records = findCommands(commands, EntryCommandKind.RecordRequest);
    expect(records.map(({ measure }) => measure.outcome)).toEqual([outcome]);
    expect(vm.state.requests.size).toBe(0);
    expect(vm.state.buckets.get('mill')!.levelTokens).toBe(levelTokens);
  });

  it('is not ended by the first steps of a shutdown', () => {
    const vm = startWaitingStream();
    [StopStep.Drain, StopStep.RejectUnsent].forEach((step) => {
      const commands = vm.step({ kind: EntryEventKind.StopStep, step }, FAILED_AT_MS);
      expect(summarize(commands)).toEqual(NOTHING);
    });
    expect(summarize(addServer(vm, 'e3', FAILED_AT_MS + 100)).servers).toEqual(['e3']);
  });
});

const RECALLED: AttemptFailure = {
  ...NOT_CONNECTED,
  diagnostic: createDiagnostic(Diagnostics.RequestRecalled, 'x'),
};

/** What shows that the server of an attempt is not to be used. */
const DEPARTURES: readonly {
  readonly name: string;
  readonly depart: (vm: TestVm, id: string) => EntryCommand[];
}[] = [
  {
    name: 'announces that it leaves',
    depart: (vm, id) => {
      const entry = { ...createTestEntry(id, 'llm'), isLeaving: true };
      return vm.readBackends([{ id, revision: 9, entry }], 9);
    },
  },
  { name: 'is gone', depart: (vm, id) => vm.readBackends([{ id, revision: 9, entry: null }], 9) },
  {
    name: 'asks for a pause',
    depart: (vm, backendId) =>
      vm.step(
        {
          kind: EntryEventKind.ServerStated,
          backendId,
          bornAtWallMs: createTestEntry(backendId, 'llm').bornAtWallMs,
          requestName: 'other',
          isLeaving: false,
          pauseMs: 5_000,
          isMalformed: false,
        },
        FAILED_AT_MS,
      ),
  },
];

describe('a stream that has begun and waits for a connection to the next server', () => {
  // Only requests whose answers had not begun were recalled, so it was sent to a server that had left.
  it.each(DEPARTURES)('goes on at a third server when that $name', ({ depart }) => {
    const vm = startMovedStream();
    const { attempt, backendId } = vm.state.requests.get('r')!;
    const recalled = findCommands(depart(vm, backendId!), EntryCommandKind.RecallAttempt);
    expect(recalled).toMatchObject([{ requestId: 'r', attempt }]);
    addServer(vm, 'e3', FAILED_AT_MS + 5);
    expect(summarize(fail(vm, RECALLED, FAILED_AT_MS + 10)).servers).toEqual(['e3']);
  });

  it('is not recalled once that server has answered', () => {
    const vm = startMovedStream();
    const { attempt, backendId } = vm.state.requests.get('r')!;
    const started = { requestId: 'r', attempt, load: null };
    vm.step({ kind: EntryEventKind.AnswerStarted, ...started }, FAILED_AT_MS);
    const commands = vm.readBackends([{ id: backendId!, revision: 9, entry: null }], 9);
    expect(findCommands(commands, EntryCommandKind.RecallAttempt)).toEqual([]);
  });
});

describe('a stream that has begun', () => {
  const SPENT = [
    { name: 'its attempts are spent', failures: [LOST] },
    { name: 'too many servers did not run it', failures: [REJECTED, REJECTED, REJECTED] },
  ];

  it.each(SPENT)('is aborted once $name', ({ failures }) => {
    const vm = startMovedStream();
    const last = failures.map((failure, index) => {
      const commands = fail(vm, failure, FAILED_AT_MS + index * 10);
      addServer(vm, `e${index + 3}`, FAILED_AT_MS + index * 10 + 5);
      return commands;
    });
    expect(summarize(last.at(-1)!)).toEqual(ABORTED);
    expect(vm.state.requests.size).toBe(0);
  });

  // Another server would begin anew, and its events without ids could not be told from those that the caller has.
  it.each([
    {
      name: 'its server breaks off',
      expected: ABORTED,
      end: (vm: TestVm) => fail(vm, LOST, ARRIVED_AT_MS + 400, true),
    },
    {
      name: 'its server falls silent',
      expected: NOTHING,
      end: (vm: TestVm) => {
        const stalled = { requestId: 'r', attempt: 1, silentMs: SILENT_MS, isAnswerBegun: true };
        const kind = EntryEventKind.AttemptStalled;
        return vm.step({ kind, ...stalled, isPlaceDoubtful: true }, STALLED_AT_MS);
      },
    },
  ])(
    'does not go on at another server after events without a number when $name',
    ({ end, expected }) => {
      const vm = createTestVm();
      vm.receiveRequest(createTestRequest('r', '/draft/x', { promptParts: PARTS }), ARRIVED_AT_MS);
      const started = { requestId: 'r', attempt: 1, load: null };
      vm.step({ kind: EntryEventKind.AnswerStarted, ...started }, ARRIVED_AT_MS + 300);
      expect(summarize(end(vm))).toEqual(expected);
    },
  );

  it('is aborted at once if it cannot be resumed', () => {
    const vm = startMovedStream(15_000, '/letter/x');
    expect(summarize(fail(vm, REJECTED))).toEqual(ABORTED);
  });
});
