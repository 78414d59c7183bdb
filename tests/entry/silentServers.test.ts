/**
 * Tests how long a server may be silent in the middle of a stream before the stream is moved to another server: longer
 * than a sound server is, and early enough that the other server can go on before the caller leaves; and what becomes of a
 * request without any data that was moved and that the next server did not run.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type AttemptFailure, EntryEventKind } from '../../src/coordination/entry/events.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { indexRoutes } from '../../src/state/entry/deployment.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestDeployment,
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
  TEST_ROUTES,
  type TestVm,
} from './fixtures.js';

/** Longest silence of a sound server. */
const SOUND_SILENCE_MS = 1_300;

const CASES = [
  { name: 'a short gap', objectiveMs: 400, gapMs: 60, callerTimeoutMs: 2_000 },
  { name: 'a gap of a quarter second', objectiveMs: 500, gapMs: 250, callerTimeoutMs: 2_000 },
  { name: 'a long objective', objectiveMs: 1_200, gapMs: 250, callerTimeoutMs: 4_800 },
  { name: 'a long gap', objectiveMs: 500, gapMs: 600, callerTimeoutMs: 4_800 },
  { name: 'no gap', objectiveMs: 500, gapMs: null, callerTimeoutMs: 2_000 },
];

describe('a silence in the middle of a stream', () => {
  it.each(CASES)(
    'does not end the attempt at a sound server, and leaves time to go on elsewhere: $name',
    ({ callerTimeoutMs, gapMs, objectiveMs }) => {
      const vm = createTestVm();
      const routes = TEST_ROUTES.map((route) => ({
        ...route,
        latencyObjectiveMs: objectiveMs,
        maxEventGapMs: gapMs,
      }));
      const deployment = { ...createTestDeployment(2), routesByHost: indexRoutes(routes) };
      const kind = EntryEventKind.ConfigurationRead;
      vm.step({ kind, deployment, revision: 2, source: 'test' });
      const dispatch = getDispatch(vm.receiveRequest(createTestRequest('r', '/draft/x')));
      expect(dispatch.eventGapTimeoutMs).toBeGreaterThan(SOUND_SILENCE_MS);
      expect(callerTimeoutMs - dispatch.eventGapTimeoutMs).toBeGreaterThanOrEqual(objectiveMs);
    },
  );
});

const ARRIVED_AT_MS = 10_000;
const STALLED_AT_MS = ARRIVED_AT_MS + 1_200;
const FAILED_AT_MS = STALLED_AT_MS + 20;
/** Three quarters of four times the objective of the test routes, after the arrival. */
const WAIT_ENDS_AT_MS = ARRIVED_AT_MS + 2_400;

const REJECTED: AttemptFailure = {
  diagnostic: createDiagnostic(Diagnostics.BackendRefused, 'x', 503),
  runState: RunState.Accepted,
  isRefusedByServer: true,
  isMisdirected: false,
};
const NOT_RUN_CASES = [
  { name: 'the next server rejects it', failure: REJECTED },
  { name: 'the next server lacks the model', failure: { ...REJECTED, isMisdirected: true } },
  {
    name: 'the connect fails',
    failure: {
      ...REJECTED,
      diagnostic: createDiagnostic(Diagnostics.ConnectFailed, 'x'),
      runState: RunState.NotSent,
      isRefusedByServer: false,
    },
  },
];
const PATHS = ['/draft/x', '/lookup/x'];
const MOVED_CASES = PATHS.flatMap((path) => NOT_RUN_CASES.map((row) => ({ ...row, path })));

/** Returns what the commands say to the caller and to the servers. */
function summarize(commands: readonly EntryCommand[]) {
  return {
    servers: findCommands(commands, EntryCommandKind.Dispatch).map(({ backendId }) => backendId),
    statuses: findCommands(commands, EntryCommandKind.Refuse).map(({ refusal }) =>
      getForwardRefusalStatus(refusal),
    ),
  };
}

/** Sends a request to a server that stays silent, and then to another one, which does not run it. */
function moveRequest(path: string, failure: AttemptFailure): { vm: TestVm; end: EntryCommand[] } {
  const vm = createTestVm();
  vm.receiveRequest(createTestRequest('r', path, { deadlineMs: 15_000 }), ARRIVED_AT_MS);
  const ids = { requestId: 'r', attempt: 1 };
  const silence = { ...ids, silentMs: 1_200, isAnswerBegun: false };
  vm.step({ kind: EntryEventKind.AttemptStalled, ...silence }, STALLED_AT_MS);
  const failed = { ...ids, attempt: 2, failure, load: null, isAnswerBegun: false };
  return { vm, end: vm.step({ kind: EntryEventKind.AttemptFailed, ...failed }, FAILED_AT_MS) };
}

describe('a request without data that was moved from a silent server', () => {
  it.each(MOVED_CASES)('waits for a server, $path: $name', ({ failure, path }) => {
    const { end, vm } = moveRequest(path, failure);
    expect(summarize(end)).toEqual({ servers: [], statuses: [] });
    const service = path === '/lookup/x' ? 'counter' : 'llm';
    const changes = [{ id: 'new', revision: 9, entry: createTestEntry('new', service) }];
    const kind = EntryEventKind.BackendsRead;
    const read = vm.step(
      { kind, isSnapshot: false, changes, revision: 9, source: 'test' },
      FAILED_AT_MS + 100,
    );
    expect(summarize(read)).toEqual({ servers: ['new'], statuses: [] });
  });

  it.each(NOT_RUN_CASES)('is never said not to have run: $name', ({ failure }) => {
    const { vm } = moveRequest('/draft/x', failure);
    const timedOut = { kind: EntryEventKind.WaitTimedOut, requestId: 'r' } as const;
    expect(summarize(vm.step(timedOut, WAIT_ENDS_AT_MS))).toEqual({ servers: [], statuses: [502] });
  });
});
