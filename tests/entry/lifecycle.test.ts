/**
 * Tests the reload of settings and the steps of a graceful shutdown.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind, EntryLogPrefix } from '../../src/coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind, StopStep } from '../../src/coordination/entry/events.js';
import { ForwardPhase } from '../../src/coordination/entry/state.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState, RunStatus } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
} from './fixtures.js';

describe('a reload of the settings', () => {
  it('applies the new limits', () => {
    const vm = createTestVm();
    const policy = { ...vm.state.policy, retryRatio: 0.5 };
    vm.step({ kind: EntryEventKind.SettingsRead, policy });
    expect(vm.state.policy.retryRatio).toBe(0.5);
  });
});

describe('a graceful shutdown', () => {
  it('reports the VM as not ready at once and still serves requests', () => {
    const vm = createTestVm();
    const commands = vm.step({ kind: EntryEventKind.StopRequested });
    expect(findCommands(commands, EntryCommandKind.SetReady)).toEqual([
      { kind: EntryCommandKind.SetReady, isReady: false },
    ]);
    expect(getDispatch(vm.receiveRequest(createTestRequest('r', '/book/x'))).attempt).toBe(1);
  });

  it('refuses requests on open connections once the VM no longer accepts connections', () => {
    const vm = createTestVm();
    vm.step({ kind: EntryEventKind.StopRequested });
    vm.step({ kind: EntryEventKind.StopStep, step: StopStep.Drain }, 12_600);
    const commands = vm.receiveRequest(createTestRequest('r', '/book/x'), 12_700);
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardRefusalStatus(command!.refusal)).toBe(503);
    expect(command!.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  it('exits once the last request has ended', () => {
    const vm = createTestVm();
    const { attempt, requestId } = getDispatch(
      vm.receiveRequest(createTestRequest('r', '/draft/x')),
    );
    vm.step({ kind: EntryEventKind.StopRequested });
    const exit = { kind: EntryEventKind.StopStep, step: StopStep.Exit };
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(0);
    const kind = EntryEventKind.AnswerCompleted;
    vm.step({ kind, requestId, attempt, maxGapMs: 0, meanGapMs: 0 });
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(1);
  });

  it('tells its steps with their times, and once a second which requests it waits for', () => {
    const vm = createTestVm();
    const { backendId } = getDispatch(vm.receiveRequest(createTestRequest('r', '/draft/x'), 9_000));
    vm.step({ kind: EntryEventKind.StopRequested }, 10_000);
    const steps: readonly (readonly [StopStep, number])[] = [
      [StopStep.Drain, 12_600],
      [StopStep.Drain, 12_700],
      [StopStep.Drain, 13_600],
      [StopStep.RejectUnsent, 14_200],
      [StopStep.AbortRequests, 17_200],
      [StopStep.Exit, 17_300],
    ];
    const lines = steps.flatMap(([step, nowMs]) =>
      findCommands(vm.step({ kind: EntryEventKind.StopStep, step }, nowMs), EntryCommandKind.Log)
        .filter(({ part }) => part === EntryLogPrefix.Lifecycle)
        .map(({ fields, text }) => ({ text, ...fields })),
    );
    const getWaiting = (ageMs: number) => ({
      requests: 1,
      phases: 'dispatched=1',
      oldestRequests: `${createTestRequest('r', '/draft/x').callerRequestId} (dispatched, ${backendId}, ${ageMs} ms)`,
    });
    const none = { requests: 0, phases: '', oldestRequests: '' };
    expect(lines).toEqual([
      { text: 'The VM accepts no more connections.', stopMs: 2_600, ...getWaiting(3_600) },
      { text: 'The shutdown waits for requests.', stopMs: 2_600, ...getWaiting(3_600) },
      { text: 'The shutdown waits for requests.', stopMs: 3_600, ...getWaiting(4_600) },
      { text: 'The requests that no server has are rejected.', stopMs: 4_200, ...none },
      { text: 'The remaining requests are aborted.', stopMs: 7_200, ...getWaiting(8_200) },
      { text: 'The graceful shutdown has ended.', stopMs: 7_300, ...none },
    ]);
  });

  const EXIT_BOUND_MS = 0.92 * createTestVm().state.policy.stopGraceMs;

  it('has a timer for its end from the moment on at which it is requested', () => {
    const vm = createTestVm();
    const commands = vm.step({ kind: EntryEventKind.StopRequested }, 10_000);
    const event = { kind: EntryEventKind.StopStep, step: StopStep.Exit };
    expect(findCommands(commands, EntryCommandKind.StartTimer)).toContainEqual(
      expect.objectContaining({ delayMs: EXIT_BOUND_MS, event }),
    );
  });

  it.each<{ name: string; leftMs: number; isEnded: boolean }>([
    { name: 'before its bound', leftMs: 150, isEnded: false },
    { name: 'shortly before its bound', leftMs: 20, isEnded: false },
    { name: 'at its bound', leftMs: 0, isEnded: true },
    { name: 'late', leftMs: -500, isEnded: true },
  ])('ends by its bound although a request is left: $name', ({ isEnded, leftMs }) => {
    const vm = createTestVm();
    vm.receiveRequest(createTestRequest('r', '/draft/x'), 9_000);
    vm.step({ kind: EntryEventKind.StopRequested }, 10_000);
    const exit = { kind: EntryEventKind.StopStep, step: StopStep.Exit };
    const commands = vm.step(exit, 10_000 + EXIT_BOUND_MS - leftMs);
    expect(findCommands(commands, EntryCommandKind.Exit)).toHaveLength(Number(isEnded));
    const delaysMs = findCommands(commands, EntryCommandKind.StartTimer).map(
      ({ delayMs }) => delayMs,
    );
    expect(delaysMs).toEqual(isEnded ? [] : [Math.min(100, leftMs)]);
  });

  it('does not check for its end after its bound', () => {
    const vm = createTestVm();
    vm.step({ kind: EntryEventKind.StopRequested }, 10_000);
    const drain = { kind: EntryEventKind.StopStep, step: StopStep.Drain };
    const commands = vm.step(drain, 10_000 + EXIT_BOUND_MS - 20);
    const [timer] = findCommands(commands, EntryCommandKind.StartTimer);
    expect(timer).toMatchObject({ delayMs: 20, event: { step: StopStep.Exit } });
  });

  it('refuses an aborted request with the status for requests that may have run', () => {
    const vm = createTestVm();
    vm.receiveRequest(createTestRequest('r', '/book/x'));
    vm.step({ kind: EntryEventKind.StopRequested });
    const commands = vm.step({ kind: EntryEventKind.StopStep, step: StopStep.AbortRequests });
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardRefusalStatus(command!.refusal)).toBe(502);
  });

  const STOPPED_AT_MS = 10_000;
  const REJECTED_AT_MS = STOPPED_AT_MS + 4_200;

  /** What becomes of a request in each phase when it is too late to send it: it waits no longer, or runs on. */
  const LATE_PHASES: Readonly<Record<ForwardPhase, boolean>> = {
    [ForwardPhase.Charging]: true,
    [ForwardPhase.Recalling]: true,
    [ForwardPhase.Waiting]: true,
    [ForwardPhase.Dispatched]: false,
    [ForwardPhase.Verifying]: false,
  };

  it.each(Object.entries(LATE_PHASES))(
    'rejects late in the grace only requests that no server has, as not run: %s',
    (phase, isRejected) => {
      const vm = createTestVm();
      vm.receiveRequest(createTestRequest('r', '/letter/x'));
      vm.state.requests.get('r')!.phase = phase as ForwardPhase;
      vm.step({ kind: EntryEventKind.StopRequested }, STOPPED_AT_MS);
      const step = { kind: EntryEventKind.StopStep, step: StopStep.RejectUnsent } as const;
      const refusals = findCommands(vm.step(step, REJECTED_AT_MS), EntryCommandKind.Refuse);
      expect(refusals.map(({ refusal }) => getForwardRefusalStatus(refusal))).toEqual(
        isRejected ? [503] : [],
      );
      expect(refusals.every(({ refusal }) => refusal.run === RunStatus.NotRun)).toBe(true);
      expect(vm.state.requests.has('r')).toBe(!isRejected);
    },
  );

  const LATE_EVENTS: readonly { readonly name: string; readonly event: EntryEvent }[] = [
    {
      name: 'a model was loaded',
      event: {
        kind: EntryEventKind.BackendsRead,
        isSnapshot: false,
        changes: [
          {
            id: 'e1',
            revision: 9,
            entry: createTestEntry('e1', 'llm', {
              models: [{ name: 'm4', version: 1, adapters: [] }],
            }),
          },
        ],
        revision: 9,
        source: 'test',
      },
    },
    { name: 'its periodic tasks are due', event: { kind: EntryEventKind.MaintenanceTick } },
  ];

  it.each(LATE_EVENTS)('sends no request late in the grace, when $name', ({ event }) => {
    const vm = createTestVm();
    vm.receiveRequest(createTestRequest('r', '/letter/x', { model: 'm4' }));
    vm.step({ kind: EntryEventKind.StopRequested }, STOPPED_AT_MS);
    const commands = vm.step(event, REJECTED_AT_MS);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toEqual([]);
  });

  it('does not send a request again late in the grace that a server has rejected', () => {
    const vm = createTestVm();
    const { attempt, backendId } = getDispatch(
      vm.receiveRequest(createTestRequest('r', '/book/x')),
    );
    vm.step({ kind: EntryEventKind.StopRequested }, STOPPED_AT_MS);
    const failure = {
      diagnostic: createDiagnostic(Diagnostics.BackendRefused, backendId, 503),
      runState: RunState.Accepted,
      isRefusedByServer: true,
      isMisdirected: false,
    };
    const kind = EntryEventKind.AttemptFailed;
    const commands = vm.step(
      { kind, requestId: 'r', attempt, failure, load: null, isAnswerBegun: false },
      REJECTED_AT_MS,
    );
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toEqual([]);
    const [refuse] = findCommands(commands, EntryCommandKind.Refuse);
    expect(refuse?.refusal.run).toBe(RunStatus.NotRun);
  });
});
