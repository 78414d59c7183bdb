/**
 * The one loop of a VM: a queue of events, handled one at a time in order of arrival. The orders that
 * an event leads to are carried out before the next event is taken. Nothing spins: while the queue is
 * empty, the loop's fiber sleeps.
 */
import { Clock, Effect, Fiber, Queue } from 'effect';
import { type Command, CommandKind, type CommandOf, type NodeEvent } from './events.js';
import { stepNode } from './handlers.js';
import type { NodeState } from './nodeState.js';

const NANOS_PER_MS = 1_000_000n;

/** Carries out one kind of order. Must not block; later news comes back as events. */
export type CommandExecutor<K extends CommandKind> = (command: CommandOf<K>) => void;

/** Orders that the loop carries out itself. */
type TimerCommandKind = typeof CommandKind.StartTimer | typeof CommandKind.CancelTimer;
type TimerTable = { readonly [K in TimerCommandKind]: CommandExecutor<K> };

/** Executors for all other orders, supplied by the outer layers. */
export type CommandTable = {
  readonly [K in Exclude<CommandKind, TimerCommandKind>]: CommandExecutor<K>;
};

/** One handled event, for recorded sessions. */
export interface LoopRecord {
  readonly nowMs: number;
  readonly event: NodeEvent;
  readonly commands: readonly Command[];
}

/** The loop as the outer layers hold it. */
export interface Loop {
  readonly post: (event: NodeEvent) => void;
  /** Runs until interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Returns the time of a clock in whole milliseconds. Its origin means nothing to other VMs. */
export function readClockMs(clock: Clock.Clock): number {
  return Number(clock.monotonicTimeNanosUnsafe() / NANOS_PER_MS);
}

/** Reads the runtime's monotonic clock, which no change of the wall clock moves. */
export const getNowMs: Effect.Effect<number> = Clock.clockWith((clock) =>
  Effect.sync(() => readClockMs(clock)),
);

type Fork = (effect: Effect.Effect<void>) => Fiber.Fiber<void>;

function createTimerTable(fork: Fork, post: (event: NodeEvent) => void): TimerTable {
  const timers = new Map<string, Fiber.Fiber<void>>();
  const cancel = (timerId: string): void => {
    timers.get(timerId)?.interruptUnsafe();
    timers.delete(timerId);
  };
  return {
    [CommandKind.StartTimer]: ({ delayMs, event, timerId }) => {
      cancel(timerId);
      const fire = Effect.sync(() => {
        timers.delete(timerId);
        post(event);
      });
      timers.set(timerId, fork(Effect.delay(fire, delayMs)));
    },
    [CommandKind.CancelTimer]: ({ timerId }) => cancel(timerId),
  };
}

function execute<K extends CommandKind>(
  table: { readonly [P in CommandKind]: CommandExecutor<P> },
  command: CommandOf<K>,
): void {
  const executor: CommandExecutor<K> = table[command.kind];
  executor(command);
}

/**
 * Creates the loop over a state.
 *
 * @param record Called after each event, if sessions are recorded.
 */
export function createLoop(
  state: NodeState,
  executors: CommandTable,
  record: (entry: LoopRecord) => void = () => {},
): Loop {
  const queue = Effect.runSync(Queue.unbounded<NodeEvent>());
  const post = (event: NodeEvent): void => {
    Queue.offerUnsafe(queue, event);
  };
  const run = Effect.gen(function* runLoop() {
    const context = yield* Effect.context();
    const timers = createTimerTable(Effect.runForkWith(context), post);
    const table = { ...executors, ...timers };
    while (true) {
      const event = yield* Queue.take(queue);
      const nowMs = yield* getNowMs;
      const commands = stepNode(state, event, nowMs);
      record({ nowMs, event, commands });
      commands.forEach((command) => execute(table, command));
    }
  });
  return { post, run };
}
