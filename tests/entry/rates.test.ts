/**
 * Tests of a workspace's rate limit over many VMs. The admitted tokens must stay within the platform's bound in every
 * window, during overload, restarts and partitions.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import type { PeerMessage } from '../../src/coordination/entry/peerMessage.js';
import { stepEntry } from '../../src/coordination/entry/handlers.js';
import { createEntryState, type EntryState } from '../../src/coordination/entry/state.js';
import { createRandom, nextRandom, nextRandomInt } from '../../src/state/random.js';
import {
  createTestDeployment,
  createTestEntry,
  createTestRequest,
  findCommands,
  TEST_POLICY,
  TEST_WORKSPACE,
} from './fixtures.js';

const VM_COUNT = 9;
const WINDOW_MS = 8_000;
const TOLERATED_EXCESS = 0.1;
const RESERVE_TOKENS = 11_000;
const DURATION_MS = 40_000;
const STEP_MS = 20;
const COST_TOKENS = 1_500;
const ROUND_MS = TEST_POLICY.peerIntervalMs;

interface Scenario {
  readonly seed: number;
  /** Demand as a multiple of the rate, and when that demand begins. */
  readonly factor: number;
  readonly overloadFromMs: number;
  /** Number of VMs that restart at the same time. */
  readonly restarts: readonly { readonly atMs: number; readonly count: number }[];
  /** Fraction of the requests that go to the first VM; the others go to a random one. */
  readonly skew: number;
  readonly isPartitioned: boolean;
}

interface AdmittedCost {
  readonly atMs: number;
  readonly tokens: number;
}

function createVm(index: number, nowMs: number, start: number): EntryState {
  const vmId = `vm-${index}`;
  const self = {
    vmId,
    incarnation: `${index}/${start}`,
    failureDomain: 'fd',
    peerAddress: vmId,
    processorShare: 1,
  };
  const state = createEntryState(self, TEST_POLICY, index + 1, nowMs);
  const deployment = createTestDeployment();
  stepEntry(
    state,
    { kind: EntryEventKind.ConfigurationRead, deployment, revision: 1, source: 'test' },
    nowMs,
  );
  const entry = createTestEntry('e1', 'llm', { slots: 10_000 });
  const changes = [{ id: 'e1', revision: 1, entry }];
  const kind = EntryEventKind.BackendsRead;
  stepEntry(state, { kind, isSnapshot: true, changes, revision: 1, source: 'test' }, nowMs);
  const vms = Array.from({ length: VM_COUNT }, (_, i) => ({
    vmId: `vm-${i}`,
    incarnation: `${i}/0`,
    failureDomain: 'fd',
    peerAddress: `vm-${i}`,
    processorShare: 1,
  }));
  stepEntry(state, { kind: EntryEventKind.VmsRead, vms }, nowMs);
  return state;
}

function isSent(commands: readonly EntryCommand[]): boolean {
  return findCommands(commands, EntryCommandKind.Dispatch).length > 0;
}

/** Returns true if a message from one VM to another is lost, by the VMs' indexes. */
type LossPredicate = (from: number, to: number) => boolean;

/** Carries out the loan requests of a VM until it makes no more. Returns true if it then sends the request on. */
function executeLoanRequests(
  vms: readonly EntryState[],
  index: number,
  commands: readonly EntryCommand[],
  isLost: LossPredicate,
  nowMs: number,
): boolean {
  const [loanRequest] = findCommands(commands, EntryCommandKind.RequestLoan);
  if (loanRequest === undefined) {
    return isSent(commands);
  }
  const { limit, requestId, tokens, vmId } = loanRequest;
  const lender = Number(vmId.split('-')[1]);
  const asked = { kind: EntryEventKind.LoanRequested, limit, tokens, replyId: 'x' } as const;
  const answers = isLost(index, lender) ? [] : stepEntry(vms[lender]!, asked, nowMs);
  const [answer] = findCommands(answers, EntryCommandKind.ReplyToLoanRequest);
  const isAnswered = answer !== undefined && !isLost(lender, index);
  const lentTokens = isAnswered ? answer.lentTokens : 0;
  const spareTokens = isAnswered ? answer.spareTokens : 0;
  const kind = EntryEventKind.LoanAnswered;
  const lent = { kind, requestId, vmId, limit, lentTokens, spareTokens } as const;
  return executeLoanRequests(vms, index, stepEntry(vms[index]!, lent, nowMs), isLost, nowMs);
}

/** Delivers a message and its answer, or reports the failure of the call. */
function exchange(
  vms: readonly EntryState[],
  from: number,
  to: number,
  message: PeerMessage,
  isLost: LossPredicate,
  nowMs: number,
): void {
  const kind = EntryEventKind.PeerMessage;
  if (isLost(from, to)) {
    stepEntry(vms[from]!, { kind: EntryEventKind.PeerCallFailed, vmId: `vm-${to}` }, nowMs);
    return;
  }
  const replies = stepEntry(vms[to]!, { kind, message, replyId: 'reply' }, nowMs);
  findCommands(replies, EntryCommandKind.ReplyToPeer).forEach((reply) =>
    stepEntry(vms[from]!, { kind, message: reply.message, replyId: null }, nowMs),
  );
}

function simulate(scenario: Scenario): AdmittedCost[] {
  const random = createRandom(scenario.seed);
  const vms = Array.from({ length: VM_COUNT }, (_, i) => createVm(i, 0, 0));
  const admitted: AdmittedCost[] = [];
  const pendingRestarts = [...scenario.restarts];
  const isLost: LossPredicate = (from, to) => scenario.isPartitioned && from < 3 !== to < 3;
  let requests = 0;
  let pendingTokens = 0;
  for (let nowMs = 12_000; nowMs < 12_000 + DURATION_MS; nowMs += STEP_MS) {
    const elapsedMs = nowMs - 12_000;
    while (pendingRestarts.length > 0 && pendingRestarts[0]!.atMs <= elapsedMs) {
      const { count } = pendingRestarts.shift()!;
      for (let i = 0; i < count; i += 1) {
        vms[i] = createVm(i, nowMs, nowMs);
      }
    }
    vms.forEach((vm, index) => {
      if ((nowMs + index * STEP_MS) % ROUND_MS >= STEP_MS) {
        return;
      }
      findCommands(
        stepEntry(vm, { kind: EntryEventKind.PeerTick }, nowMs),
        EntryCommandKind.SendPeerMessage,
      ).forEach(({ message, peerAddress }) =>
        exchange(vms, index, Number(peerAddress.split('-')[1]), message, isLost, nowMs),
      );
    });
    const factor = elapsedMs >= scenario.overloadFromMs ? scenario.factor : 0.55;
    pendingTokens += (TEST_WORKSPACE.rateTokensPerSecond * factor * STEP_MS) / 1000;
    for (; pendingTokens >= COST_TOKENS; pendingTokens -= COST_TOKENS) {
      requests += 1;
      const isSkewed = nextRandom(random) < scenario.skew;
      const index = isSkewed ? 0 : nextRandomInt(random, VM_COUNT);
      const request = createTestRequest(`r${requests}`, '/letter/x', {
        promptTokens: COST_TOKENS,
        maxOutputTokens: 0,
      });
      const arrival = { kind: EntryEventKind.RequestArrived, request, delayMs: 0 } as const;
      if (executeLoanRequests(vms, index, stepEntry(vms[index]!, arrival, nowMs), isLost, nowMs)) {
        admitted.push({ atMs: nowMs, tokens: COST_TOKENS });
      }
    }
  }
  return admitted;
}

/** Returns the largest number of tokens admitted in any window. */
function getMaxWindowTokens(admitted: readonly AdmittedCost[]): number {
  let maxTokens = 0;
  let sum = 0;
  let first = 0;
  admitted.forEach(({ atMs, tokens }) => {
    sum += tokens;
    while (admitted[first]!.atMs <= atMs - WINDOW_MS) {
      sum -= admitted[first]!.tokens;
      first += 1;
    }
    maxTokens = Math.max(maxTokens, sum);
  });
  return maxTokens;
}

const { burstTokens, rateTokensPerSecond } = TEST_WORKSPACE;
const MAX_WINDOW_TOKENS =
  ((rateTokensPerSecond * WINDOW_MS) / 1000 + burstTokens) * (1 + TOLERATED_EXCESS) +
  RESERVE_TOKENS;

const BASE_SCENARIO: Scenario = {
  seed: 1,
  factor: 0.55,
  overloadFromMs: 0,
  restarts: [],
  skew: 0,
  isPartitioned: false,
};

const OVERLOADS: readonly (Partial<Scenario> & { readonly name: string })[] = [
  { name: 'an overload that begins abruptly', factor: 6, overloadFromMs: 10_000 },
  { name: 'an overload mostly through one VM', factor: 3, overloadFromMs: 10_000, skew: 0.6 },
  {
    name: 'an overload while VMs are partitioned',
    factor: 6,
    overloadFromMs: 10_000,
    isPartitioned: true,
  },
  {
    name: 'VMs restart during an overload and the store still lists their old processes',
    seed: 22_333,
    factor: 8,
    overloadFromMs: 213,
    restarts: [{ atMs: 452, count: 3 }],
  },
  {
    name: 'VMs restart before an overload and the store still lists their old processes',
    seed: 148_038,
    factor: 8,
    overloadFromMs: 19_994,
    restarts: [{ atMs: 2_977, count: 3 }],
  },
  {
    name: 'all VMs restart during an overload',
    factor: 6,
    overloadFromMs: 5_000,
    restarts: [{ atMs: 20_000, count: VM_COUNT }],
  },
];

describe('the rate limit over all VMs', () => {
  it.each(OVERLOADS)('holds in every window: $name', (changes) => {
    expect(getMaxWindowTokens(simulate({ ...BASE_SCENARIO, ...changes }))).toBeLessThanOrEqual(
      MAX_WINDOW_TOKENS,
    );
  });

  it('holds for random overloads, restarts and partitions', () => {
    const scenarios = fc.record({
      seed: fc.integer({ min: 1, max: 1_000_000 }),
      factor: fc.double({ min: 0.5, max: 8, noNaN: true }),
      overloadFromMs: fc.integer({ min: 0, max: 20_000 }),
      restarts: fc.array(
        fc.record({ atMs: fc.integer({ min: 0, max: 35_000 }), count: fc.constantFrom(1, 3, 9) }),
        { maxLength: 1 },
      ),
      skew: fc.double({ min: 0, max: 0.8, noNaN: true }),
      isPartitioned: fc.boolean(),
    });
    fc.assert(
      fc.property(
        scenarios,
        (scenario) => getMaxWindowTokens(simulate(scenario)) <= MAX_WINDOW_TOKENS,
      ),
      { numRuns: 25 },
    );
  });

  const WITHIN_RATE: readonly (Partial<Scenario> & { readonly name: string })[] = [
    { name: 'spread evenly' },
    { name: 'mostly through one VM', skew: 0.6 },
    { name: 'near the rate, half through one VM', skew: 0.5, factor: 0.85 },
  ];

  it.each(WITHIN_RATE)(
    'admits nearly all requests of a workspace whose demand is within its rate: $name',
    (changes) => {
      const scenario = { ...BASE_SCENARIO, ...changes };
      const sent = simulate(scenario).reduce((sum, { tokens }) => sum + tokens, 0);
      const asked = (rateTokensPerSecond * scenario.factor * DURATION_MS) / 1000;
      expect(sent / asked).toBeGreaterThan(0.97);
    },
  );
});
