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
export interface LoopRecord<E = NodeEvent, C = Command> {
  readonly nowMs: number;
  readonly event: E;
  readonly commands: readonly C[];
}

/** The loop as the outer layers hold it. */
export interface Loop<E = NodeEvent> {
  readonly post: (event: E) => void;
  /** Runs until interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Timers that post an event when they are due; starting one anew replaces it. */
export interface LoopTimers<E> {
  readonly start: (timerId: string, delayMs: number, event: E) => void;
  readonly cancel: (timerId: string) => void;
}

/** What makes a loop: the decisions, and what carries out the orders that they lead to. */
export interface LoopParts<S, E, C> {
  readonly state: S;
  /** Decides. Given the same state, event and time, it returns the same orders. */
  readonly step: (state: S, event: E, nowMs: number) => readonly C[];
  readonly execute: (command: C, timers: LoopTimers<E>) => void;
  /** Called after each event, if sessions are recorded. */
  readonly record?: (entry: LoopRecord<E, C>) => void;
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

function createTimers<E>(fork: Fork, post: (event: E) => void): LoopTimers<E> {
  const timers = new Map<string, Fiber.Fiber<void>>();
  const cancel = (timerId: string): void => {
    timers.get(timerId)?.interruptUnsafe();
    timers.delete(timerId);
  };
  return {
    start: (timerId, delayMs, event) => {
      cancel(timerId);
      const fire = Effect.sync(() => {
        timers.delete(timerId);
        post(event);
      });
      timers.set(timerId, fork(Effect.delay(fire, delayMs)));
    },
    cancel,
  };
}

/** Creates a loop over any state, its events and its orders. */
export function createEventLoop<S, E, C>(parts: LoopParts<S, E, C>): Loop<E> {
  const { execute, record, state, step } = parts;
  const queue = Effect.runSync(Queue.unbounded<E>());
  const post = (event: E): void => {
    Queue.offerUnsafe(queue, event);
  };
  const run = Effect.gen(function* runLoop() {
    const context = yield* Effect.context();
    const timers = createTimers(Effect.runForkWith(context), post);
    while (true) {
      const event = yield* Queue.take(queue);
      const nowMs = yield* getNowMs;
      const commands = step(state, event, nowMs);
      record?.({ nowMs, event, commands });
      commands.forEach((command) => execute(command, timers));
    }
  });
  return { post, run };
}

function executeCommand<K extends CommandKind>(
  table: { readonly [P in CommandKind]: CommandExecutor<P> },
  command: CommandOf<K>,
): void {
  const executor: CommandExecutor<K> = table[command.kind];
  executor(command);
}

/**
 * Creates the loop over a VM's state.
 *
 * @param record Called after each event, if sessions are recorded.
 */
export function createLoop(
  state: NodeState,
  executors: CommandTable,
  record: (entry: LoopRecord) => void = () => {},
): Loop {
  let table: (CommandTable & TimerTable) | null = null;
  const execute = (command: Command, timers: LoopTimers<NodeEvent>): void => {
    table ??= {
      ...executors,
      [CommandKind.StartTimer]: ({ delayMs, event, timerId }) =>
        timers.start(timerId, delayMs, event),
      [CommandKind.CancelTimer]: ({ timerId }) => timers.cancel(timerId),
    };
    executeCommand(table, command);
  };
  return createEventLoop({ state, step: stepNode, execute, record });
}
