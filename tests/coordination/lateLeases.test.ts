/**
 * Tests that late answers of the store do not take the controller of a failure domain back to an earlier term.
 */
import { describe, expect, it } from 'vitest';
import { EventKind, OrderOutcome, type VmEvent } from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { createVmState } from '../../src/coordination/vmState.js';

const SELF = {
  vmId: 'vm',
  incarnation: '1',
  failureDomain: 'fd-a',
  peerAddress: 'vm',
  firstHeartbeat: 1,
};
const kind = EventKind.ControllerLeaseAnswered;

function createAnswer(fence: number | null, sentAtMs: number, isLost = false): VmEvent {
  return { kind, fence, isLost, sentAtMs };
}

function createRefusal(fence: number): VmEvent {
  const { Fenced: outcome } = OrderOutcome;
  return { kind: EventKind.OrderAnswered, server: 'engine-1', orderId: 'order-1', fence, outcome };
}

const CASES: readonly {
  readonly name: string;
  readonly events: readonly VmEvent[];
  readonly fence: number | null;
}[] = [
  {
    name: 'a renewal of an earlier term, after a later term has begun',
    events: [createAnswer(4, 0), createAnswer(9, 200), createAnswer(4, 100)],
    fence: 9,
  },
  {
    name: 'a renewal, after an engine has refused the fence',
    events: [createAnswer(4, 0), createRefusal(4), createAnswer(4, 100)],
    fence: null,
  },
  {
    name: 'a refusal of an order of an earlier term, after a later term has begun',
    events: [
      createAnswer(4, 0),
      createAnswer(null, 0, true),
      createAnswer(9, 200),
      createRefusal(4),
    ],
    fence: 9,
  },
  {
    name: 'a renewal, after the lease is known to be lost',
    events: [createAnswer(4, 0), createAnswer(null, 0, true), createAnswer(4, 0)],
    fence: null,
  },
  {
    name: 'a renewal of the present term',
    events: [createAnswer(4, 0), createAnswer(4, 100)],
    fence: 4,
  },
  {
    name: 'a later term, after one that was lost',
    events: [createAnswer(4, 0), createAnswer(null, 0, true), createAnswer(9, 200)],
    fence: 9,
  },
];

describe('the fence of a controller', () => {
  it.each(CASES)('never goes back to an earlier term: $name', ({ events, fence }) => {
    const state = createVmState(SELF, DEFAULT_POLICY, 1, 0);
    events.forEach((event, i) => stepVm(state, event, 300 + i));
    expect(state.controller.fence).toBe(fence);
  });

  it('is not relied on for less time after an older answer', () => {
    const state = createVmState(SELF, DEFAULT_POLICY, 1, 0);
    [createAnswer(4, 0), createAnswer(4, 500)].forEach((event) => stepVm(state, event, 600));
    const { leaseValidUntilMs } = state.controller;
    stepVm(state, createAnswer(4, 100), 700);
    expect(state.controller.leaseValidUntilMs).toBe(leaseValidUntilMs);
  });
});
