/**
 * Tests of the event loop on a clock that the tests advance.
 */
import { Effect, Fiber } from 'effect';
import { TestClock } from 'effect/testing';
import { describe, expect, it } from 'vitest';
import { type Command, CommandKind, EventKind } from '../../src/coordination/events.js';
import { type CommandTable, createLoop, type LoopRecord } from '../../src/coordination/loop.js';
import { createVmState } from '../../src/coordination/vmState.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { createTestDocument, createTestWorkspace } from '../fakes/documents.js';
import { createTestHead } from '../fakes/simulatedFleet.js';

const SELF = {
  vmId: 'vm',
  incarnation: '1',
  failureDomain: 'fd-a',
  peerAddress: 'vm',
  firstHeartbeat: 1,
};

const POLICY = { ...DEFAULT_POLICY, gossipIntervalMs: 500 };

const TIMER_KINDS: readonly CommandKind[] = [CommandKind.StartTimer, CommandKind.CancelTimer];

function createExecutors(executed: Command[]): CommandTable {
  const kinds = Object.values(CommandKind).filter((kind) => !TIMER_KINDS.includes(kind));
  const entries = kinds.map((kind) => [kind, (command: Command) => executed.push(command)]);
  return Object.fromEntries(entries) as CommandTable;
}

const TICK_CASES = [
  { name: 'no time passes', advanceMs: 0, tickCount: 1 },
  { name: 'one interval passes', advanceMs: 500, tickCount: 2 },
  { name: 'ten intervals pass', advanceMs: 5_000, tickCount: 11 },
];

describe('the event loop', () => {
  it.each(TICK_CASES)('fires timers when they are due: $name', async ({ advanceMs, tickCount }) => {
    const records: LoopRecord[] = [];
    const state = createVmState(SELF, POLICY, 1, 0);
    const loop = createLoop(state, createExecutors([]), (entry) => records.push(entry));
    const program = Effect.gen(function* run() {
      const fiber = yield* Effect.forkChild(loop.run);
      loop.post({ kind: EventKind.GossipTick });
      for (let passedMs = 0; passedMs < advanceMs; passedMs += 500) {
        yield* TestClock.adjust(500);
      }
      yield* TestClock.adjust(0);
      yield* Fiber.interrupt(fiber);
    });
    await Effect.runPromise(Effect.scoped(Effect.provide(program, TestClock.layer())));
    const ticks = records.filter(({ event }) => event.kind === EventKind.GossipTick);
    expect(ticks).toHaveLength(tickCount);
  });

  it('executes the commands of an event before it takes the next event', async () => {
    const executed: Command[] = [];
    const state = createVmState(SELF, POLICY, 1, 0);
    const loop = createLoop(state, createExecutors(executed));
    const document = createTestDocument({ workspaces: [createTestWorkspace('mill')] });
    const program = Effect.gen(function* run() {
      const fiber = yield* Effect.forkChild(loop.run);
      loop.post({ kind: EventKind.ConfigurationReceived, head: createTestHead(1), document });
      loop.post({ kind: EventKind.StopRequested });
      yield* TestClock.adjust(0);
      yield* Fiber.interrupt(fiber);
    });
    await Effect.runPromise(Effect.scoped(Effect.provide(program, TestClock.layer())));
    const kinds = executed.map(({ kind }) => kind);
    const readIndex = kinds.indexOf(CommandKind.ReadShareTable);
    expect(readIndex).toBeGreaterThanOrEqual(0);
    expect(kinds.lastIndexOf(CommandKind.SetReady)).toBeGreaterThan(readIndex);
  });
});
