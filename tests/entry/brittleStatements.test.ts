/**
 * Tests what a VM makes of the statements of servers that they are brittle: how long they hold, for which servers, and what the
 * other VMs are told.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { NO_EVIDENCE } from '../../src/protocol/entry/peerMessages.js';
import type { BrittleReport } from '../../src/state/entry/evidenceReports.js';
import { createPeerMessage, createTestEntry, createTestVm, findCommands } from './fixtures.js';

const NOW_MS = 10_000;

function state(
  backendId: string,
  maxRejectionsPerSecond: number | null,
  changes: object = {},
): EntryEvent {
  const kind = EntryEventKind.BrittlenessReported;
  const answer = { bornAtWallMs: 1, dispatchedAtMs: NOW_MS, ...changes };
  return { kind, backendId, maxRejectionsPerSecond, ...answer };
}

function tell(serverId: string, changes: Partial<BrittleReport> = {}): EntryEvent {
  const base = { serverId, bornAtWallMs: 1, maxRejectionsPerSecond: 3, version: 1 };
  const brittle = [{ ...base, fullUntilMs: null, ...changes }];
  const message = createPeerMessage({ evidence: { ...NO_EVIDENCE, brittle } });
  return { kind: EntryEventKind.PeerMessage, message, replyId: null };
}

function register(id: string, bornAtWallMs: number): EntryEvent {
  const entry = createTestEntry(id, 'llm', { bornAtWallMs });
  const changes = [{ id, revision: 90, entry }];
  const kind = EntryEventKind.BackendsRead;
  return { kind, isSnapshot: false, changes, revision: 90, source: 'test' };
}

const EARLIER = { dispatchedAtMs: NOW_MS - 1 };
const CASES: readonly {
  readonly name: string;
  readonly events: readonly EntryEvent[];
  /** What the VM takes e1 and e2, which are of one service, to bear. */
  readonly expected: readonly (number | null)[];
}[] = [
  { name: 'none', events: [], expected: [null, null] },
  { name: 'one of a server', events: [state('e1', 3)], expected: [3, 3] },
  { name: 'another number', events: [state('e1', 3), state('e1', 1)], expected: [1, 3] },
  { name: 'one each', events: [state('e1', 3), state('e2', 5)], expected: [3, 5] },
  {
    name: 'one of an earlier incarnation',
    events: [state('e1', 3, { bornAtWallMs: 0 })],
    expected: [null, null],
  },
  { name: 'one of an unknown server', events: [state('e9', 3)], expected: [null, null] },
  { name: 'one and its end', events: [state('e1', 3), state('e1', null)], expected: [null, 3] },
  {
    name: 'one and the end of both',
    events: [state('e1', 3), state('e1', null), state('e2', null)],
    expected: [null, null],
  },
  {
    name: 'one and an answer to an earlier request',
    events: [state('e1', 3), state('e1', null, EARLIER), state('e2', null, EARLIER)],
    expected: [3, 3],
  },
  { name: 'one from another VM', events: [tell('e1')], expected: [3, 3] },
  {
    name: 'one from another VM on an earlier incarnation',
    events: [tell('e1', { bornAtWallMs: 0 })],
    expected: [null, null],
  },
  {
    name: 'its end from another VM',
    events: [tell('e1'), tell('e1', { version: 2, maxRejectionsPerSecond: null })],
    expected: [null, 3],
  },
  {
    name: 'an earlier one from another VM',
    events: [state('e1', 3), state('e1', null), tell('e1')],
    expected: [null, 3],
  },
  {
    name: 'one and a new incarnation of the other server',
    events: [state('e1', 3), state('e2', null), register('e2', 2)],
    expected: [3, 3],
  },
  {
    name: 'one and an update of the other server, which has ended it',
    events: [state('e1', 3), state('e2', null), register('e2', 1)],
    expected: [3, null],
  },
  {
    name: 'one and the server itself, registered again',
    events: [state('e1', 3), register('e1', 1)],
    expected: [3, 3],
  },
];

describe('the statements of servers that they are brittle', () => {
  it.each(CASES)('hold for the incarnations until they end: $name', ({ events, expected }) => {
    const vm = createTestVm();
    events.forEach((event) => vm.step(event, NOW_MS));
    const known = ['e1', 'e2'].map(
      (id) => vm.state.backends.get(id)!.brittleness?.maxRejectionsPerSecond ?? null,
    );
    expect(known).toEqual(expected);
    const others = ['c1', 'c2'].map((id) => vm.state.backends.get(id)!.brittleness);
    expect(others).toEqual([null, null]);
  });

  it('let a server count as full for as long as a VM that it has rejected says, however often that is told', () => {
    const vm = createTestVm();
    const fullMs = 400;
    vm.step(tell('e1', { fullUntilMs: fullMs }), NOW_MS);
    const e1 = vm.state.backends.get('e1')!;
    expect(e1.fullUntilMs).toBe(NOW_MS + 350);
    for (let afterMs = 5; afterMs < 350; afterMs += 5) {
      const late = { fullUntilMs: e1.fullUntilMs - NOW_MS - afterMs + 5 };
      vm.step(tell('e1', late), NOW_MS + afterMs);
    }
    expect(e1.fullUntilMs).toBe(NOW_MS + 350);
  });

  it('are told to other VMs, with the server that an answer has named alone', () => {
    const vm = createTestVm();
    vm.step(state('e1', 3), NOW_MS);
    const kind = EntryEventKind.PeerMessage;
    const commands = vm.step({ kind, message: createPeerMessage(), replyId: 'q' }, NOW_MS + 5);
    const [reply] = findCommands(commands, EntryCommandKind.ReplyToPeer);
    expect(reply!.message.evidence.brittle).toEqual([
      { serverId: 'e1', bornAtWallMs: 1, maxRejectionsPerSecond: 3, version: 1, fullUntilMs: null },
    ]);
  });
});
