/**
 * Compares whole sessions of one VM with golden files, which hold every event with its time and every
 * command that it produced. `UPDATE_GOLDEN=1` regenerates the files; their diff is reviewed like code.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import {
  ClaimOutcome,
  type Command,
  EventKind,
  type VmEvent,
} from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { createVmState } from '../../src/coordination/vmState.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { EMPTY_SHARE_TABLE } from '../../src/state/shareTable.js';
import { type Member, RunState } from '../../src/state/types.js';
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

const GOLDEN_DIRECTORY = join(dirname(fileURLToPath(import.meta.url)), '../golden');

const SELF = {
  vmId: 'vm-a',
  incarnation: 'first',
  failureDomain: 'fd-a',
  peerAddress: '10.0.0.1:8081',
  firstHeartbeat: 100,
};

const PEER: Member = {
  vmId: 'vm-b',
  incarnation: 'other',
  failureDomain: 'fd-a',
  peerAddress: '10.0.0.2:8081',
  heartbeat: 7,
  revision: 1,
  leaving: false,
  shareUnits: 500_000,
  pledgedGrant: 0,
};

const DOCUMENT = createTestDocument({
  workspaces: [createTestWorkspace('mill', { rateTokensPerSecond: 100, burstTokens: 1_000 })],
  failureDomains: [{ name: 'fd-a', share: 1 }],
  backendServers: [
    createTestEngine('engine-1'),
    createTestEngine('engine-2'),
    createTestEngine('service', { kind: 'service' }),
  ],
  routes: [createTestRoute('booking')],
});

const TABLE = {
  serial: 3,
  entries: [
    { vmId: 'vm-a', incarnation: 'first', failureDomain: 'fd-a', units: 500_000, grant: 2 },
    { vmId: 'vm-b', incarnation: 'other', failureDomain: 'fd-a', units: 500_000, grant: 2 },
  ],
};

type TimedEvent = readonly [atMs: number, event: VmEvent];

function createReport(server: string, leaving = false): VmEvent {
  const report = {
    runningRequests: 1,
    queuedRequests: 0,
    usedMemoryMb: 100,
    loadedModels: [TEST_MODEL_TAG],
    loadingModels: [],
    leaving,
  };
  return { kind: EventKind.LoadReported, server, report };
}

const SETUP_EVENTS: readonly TimedEvent[] = [
  [0, { kind: EventKind.ConfigurationReceived, head: createTestHead(1), document: DOCUMENT }],
  [1, createReport('engine-1')],
  [1, createReport('engine-2')],
  [
    2,
    {
      kind: EventKind.GossipReceived,
      replyId: 'reply-1',
      message: {
        fromVmId: 'vm-b',
        revision: 1,
        members: [PEER],
        leavingServers: [],
        shareVersion: 9,
      },
    },
  ],
  [3, { kind: EventKind.ShareTableRead, table: TABLE, version: 9 }],
];

function createArrival(requestId: string, promptTokens: number): VmEvent {
  const request = createModelRequest(requestId, 'mill', promptTokens, 10);
  return { kind: EventKind.RequestArrived, request };
}

function createFailure(requestId: string, attempt: number, runState: RunState): VmEvent {
  return {
    kind: EventKind.DispatchFailed,
    requestId,
    attempt,
    runState,
    diagnostic: createDiagnostic(Diagnostics.AnswerLost, 'engine'),
    isRefusedByServer: false,
    deliveredTokens: 3,
    isAnswerBegun: runState === RunState.Streaming,
  };
}

function createLoanAnswer(requestId: string, askedAtMs: number, grantedTokens: number): VmEvent {
  return {
    kind: EventKind.LoanAnswered,
    requestId,
    peerVmId: 'vm-b',
    workspace: 'mill',
    askedAtMs,
    spendWithinMs: 150,
    grantedTokens,
    leftTokens: 0,
  };
}

interface Session {
  readonly name: string;
  readonly events: readonly TimedEvent[];
}

const SESSIONS: readonly Session[] = [
  {
    name: 'streamed-request-resumed',
    events: [
      ...SETUP_EVENTS,
      [10_000, createArrival('r1', 40)],
      [10_010, { kind: EventKind.AnswerStarted, requestId: 'r1', attempt: 1 }],
      [10_050, createFailure('r1', 1, RunState.Streaming)],
      [10_060, { kind: EventKind.AnswerStarted, requestId: 'r1', attempt: 1 }],
      [
        10_100,
        {
          kind: EventKind.AnswerCompleted,
          requestId: 'r1',
          attempt: 2,
          generatedTokens: 10,
          maxGapMs: 50,
          meanGapMs: 50,
        },
      ],
    ],
  },
  {
    name: 'tokens-borrowed-then-short',
    events: [
      ...SETUP_EVENTS,
      [4_000, createArrival('r1', 300)],
      [4_002, createLoanAnswer('r1', 4_000, 150)],
      [4_003, createLoanAnswer('r1', 4_002, 0)],
      [4_700, { kind: EventKind.TokenWaitElapsed, workspace: 'mill' }],
      [4_800, createArrival('r2', 2_000)],
    ],
  },
  {
    name: 'booking-claimed-and-lost',
    events: [
      ...SETUP_EVENTS,
      [
        10_000,
        {
          kind: EventKind.RequestArrived,
          request: createRouteRequest('b1', 'mill', '/booking/7', 'digest'),
        },
      ],
      [
        10_002,
        {
          kind: EventKind.ClaimAnswered,
          requestId: 'b1',
          claimId: 'mill/digest',
          outcome: ClaimOutcome.Won,
        },
      ],
      [10_020, createFailure('b1', 1, RunState.MaybeSent)],
    ],
  },
  {
    name: 'leaving-server-and-planned-stop',
    events: [
      ...SETUP_EVENTS,
      [10_000, createReport('engine-1', true)],
      [10_001, createArrival('r1', 10)],
      [10_002, { kind: EventKind.StopRequested }],
      [12_100, { kind: EventKind.StopTick }],
      [12_110, createArrival('r2', 10)],
      [
        12_150,
        {
          kind: EventKind.AnswerCompleted,
          requestId: 'r1',
          attempt: 1,
          generatedTokens: 10,
          maxGapMs: 5,
          meanGapMs: 5,
        },
      ],
      [12_160, { kind: EventKind.StopTick }],
      [
        12_170,
        {
          kind: EventKind.ShareWriteAnswered,
          table: { ...EMPTY_SHARE_TABLE, serial: 4 },
          version: 10,
        },
      ],
      [12_210, { kind: EventKind.StopTick }],
    ],
  },
];

function runSession({ events }: Session): string {
  const state = createVmState(SELF, DEFAULT_POLICY, 42, 0);
  const lines = events.flatMap(([atMs, event]): object[] => {
    const commands: Command[] = stepVm(state, event, atMs);
    return [{ atMs, event }, ...commands.map((command) => ({ order: command }))];
  });
  return `${lines.map((line) => JSON.stringify(line)).join('\n')}\n`;
}

describe('a session of one VM', () => {
  it.each(SESSIONS)('reproduces its golden file: $name', (session) => {
    const path = join(GOLDEN_DIRECTORY, `${session.name}.jsonl`);
    const text = runSession(session);
    if (process.env.UPDATE_GOLDEN === '1') {
      mkdirSync(GOLDEN_DIRECTORY, { recursive: true });
      writeFileSync(path, text);
    }
    expect(text).toBe(readFileSync(path, 'utf8'));
    expect(runSession(session)).toBe(text);
  });
});
