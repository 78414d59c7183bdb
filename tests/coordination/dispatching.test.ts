/**
 * Tests what follows a failed dispatch: which requests are retried, and whether a refusal reports
 * that the request did not run. Checks that, in any order of events, a request that may run only
 * once is not dispatched again after it may have run.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  ClaimOutcome,
  type Command,
  CommandKind,
  EventKind,
  type VmEvent,
} from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { createVmState, type VmState } from '../../src/coordination/vmState.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { type RequestInfo, RunStatus, RunState } from '../../src/state/types.js';
import {
  createModelRequest,
  createRouteRequest,
  createTestDocument,
  createTestEngine,
  createTestRoute,
  createTestWorkspace,
  TEST_MODEL_TAG,
} from '../fakes/documents.js';
import { createTestHead } from '../fakes/simulatedFleet.js';

const SELF = {
  vmId: 'vm',
  incarnation: '1',
  failureDomain: 'fd-a',
  peerAddress: 'vm',
  firstHeartbeat: 1,
};

const DOCUMENT = createTestDocument({
  workspaces: [createTestWorkspace('mill')],
  backendServers: [
    createTestEngine('engine-1'),
    createTestEngine('engine-2'),
    createTestEngine('service-1', { kind: 'service' }),
    createTestEngine('service-2', { kind: 'service' }),
  ],
  routes: [
    createTestRoute('booking', { backendServers: ['service-1', 'service-2'], costTokens: 0 }),
    createTestRoute('lookup', {
      backendServers: ['service-1', 'service-2'],
      idempotent: true,
      costTokens: 0,
    }),
  ],
});

function createState(): VmState {
  const state = createVmState(SELF, DEFAULT_POLICY, 1, 0);
  const head = createTestHead(1);
  const report = {
    runningRequests: 0,
    queuedRequests: 0,
    usedMemoryMb: 0,
    loadedModels: [TEST_MODEL_TAG],
    loadingModels: [],
    leaving: false,
  };
  stepVm(state, { kind: EventKind.ConfigurationReceived, head, document: DOCUMENT }, 0);
  ['engine-1', 'engine-2'].forEach((server) => {
    stepVm(state, { kind: EventKind.LoadReported, server, report }, 0);
  });
  return state;
}

function findCommands<K extends CommandKind>(commands: readonly Command[], kind: K) {
  return commands.filter((command): command is Extract<Command, { kind: K }> => {
    const { kind: commandKind } = command;
    return commandKind === kind;
  });
}

const REQUESTS: Readonly<Record<string, RequestInfo>> = {
  booking: createRouteRequest('r', 'mill', '/booking/x'),
  lookup: createRouteRequest('r', 'mill', '/lookup/x'),
  model: createModelRequest('r', 'mill', 0, 0),
};

interface FailureCase {
  readonly name: string;
  readonly request: keyof typeof REQUESTS;
  readonly runState: RunState;
  readonly isRefusedByServer: boolean;
  readonly isAnswerBegun: boolean;
  /** Another dispatch, a refusal that reports this run claim, or an abort. */
  readonly expected: 'again' | RunStatus | 'abort';
}

function createFailureCase(
  request: string,
  runState: RunState,
  expected: FailureCase['expected'],
  fields: Partial<FailureCase> = {},
): FailureCase {
  return {
    name: `${request} request in run state ${runState}`,
    request,
    runState,
    isRefusedByServer: false,
    isAnswerBegun: false,
    expected,
    ...fields,
  };
}

const FAILURE_CASES: readonly FailureCase[] = [
  createFailureCase('booking', RunState.NotSent, 'again'),
  createFailureCase('booking', RunState.MaybeSent, RunStatus.Unknown),
  createFailureCase('booking', RunState.Accepted, RunStatus.Unknown),
  createFailureCase('booking', RunState.Streaming, RunStatus.Unknown),
  createFailureCase('booking', RunState.Streaming, 'abort', { isAnswerBegun: true }),
  createFailureCase('booking', RunState.MaybeSent, 'again', {
    name: 'booking request that the server refused',
    isRefusedByServer: true,
  }),
  createFailureCase('lookup', RunState.NotSent, 'again'),
  createFailureCase('lookup', RunState.MaybeSent, 'again'),
  createFailureCase('lookup', RunState.Streaming, 'again'),
  createFailureCase('lookup', RunState.Streaming, 'abort', {
    name: 'lookup request whose answer has begun',
    isAnswerBegun: true,
  }),
  createFailureCase('model', RunState.NotSent, 'again'),
  createFailureCase('model', RunState.MaybeSent, 'again'),
  createFailureCase('model', RunState.Streaming, 'again', {
    name: 'model request whose answer has begun',
    isAnswerBegun: true,
  }),
];

function createFailure(attempt: number, fields: Partial<FailureCase>): VmEvent {
  return {
    kind: EventKind.DispatchFailed,
    requestId: 'r',
    attempt,
    runState: fields.runState ?? RunState.NotSent,
    diagnostic: createDiagnostic(Diagnostics.AnswerLost, 'server'),
    isRefusedByServer: fields.isRefusedByServer ?? false,
    deliveredTokens: 0,
    isAnswerBegun: fields.isAnswerBegun ?? false,
  };
}

function describeOutcome(commands: readonly Command[]): FailureCase['expected'] {
  if (findCommands(commands, CommandKind.Dispatch).length > 0) {
    return 'again';
  }
  const [refuse] = findCommands(commands, CommandKind.Refuse);
  return refuse === undefined ? 'abort' : refuse.refusal.run;
}

describe('a failed dispatch', () => {
  it.each(FAILURE_CASES)('of a $name has the outcome $expected', (testCase) => {
    const state = createState();
    const request = REQUESTS[testCase.request]!;
    stepVm(state, { kind: EventKind.RequestArrived, request }, 1);
    const commands = stepVm(state, createFailure(1, testCase), 2);
    expect(describeOutcome(commands)).toBe(testCase.expected);
  });

  it('results in a refusal as not run when no server could be reached', () => {
    const state = createState();
    stepVm(state, { kind: EventKind.RequestArrived, request: REQUESTS.booking! }, 1);
    stepVm(state, createFailure(1, {}), 2);
    const commands = stepVm(state, createFailure(2, {}), 3);
    expect(describeOutcome(commands)).toBe(RunStatus.NotRun);
  });

  it('removes the request record and its in-flight count', () => {
    const state = createState();
    stepVm(state, { kind: EventKind.RequestArrived, request: REQUESTS.booking! }, 1);
    stepVm(state, createFailure(1, { runState: RunState.MaybeSent }), 2);
    expect(state.requests.size).toBe(0);
    expect([...state.servers.values()].every((server) => server.inFlight === 0)).toBe(true);
  });
});

/** Events that may arrive in any order, late or twice. */
const requestEvent: fc.Arbitrary<VmEvent> = fc.oneof(
  fc.record({
    kind: fc.constant(EventKind.DispatchFailed),
    requestId: fc.constant('r'),
    attempt: fc.integer({ min: 1, max: 3 }),
    runState: fc.constantFrom(...Object.values(RunState)),
    diagnostic: fc.constant(createDiagnostic(Diagnostics.AnswerLost, 'server')),
    isRefusedByServer: fc.constant(false),
    deliveredTokens: fc.constant(0),
    isAnswerBegun: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant(EventKind.AnswerCompleted),
    requestId: fc.constant('r'),
    attempt: fc.integer({ min: 1, max: 3 }),
    generatedTokens: fc.constant(0),
    maxGapMs: fc.constant(0),
    meanGapMs: fc.constant(0),
  }),
  fc.record({
    kind: fc.constant(EventKind.ClaimAnswered),
    requestId: fc.constant('r'),
    claimId: fc.constant('mill/key'),
    outcome: fc.constantFrom(...Object.values(ClaimOutcome)),
  }),
  fc.record({
    kind: fc.constant(EventKind.CallerDisconnected),
    requestId: fc.constant('r'),
    deliveredTokens: fc.constant(0),
  }),
  fc.record({ kind: fc.constant(EventKind.RequestTimedOut), requestId: fc.constant('r') }),
);

/**
 * Counts dispatches and "not run" refusals that are issued after an earlier dispatch may have
 * reached its server.
 */
function countUnsafeDispatches(events: readonly VmEvent[], hasIdempotencyKey: boolean): number {
  const state = createState();
  const idempotencyDigest = hasIdempotencyKey ? 'key' : null;
  const request = createRouteRequest('r', 'mill', '/booking/x', idempotencyDigest);
  let currentAttempt = 0;
  let mayHaveRun = false;
  let unsafeCount = 0;
  const checkCommands = (commands: readonly Command[]): void => {
    findCommands(commands, CommandKind.Dispatch).forEach((command) => {
      unsafeCount += mayHaveRun ? 1 : 0;
      currentAttempt = command.attempt;
    });
    findCommands(commands, CommandKind.Refuse).forEach(({ refusal }) => {
      unsafeCount += mayHaveRun && refusal.run === RunStatus.NotRun ? 1 : 0;
    });
  };
  checkCommands(stepVm(state, { kind: EventKind.RequestArrived, request }, 1));
  events.forEach((event, i) => {
    if (event.kind === EventKind.DispatchFailed && event.attempt === currentAttempt) {
      mayHaveRun ||= event.runState !== RunState.NotSent;
    }
    if (event.kind === EventKind.AnswerCompleted && event.attempt === currentAttempt) {
      mayHaveRun = true;
    }
    checkCommands(stepVm(state, event, 2 + i));
  });
  return unsafeCount;
}

const ONCE_CASES = [
  { name: 'without an idempotency key', hasIdempotencyKey: false },
  { name: 'with an idempotency key', hasIdempotencyKey: true },
];

describe('a request that may run only once', () => {
  it.each(ONCE_CASES)(
    'is neither dispatched again nor refused as not run after it may have run: $name',
    ({ hasIdempotencyKey }) => {
      fc.assert(
        fc.property(fc.array(requestEvent, { maxLength: 12 }), (events) => {
          expect(countUnsafeDispatches(events, hasIdempotencyKey)).toBe(0);
        }),
        { numRuns: 5_000 },
      );
    },
  );
});
