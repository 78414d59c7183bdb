/**
 * What a request may become after a dispatch has failed, and what its refusal says of it.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type AttemptFailure, EntryEventKind } from '../../src/coordination/entry/events.js';
import { getForwardStatus } from '../../src/protocol/entry/refusals.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

const LOST: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.AnswerLost, 'x'),
  runState: RunState.MaybeSent,
  isRefusedByServer: false,
  isMisdirected: false,
};
const NOT_SENT = { ...LOST, runState: RunState.NotSent };
const REFUSED = { ...LOST, runState: RunState.Accepted, isRefusedByServer: true };

function fail(vm: TestVm, requestId: string, failure: AttemptFailure, isAnswerBegun = false) {
  const attempt = vm.state.requests.get(requestId)?.attempt ?? 0;
  const kind = EntryEventKind.AttemptFailed;
  return vm.step({ kind, requestId, attempt, failure, load: null, isAnswerBegun });
}

const CASES = [
  { name: 'idempotent, lost', path: '/lookup/x', failure: LOST, isRepeated: true, status: 0 },
  { name: 'at most once, lost', path: '/book/x', failure: LOST, isRepeated: false, status: 502 },
  {
    name: 'at most once, not sent',
    path: '/book/x',
    failure: NOT_SENT,
    isRepeated: true,
    status: 0,
  },
  { name: 'at most once, refused', path: '/book/x', failure: REFUSED, isRepeated: true, status: 0 },
  { name: 'resumable stream, lost', path: '/draft/x', failure: LOST, isRepeated: true, status: 0 },
  { name: 'other stream, lost', path: '/letter/x', failure: LOST, isRepeated: false, status: 502 },
  {
    name: 'other stream, refused',
    path: '/letter/x',
    failure: REFUSED,
    isRepeated: true,
    status: 0,
  },
];

describe('a failed dispatch', () => {
  it.each(CASES)(
    'is repeated only if that is safe: $name',
    ({ failure, isRepeated, path, status }) => {
      const vm = createTestVm();
      const first = getDispatch(vm.arrive(createTestRequest('r', path)));
      const commands = fail(vm, 'r', failure);
      const repeats = findCommands(commands, EntryCommandKind.Dispatch);
      const [refusal] = findCommands(commands, EntryCommandKind.Refuse);
      expect(repeats).toHaveLength(isRepeated ? 1 : 0);
      expect(repeats[0]?.backendId).not.toBe(first.backendId);
      expect(refusal === undefined ? 0 : getForwardStatus(refusal.refusal)).toBe(status);
    },
  );

  it.each(CASES)('is not repeated by a second failure that may have run: $name', ({ path }) => {
    const vm = createTestVm();
    vm.arrive(createTestRequest('r', path));
    fail(vm, 'r', LOST);
    const commands = fail(vm, 'r', LOST);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(0);
    expect(vm.state.requests.size).toBe(0);
  });

  it('in the middle of a stream goes on elsewhere only if the stream may be resumed', () => {
    const outcomes = ['/draft/x', '/letter/x'].map((path) => {
      const vm = createTestVm();
      vm.arrive(createTestRequest('r', path));
      return fail(vm, 'r', LOST, true).map(({ kind }) => kind);
    });
    expect(outcomes[0]).toContain(EntryCommandKind.Dispatch);
    expect(outcomes[1]).toContain(EntryCommandKind.AbortAnswer);
    expect(outcomes[1]).not.toContain(EntryCommandKind.Dispatch);
  });

  it('that every server refused ends with a true "not run" and a time to come back', () => {
    const vm = createTestVm();
    vm.arrive(createTestRequest('r', '/book/x'));
    fail(vm, 'r', REFUSED);
    const [command] = findCommands(fail(vm, 'r', REFUSED), EntryCommandKind.Refuse);
    expect(getForwardStatus(command!.refusal)).toBe(503);
    expect(command!.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  const REFUSALS = [
    { name: 'and goes back once the engine may have it', isBudgetLeft: true, dispatches: 1 },
    { name: 'and stays without a retry left', isBudgetLeft: false, dispatches: 0 },
  ];

  it.each(REFUSALS)('that an engine refused waits for its model, $name', (example) => {
    const { dispatches, isBudgetLeft } = example;
    const vm = createTestVm();
    vm.arrive(createTestRequest('r', '/letter/x'));
    fail(vm, 'r', REFUSED);
    vm.state.retryBudgets.set('llm', { tokens: isBudgetLeft ? 5 : 0 });
    const second = fail(vm, 'r', REFUSED);
    const early = vm.step({ kind: EntryEventKind.Tick }, 10_200);
    const late = vm.step({ kind: EntryEventKind.Tick }, 10_600);
    const counts = [second, early, late].map(
      (commands) => findCommands(commands, EntryCommandKind.Dispatch).length,
    );
    expect(counts).toEqual([0, 0, dispatches]);
    const due = vm.step({ kind: EntryEventKind.WaitDue, requestId: 'r' }, 12_000);
    const [refusal] = findCommands(due, EntryCommandKind.Refuse);
    expect(refusal === undefined ? 0 : getForwardStatus(refusal.refusal)).toBe(
      isBudgetLeft ? 0 : 503,
    );
  });

  it('draws on a budget that many failures use up', () => {
    const vm = createTestVm();
    const repeats = Array.from({ length: 200 }, (_, i) => {
      vm.arrive(createTestRequest(`r${i}`, '/lookup/x', { keyDigest: 'digest' }));
      const commands = fail(vm, `r${i}`, LOST);
      return findCommands(commands, EntryCommandKind.Dispatch).length;
    }).reduce((sum, count) => sum + count, 0);
    const allowed = 200 * 0.2 + 58;
    expect(repeats).toBeLessThanOrEqual(allowed);
    expect(repeats).toBeGreaterThan(0);
  });
});

const SILENCE_CASES = [
  { name: 'idempotent', path: '/lookup/x', isMoved: true },
  { name: 'at most once', path: '/book/x', isMoved: false },
  { name: 'resumable stream', path: '/draft/x', isMoved: true },
  { name: 'other stream', path: '/letter/x', isMoved: false },
];

describe('a silent server', () => {
  it.each(SILENCE_CASES)('loses only what may be repeated: $name', ({ isMoved, path }) => {
    const vm = createTestVm();
    const { attempt, requestId } = getDispatch(vm.arrive(createTestRequest('r', path)));
    const kind = EntryEventKind.AttemptSilent;
    const commands = vm.step({ kind, requestId, attempt, silentMs: 2_000, isAnswerBegun: false });
    const cancelled = findCommands(commands, EntryCommandKind.CancelAttempt);
    const repeated = findCommands(commands, EntryCommandKind.Dispatch);
    expect([cancelled.length, repeated.length]).toEqual(isMoved ? [1, 1] : [0, 0]);
  });
});

const ADMISSION_CASES = [
  { name: 'an unknown path', changes: { host: 'other' }, path: '/lookup/x', status: 404 },
  { name: 'no key', changes: { keyDigest: null }, path: '/lookup/x', status: 401 },
  { name: 'an unknown key', changes: { keyDigest: 'no' }, path: '/lookup/x', status: 401 },
  { name: 'over the rate', changes: { promptTokens: 90_000_000 }, path: '/draft/x', status: 0 },
];

describe('admission', () => {
  it.each(ADMISSION_CASES)('answers at once: $name', ({ changes, path, status }) => {
    const vm = createTestVm();
    const commands = vm.arrive(createTestRequest('r', path, changes));
    const [refusal] = findCommands(commands, EntryCommandKind.Refuse);
    expect(refusal === undefined ? 0 : getForwardStatus(refusal.refusal)).toBe(status);
  });

  it('refuses with 429 and a time to come back once a workspace is over its rate', () => {
    const vm = createTestVm();
    const statuses = Array.from({ length: 100 }, (_, i) => {
      const commands = vm.arrive(createTestRequest(`r${i}`, '/draft/x', { promptTokens: 4_000 }));
      const [command] = findCommands(commands, EntryCommandKind.Refuse);
      return command === undefined ? 0 : getForwardStatus(command.refusal);
    });
    expect(new Set(statuses)).toEqual(new Set([0, 429]));
  });

  it('needs no key on an open route', () => {
    const vm = createTestVm();
    const commands = vm.arrive(createTestRequest('r', '/other/x', { keyDigest: null }));
    expect(getDispatch(commands).workspace).toBeNull();
  });

  it('passes the first requests of a workspace on a VM that has run for some seconds', () => {
    const vm = createTestVm();
    const commands = vm.arrive(createTestRequest('r', '/draft/x', { promptTokens: 20_000 }));
    expect(findCommands(commands, EntryCommandKind.Refuse)).toHaveLength(0);
  });
});
