/**
 * Tests that a backend server that has asked for a pause gets nothing until the pause has ended, that requests go elsewhere,
 * wait or are rejected at once, and that the server is not overrun afterwards.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { RunStatus } from '../../src/state/types.js';
import {
  createPeerMessage,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;
/** The longest pause that is kept. */
const MAX_PAUSE_MS = 300_000;

function ask(backendId: string, pauseMs: number | null, changes: object = {}): EntryEvent {
  return {
    kind: EntryEventKind.ServerStated,
    backendId,
    bornAtWallMs: 1,
    requestName: 'caller-r',
    isLeaving: false,
    pauseMs,
    isMalformed: false,
    ...changes,
  };
}

function pause(vm: TestVm, ids: readonly string[], pauseMs: number): void {
  ids.forEach((id) => vm.step(ask(id, pauseMs), NOW_MS));
}

/** Sends some requests, and returns the servers that they were dispatched to. */
function send(vm: TestVm, path: string, nowMs: number, count = 12): Set<string> {
  const commands = Array.from({ length: count }, (_, i) =>
    vm.receiveRequest(createTestRequest(`${path} ${nowMs} ${i}`, path), nowMs),
  ).flat();
  const dispatches = findCommands(commands, EntryCommandKind.Dispatch);
  return new Set(dispatches.map(({ backendId }) => backendId));
}

const PAUSES = [
  { name: 'one pause', asks: [ask('c1', 2_000)], endsAfterMs: 2_000 },
  { name: 'a longer one after it', asks: [ask('c1', 2_000), ask('c1', 5_000)], endsAfterMs: 5_000 },
  { name: 'a shorter one after it', asks: [ask('c1', 2_000), ask('c1', 100)], endsAfterMs: 2_000 },
  {
    name: 'an answer without one after it',
    asks: [ask('c1', 2_000), ask('c1', null)],
    endsAfterMs: 2_000,
  },
  { name: 'a year', asks: [ask('c1', 31_536_000_000)], endsAfterMs: MAX_PAUSE_MS },
  {
    name: 'that of an earlier incarnation',
    asks: [ask('c1', 2_000, { bornAtWallMs: 0 })],
    endsAfterMs: 0,
  },
];

describe('a server that asks for a pause', () => {
  it.each(PAUSES)('gets no requests until the pause has ended: $name', ({ asks, endsAfterMs }) => {
    const vm = createTestVm();
    asks.forEach((event) => vm.step(event, NOW_MS));
    if (endsAfterMs > 0) {
      expect(send(vm, '/lookup/x', NOW_MS + 10)).toEqual(new Set(['c2']));
      expect(send(vm, '/lookup/x', NOW_MS + endsAfterMs - 1)).toEqual(new Set(['c2']));
    }
    expect(send(vm, '/lookup/x', NOW_MS + endsAfterMs + 10)).toContain('c1');
  });

  it('is not paused for other VMs', () => {
    const vm = createTestVm();
    pause(vm, ['c1'], 2_000);
    const kind = EntryEventKind.PeerMessage;
    const commands = vm.step({ kind, message: createPeerMessage(), replyId: 'q' });
    expect(JSON.stringify(findCommands(commands, EntryCommandKind.ReplyToPeer))).not.toContain(
      'c1',
    );
  });

  it('gets what is left of the pause after this VM was suspended', () => {
    const vm = createTestVm();
    pause(vm, ['c1'], 5_000);
    vm.step({ kind: EntryEventKind.Suspended, lostMs: 4_000 }, NOW_MS + 10);
    expect(send(vm, '/lookup/x', NOW_MS + 900)).toEqual(new Set(['c2']));
    expect(send(vm, '/lookup/x', NOW_MS + 1_100)).toContain('c1');
  });

  it('gets requests one by one after the pause', () => {
    const vm = createTestVm();
    pause(vm, ['e1', 'e2'], 1_000);
    send(vm, '/draft/x', NOW_MS + 10, 40);
    const dispatchedMs: number[] = [];
    for (let afterMs = 20; afterMs < 1_600; afterMs += 10) {
      const nowMs = NOW_MS + afterMs;
      const commands = vm.step({ kind: EntryEventKind.MaintenanceTick }, nowMs);
      findCommands(commands, EntryCommandKind.Dispatch).forEach(() => dispatchedMs.push(afterMs));
    }
    expect(Math.min(...dispatchedMs)).toBeGreaterThanOrEqual(1_000);
    const first = dispatchedMs.filter((afterMs) => afterMs < 1_100);
    expect(first.length).toBeLessThanOrEqual(2 * 3);
    expect(dispatchedMs.length).toBeGreaterThan(10);
  });

  it('gets no orders', () => {
    const vm = createTestVm();
    const kind = EntryEventKind.ControllerLeaseAnswered;
    vm.step({ kind, fence: 9, isLost: false, sentAtMs: NOW_MS }, NOW_MS);
    pause(vm, ['e1', 'e2'], 1_500);
    const run = (afterMs: number) =>
      vm
        .step({ kind: EntryEventKind.ControllerTick }, NOW_MS + afterMs)
        .filter(
          (command) =>
            command.kind === EntryCommandKind.ReadEngineReport ||
            command.kind === EntryCommandKind.SendOrder,
        );
    expect(run(500)).toEqual([]);
    expect(run(1_600).length).toBeGreaterThan(0);
  });
});

const WAITS = [
  { name: 'within the time that it may wait', pauseMs: 1_000, isRejected: false },
  { name: 'later', pauseMs: 20_000, isRejected: true },
];

describe('a request whose servers all pause', () => {
  it.each(WAITS)('waits, or is rejected at once as not run: they can be used $name', (testCase) => {
    const { isRejected, pauseMs } = testCase;
    const vm = createTestVm();
    pause(vm, ['e1', 'e2'], pauseMs);
    const commands = vm.receiveRequest(createTestRequest('r', '/draft/x'), NOW_MS + 10);
    const refusals = findCommands(commands, EntryCommandKind.Refuse).map(({ refusal }) => refusal);
    expect(findCommands(commands, EntryCommandKind.Dispatch)).toEqual([]);
    expect(refusals.length).toBe(isRejected ? 1 : 0);
    refusals.forEach((refusal) => {
      expect(getForwardRefusalStatus(refusal)).toBe(503);
      expect(refusal.run).toBe(RunStatus.NotRun);
      expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(pauseMs - 10);
      expect(refusal.retryAfterMs).toBeLessThan(pauseMs + 1_000);
    });
  });
});
