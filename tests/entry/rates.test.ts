/**
 * The rate of a workspace over many VMs: the platform's bound in every window, whatever moves among them.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
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

const VMS = 9;
const WINDOW_MS = 8_000;
const OVERRUN = 0.1;
const RESERVE_TOKENS = 11_000;
const DURATION_MS = 40_000;
const STEP_MS = 20;
const COST_TOKENS = 1_500;
const ROUND_MS = TEST_POLICY.peerIntervalMs;

interface Plan {
  readonly seed: number;
  /** Demand over the rate, and when it begins. */
  readonly factor: number;
  readonly floodFromMs: number;
  /** VMs that restart at one instant. */
  readonly restarts: readonly { readonly atMs: number; readonly count: number }[];
  /** Part of the demand that one VM gets. */
  readonly skew: number;
  readonly isCut: boolean;
}

interface Receipt {
  readonly atMs: number;
  readonly tokens: number;
}

function createVm(index: number, nowMs: number, start: number): EntryState {
  const vmId = `vm-${index}`;
  const self = { vmId, incarnation: `${index}/${start}`, failureDomain: 'fd', peerAddress: vmId };
  const state = createEntryState(self, TEST_POLICY, index + 1, nowMs);
  const deployment = createTestDeployment();
  stepEntry(state, { kind: EntryEventKind.ConfigurationRead, deployment, source: 'test' }, nowMs);
  const entry = createTestEntry('e1', 'llm', { slots: 10_000 });
  const changes = [{ id: 'e1', revision: 1, entry }];
  const kind = EntryEventKind.BackendsRead;
  stepEntry(state, { kind, isWhole: true, changes, revision: 1, source: 'test' }, nowMs);
  const vms = Array.from({ length: VMS }, (_, i) => ({
    vmId: `vm-${i}`,
    incarnation: `${i}/0`,
    failureDomain: 'fd',
    peerAddress: `vm-${i}`,
  }));
  stepEntry(state, { kind: EntryEventKind.VmsRead, vms }, nowMs);
  return state;
}

function isSent(commands: readonly EntryCommand[]): boolean {
  return findCommands(commands, EntryCommandKind.Dispatch).length > 0;
}

/** Whether a message between two VMs is lost, by their numbers. */
type Loss = (from: number, to: number) => boolean;

/** Asks other VMs for tokens as long as a VM orders it; tells whether the request was sent on in the end. */
function borrow(
  vms: readonly EntryState[],
  index: number,
  commands: readonly EntryCommand[],
  isLost: Loss,
  nowMs: number,
): boolean {
  const [question] = findCommands(commands, EntryCommandKind.BorrowRate);
  if (question === undefined) {
    return isSent(commands);
  }
  const { requestId, tokens, vmId, workspace } = question;
  const lender = Number(vmId.split('-')[1]);
  const asked = { kind: EntryEventKind.RateAsked, workspace, tokens, replyId: 'x' } as const;
  const answers = isLost(index, lender) ? [] : stepEntry(vms[lender]!, asked, nowMs);
  const [answer] = findCommands(answers, EntryCommandKind.AnswerRate);
  const isAnswered = answer !== undefined && !isLost(lender, index);
  const lentTokens = isAnswered ? answer.lentTokens : 0;
  const spareTokens = isAnswered ? answer.spareTokens : 0;
  const kind = EntryEventKind.RateLent;
  const lent = { kind, requestId, vmId, workspace, lentTokens, spareTokens } as const;
  return borrow(vms, index, stepEntry(vms[index]!, lent, nowMs), isLost, nowMs);
}

function play(plan: Plan): Receipt[] {
  const random = createRandom(plan.seed);
  const vms = Array.from({ length: VMS }, (_, i) => createVm(i, 0, 0));
  const receipts: Receipt[] = [];
  const pending = [...plan.restarts];
  const isLost: Loss = (from, to) => plan.isCut && from < 3 !== to < 3;
  let requests = 0;
  let owed = 0;
  for (let nowMs = 12_000; nowMs < 12_000 + DURATION_MS; nowMs += STEP_MS) {
    const elapsedMs = nowMs - 12_000;
    while (pending.length > 0 && pending[0]!.atMs <= elapsedMs) {
      const { count } = pending.shift()!;
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
      ).forEach(({ board, peerAddress, reports }) => {
        const peer = Number(peerAddress.split('-')[1]);
        if (!isLost(index, peer)) {
          const kind = EntryEventKind.PeerMessage;
          stepEntry(vms[peer]!, { kind, reports, board, replyId: null }, nowMs);
        }
      });
    });
    const factor = elapsedMs >= plan.floodFromMs ? plan.factor : 0.55;
    owed += (TEST_WORKSPACE.rateTokensPerSecond * factor * STEP_MS) / 1000;
    for (; owed >= COST_TOKENS; owed -= COST_TOKENS) {
      requests += 1;
      const isSkewed = nextRandom(random) < plan.skew;
      const index = isSkewed ? 0 : nextRandomInt(random, VMS);
      const request = createTestRequest(`r${requests}`, '/letter/x', {
        promptTokens: COST_TOKENS,
        maxOutputTokens: 0,
      });
      const arrival = { kind: EntryEventKind.RequestArrived, request } as const;
      if (borrow(vms, index, stepEntry(vms[index]!, arrival, nowMs), isLost, nowMs)) {
        receipts.push({ atMs: nowMs, tokens: COST_TOKENS });
      }
    }
  }
  return receipts;
}

/** The most tokens of any window. */
function findWorstWindow(receipts: readonly Receipt[]): number {
  let worst = 0;
  let sum = 0;
  let first = 0;
  receipts.forEach(({ atMs, tokens }) => {
    sum += tokens;
    while (receipts[first]!.atMs <= atMs - WINDOW_MS) {
      sum -= receipts[first]!.tokens;
      first += 1;
    }
    worst = Math.max(worst, sum);
  });
  return worst;
}

const { burstTokens, rateTokensPerSecond } = TEST_WORKSPACE;
const BOUND =
  ((rateTokensPerSecond * WINDOW_MS) / 1000 + burstTokens) * (1 + OVERRUN) + RESERVE_TOKENS;

const CALM: Plan = { seed: 1, factor: 0.55, floodFromMs: 0, restarts: [], skew: 0, isCut: false };

const FLOODS: readonly (Partial<Plan> & { readonly name: string })[] = [
  { name: 'a flood that begins at once', factor: 6, floodFromMs: 10_000 },
  { name: 'a flood through one VM first', factor: 3, floodFromMs: 10_000, skew: 0.6 },
  {
    name: 'a flood while VMs are cut from each other',
    factor: 6,
    floodFromMs: 10_000,
    isCut: true,
  },
  {
    name: 'VMs restart in a flood, and the store goes on listing their old processes',
    seed: 22_333,
    factor: 8,
    floodFromMs: 213,
    restarts: [{ atMs: 452, count: 3 }],
  },
  {
    name: 'the same before the flood',
    seed: 148_038,
    factor: 8,
    floodFromMs: 19_994,
    restarts: [{ atMs: 2_977, count: 3 }],
  },
  {
    name: 'all VMs restart in a flood',
    factor: 6,
    floodFromMs: 5_000,
    restarts: [{ atMs: 20_000, count: VMS }],
  },
];

describe('the rate over all VMs', () => {
  it.each(FLOODS)('holds in every window: $name', (changes) => {
    expect(findWorstWindow(play({ ...CALM, ...changes }))).toBeLessThanOrEqual(BOUND);
  });

  it('holds whatever floods, restarts and cuts come', () => {
    const plans = fc.record({
      seed: fc.integer({ min: 1, max: 1_000_000 }),
      factor: fc.double({ min: 0.5, max: 8, noNaN: true }),
      floodFromMs: fc.integer({ min: 0, max: 20_000 }),
      restarts: fc.array(
        fc.record({ atMs: fc.integer({ min: 0, max: 35_000 }), count: fc.constantFrom(1, 3, 9) }),
        { maxLength: 1 },
      ),
      skew: fc.double({ min: 0, max: 0.8, noNaN: true }),
      isCut: fc.boolean(),
    });
    fc.assert(
      fc.property(plans, (plan) => findWorstWindow(play(plan)) <= BOUND),
      { numRuns: 25 },
    );
  });

  const WITHIN: readonly (Partial<Plan> & { readonly name: string })[] = [
    { name: 'spread evenly' },
    { name: 'mostly through one VM', skew: 0.6 },
    { name: 'near its rate, through one VM', skew: 0.5, factor: 0.85 },
  ];

  it.each(WITHIN)(
    'lets nearly all requests of a workspace pass that keeps within it: $name',
    (changes) => {
      const plan = { ...CALM, ...changes };
      const sent = play(plan).reduce((sum, { tokens }) => sum + tokens, 0);
      const asked = (rateTokensPerSecond * plan.factor * DURATION_MS) / 1000;
      expect(sent / asked).toBeGreaterThan(0.97);
    },
  );
});
