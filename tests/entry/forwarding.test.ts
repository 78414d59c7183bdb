/**
 * Tests the admission of requests and the handling of failed attempts: which requests are retried, and with which
 * status the others end.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type AttemptFailure, EntryEventKind } from '../../src/coordination/entry/events.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  type TestVm,
} from './fixtures.js';

const ANSWER_LOST: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.AnswerLost, 'x'),
  runState: RunState.MaybeSent,
  isRefusedByServer: false,
  isMisdirected: false,
};
const NOT_SENT = { ...ANSWER_LOST, runState: RunState.NotSent };
const REFUSED = { ...ANSWER_LOST, runState: RunState.Accepted, isRefusedByServer: true };

function fail(vm: TestVm, requestId: string, failure: AttemptFailure, isAnswerBegun = false) {
  const attempt = vm.state.requests.get(requestId)?.attempt ?? 0;
  const kind = EntryEventKind.AttemptFailed;
  return vm.step({ kind, requestId, attempt, failure, load: null, isAnswerBegun });
}

const FAILURE_CASES = [
  {
    name: 'idempotent, answer lost',
    path: '/lookup/x',
    failure: ANSWER_LOST,
    isRetried: true,
    status: 0,
  },
  {
    name: 'at most once, answer lost',
    path: '/book/x',
    failure: ANSWER_LOST,
    isRetried: false,
    status: 502,
  },
  {
    name: 'at most once, not sent',
    path: '/book/x',
    failure: NOT_SENT,
    isRetried: true,
    status: 0,
  },
  {
    name: 'at most once, rejected by the server',
    path: '/book/x',
    failure: REFUSED,
    isRetried: true,
    status: 0,
  },
  {
    name: 'resumable stream, answer lost',
    path: '/draft/x',
    failure: ANSWER_LOST,
    isRetried: true,
    status: 0,
  },
  {
    name: 'other stream, answer lost',
    path: '/letter/x',
    failure: ANSWER_LOST,
    isRetried: false,
    status: 502,
  },
  {
    name: 'other stream, rejected by the server',
    path: '/letter/x',
    failure: REFUSED,
    isRetried: true,
    status: 0,
  },
];

describe('a failed attempt', () => {
  it.each(FAILURE_CASES)(
    'is retried only if a second run is safe: $name',
    ({ failure, isRetried, path, status }) => {
      const vm = createTestVm();
      const first = getDispatch(vm.receiveRequest(createTestRequest('r', path)));
      const commands = fail(vm, 'r', failure);
      const retries = findCommands(commands, EntryCommandKind.Dispatch);
      const [refusal] = findCommands(commands, EntryCommandKind.Refuse);
      expect(retries).toHaveLength(isRetried ? 1 : 0);
      expect(retries[0]?.backendId).not.toBe(first.backendId);
      expect(refusal === undefined ? 0 : getForwardRefusalStatus(refusal.refusal)).toBe(status);
    },
  );

  it.each(FAILURE_CASES)(
    'is not retried after a second failure that may have run the request: $name',
    ({ path }) => {
      const vm = createTestVm();
      vm.receiveRequest(createTestRequest('r', path));
      fail(vm, 'r', ANSWER_LOST);
      const commands = fail(vm, 'r', ANSWER_LOST);
      expect(findCommands(commands, EntryCommandKind.Dispatch)).toHaveLength(0);
      expect(vm.state.requests.size).toBe(0);
    },
  );

  it('in the middle of a stream is retried on another server only if the stream is resumable', () => {
    const outcomes = ['/draft/x', '/letter/x'].map((path) => {
      const vm = createTestVm();
      vm.receiveRequest(createTestRequest('r', path));
      return fail(vm, 'r', ANSWER_LOST, true).map(({ kind }) => kind);
    });
    expect(outcomes[0]).toContain(EntryCommandKind.Dispatch);
    expect(outcomes[1]).toContain(EntryCommandKind.AbortAnswer);
    expect(outcomes[1]).not.toContain(EntryCommandKind.Dispatch);
  });

  it('ends with status 503 and a Retry-After time if every server rejected the request', () => {
    const vm = createTestVm();
    vm.receiveRequest(createTestRequest('r', '/book/x'));
    fail(vm, 'r', REFUSED);
    const [command] = findCommands(fail(vm, 'r', REFUSED), EntryCommandKind.Refuse);
    expect(getForwardRefusalStatus(command!.refusal)).toBe(503);
    expect(command!.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  const BUDGET_CASES = [
    {
      name: 'dispatched again once an engine may have it',
      isBudgetLeft: true,
      dispatches: 1,
    },
    { name: 'rejected with 503 if no retry is left', isBudgetLeft: false, dispatches: 0 },
  ];

  it.each(BUDGET_CASES)(
    'makes a request that every engine rejected wait for its model: $name',
    (example) => {
      const { dispatches, isBudgetLeft } = example;
      const vm = createTestVm();
      vm.receiveRequest(createTestRequest('r', '/letter/x'));
      fail(vm, 'r', REFUSED);
      vm.state.retryBudgets.set('llm', { tokens: isBudgetLeft ? 5 : 0 });
      const second = fail(vm, 'r', REFUSED);
      const beforeExpiry = vm.step({ kind: EntryEventKind.MaintenanceTick }, 10_200);
      const afterExpiry = vm.step({ kind: EntryEventKind.MaintenanceTick }, 10_600);
      const counts = [second, beforeExpiry, afterExpiry].map(
        (commands) => findCommands(commands, EntryCommandKind.Dispatch).length,
      );
      expect(counts).toEqual([0, 0, dispatches]);
      const due = vm.step({ kind: EntryEventKind.WaitTimedOut, requestId: 'r' }, 12_000);
      const [refusal] = findCommands(due, EntryCommandKind.Refuse);
      expect(refusal === undefined ? 0 : getForwardRefusalStatus(refusal.refusal)).toBe(
        isBudgetLeft ? 0 : 503,
      );
    },
  );

  it('takes its retry from a budget that many failures exhaust', () => {
    const vm = createTestVm();
    const retries = Array.from({ length: 200 }, (_, i) => {
      vm.receiveRequest(createTestRequest(`r${i}`, '/lookup/x', { keyDigest: 'digest' }));
      const commands = fail(vm, `r${i}`, ANSWER_LOST);
      return findCommands(commands, EntryCommandKind.Dispatch).length;
    }).reduce((sum, count) => sum + count, 0);
    const allowed = 200 * 0.2 + 58;
    expect(retries).toBeLessThanOrEqual(allowed);
    expect(retries).toBeGreaterThan(0);
  });
});

const SILENCE_CASES = [
  { name: 'idempotent', path: '/lookup/x', isCancelledAndRetried: true },
  { name: 'at most once', path: '/book/x', isCancelledAndRetried: false },
  { name: 'resumable stream', path: '/draft/x', isCancelledAndRetried: true },
  { name: 'other stream', path: '/letter/x', isCancelledAndRetried: false },
];

describe('an attempt without data from its server', () => {
  it.each(SILENCE_CASES)(
    'is cancelled and retried only if a second run is safe: $name',
    ({ isCancelledAndRetried, path }) => {
      const vm = createTestVm();
      const { attempt, requestId } = getDispatch(vm.receiveRequest(createTestRequest('r', path)));
      const kind = EntryEventKind.AttemptStalled;
      const commands = vm.step({ kind, requestId, attempt, silentMs: 2_000, isAnswerBegun: false });
      const cancelled = findCommands(commands, EntryCommandKind.CancelAttempt);
      const retried = findCommands(commands, EntryCommandKind.Dispatch);
      expect([cancelled.length, retried.length]).toEqual(isCancelledAndRetried ? [1, 1] : [0, 0]);
    },
  );
});

const ADMISSION_CASES = [
  { name: 'an unknown path', changes: { host: 'other' }, path: '/lookup/x', status: 404 },
  { name: 'no key', changes: { keyDigest: null }, path: '/lookup/x', status: 401 },
  { name: 'an unknown key', changes: { keyDigest: 'no' }, path: '/lookup/x', status: 401 },
  {
    name: 'a cost above the capacity of a full bucket',
    changes: { promptTokens: 90_000_000 },
    path: '/draft/x',
    status: 0,
  },
];

describe('admission', () => {
  it.each(ADMISSION_CASES)(
    'rejects a request with a 4xx status only if its path or key is invalid: $name',
    ({ changes, path, status }) => {
      const vm = createTestVm();
      const commands = vm.receiveRequest(createTestRequest('r', path, changes));
      const [refusal] = findCommands(commands, EntryCommandKind.Refuse);
      expect(refusal === undefined ? 0 : getForwardRefusalStatus(refusal.refusal)).toBe(status);
    },
  );

  it('rejects requests with 429 once a workspace is over its rate limit', () => {
    const vm = createTestVm();
    const statuses = Array.from({ length: 100 }, (_, i) => {
      const commands = vm.receiveRequest(
        createTestRequest(`r${i}`, '/draft/x', { promptTokens: 4_000 }),
      );
      const [command] = findCommands(commands, EntryCommandKind.Refuse);
      return command === undefined ? 0 : getForwardRefusalStatus(command.refusal);
    });
    expect(new Set(statuses)).toEqual(new Set([0, 429]));
  });

  it('requires no key on an open route', () => {
    const vm = createTestVm();
    const commands = vm.receiveRequest(createTestRequest('r', '/other/x', { keyDigest: null }));
    expect(getDispatch(commands).workspace).toBeNull();
  });

  it('accepts the first request of a workspace on a VM that has run for some seconds', () => {
    const vm = createTestVm();
    const commands = vm.receiveRequest(
      createTestRequest('r', '/draft/x', { promptTokens: 20_000 }),
    );
    expect(findCommands(commands, EntryCommandKind.Refuse)).toHaveLength(0);
  });
});
