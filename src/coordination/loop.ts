/**
 * The event loop of a VM. It handles queued events one at a time in order of arrival and executes the
 * commands of each event before it takes the next. While the queue is empty, the loop's fiber is
 * suspended and uses no CPU.
 */
import { Clock, Effect, Fiber, Queue } from 'effect';
import { type Command, CommandKind, type CommandOf, type VmEvent } from './events.js';
import { stepVm } from './handlers.js';
import type { VmState } from './vmState.js';

const NANOS_PER_MS = 1_000_000n;

/** Executes one kind of command. Must not block; results are posted to the loop as events. */
export type CommandExecutor<K extends CommandKind> = (command: CommandOf<K>) => void;

/** Commands that the loop executes itself. */
type TimerCommandKind = typeof CommandKind.StartTimer | typeof CommandKind.CancelTimer;
type TimerTable = { readonly [K in TimerCommandKind]: CommandExecutor<K> };

/** Executors for all other commands, supplied by the transport layer. */
export type CommandTable = {
  readonly [K in Exclude<CommandKind, TimerCommandKind>]: CommandExecutor<K>;
};

/** One handled event and its commands, for recorded sessions. */
export interface LoopRecord<E = VmEvent, C = Command> {
  readonly nowMs: number;
  readonly event: E;
  readonly commands: readonly C[];
}

/** The interface of the event loop to other layers. */
export interface Loop<E = VmEvent> {
  readonly post: (event: E) => void;
  /** Runs until interrupted. */
  readonly run: Effect.Effect<never>;
}

/** Timers that post an event when they fire. Starting a timer replaces a pending one of its id. */
export interface LoopTimers<E> {
  readonly start: (timerId: string, delayMs: number, event: E) => void;
  readonly cancel: (timerId: string) => void;
}

/** The state of an event loop and the functions that handle its events and execute its commands. */
export interface LoopOptions<S, E, C> {
  readonly state: S;
  /** Handles one event. The same state, event and time always produce the same commands. */
  readonly step: (state: S, event: E, nowMs: number) => readonly C[];
  readonly execute: (command: C, timers: LoopTimers<E>) => void;
  /** Called after each event, if sessions are recorded. */
  readonly record?: (entry: LoopRecord<E, C>) => void;
  /** Called if the handler of an event or the executor of a command throws; the loop then goes on. */
  readonly onError?: (event: E, error: unknown) => void;
}

/** Returns the monotonic time of a clock in whole milliseconds. Its origin differs between VMs. */
export function readClockMs(clock: Clock.Clock): number {
  return Number(clock.monotonicTimeNanosUnsafe() / NANOS_PER_MS);
}

/** Returns the same time with the resolution of the clock, for the measurement of short durations. */
export function readPreciseClockMs(clock: Clock.Clock): number {
  return Number(clock.monotonicTimeNanosUnsafe()) / Number(NANOS_PER_MS);
}

/** Reads the runtime's monotonic clock, which changes of the wall clock do not affect. */
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

/** Creates an event loop for any type of state, event and command. */
export function createEventLoop<S, E, C>(parts: LoopOptions<S, E, C>): Loop<E> {
  const { execute, onError, record, state, step } = parts;
  const queue = Effect.runSync(Queue.unbounded<E>());
  const post = (event: E): void => {
    Queue.offerUnsafe(queue, event);
  };
  /** Runs one part of the work for an event. A failure there is not allowed to end the process and all other requests. */
  const guard = <T>(event: E, fallback: T, work: () => T): T => {
    try {
      return work();
    } catch (error) {
      if (onError === undefined) {
        throw error;
      }
      onError(event, error);
      return fallback;
    }
  };
  const handle = (event: E, nowMs: number, timers: LoopTimers<E>): void => {
    const commands = guard<readonly C[]>(event, [], () => step(state, event, nowMs));
    record?.({ nowMs, event, commands });
    commands.forEach((command) => guard(event, undefined, () => execute(command, timers)));
  };
  const run = Effect.gen(function* runLoop() {
    const context = yield* Effect.context();
    const timers = createTimers(Effect.runForkWith(context), post);
    while (true) {
      const event = yield* Queue.take(queue);
      const nowMs = yield* getNowMs;
      handle(event, nowMs, timers);
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
 * Creates the event loop of a VM.
 *
 * @param record Called after each event, if sessions are recorded.
 */
export function createLoop(
  state: VmState,
  executors: CommandTable,
  record: (entry: LoopRecord) => void = () => {},
): Loop {
  let table: (CommandTable & TimerTable) | null = null;
  const execute = (command: Command, timers: LoopTimers<VmEvent>): void => {
    table ??= {
      ...executors,
      [CommandKind.StartTimer]: ({ delayMs, event, timerId }) =>
        timers.start(timerId, delayMs, event),
      [CommandKind.CancelTimer]: ({ timerId }) => timers.cancel(timerId),
    };
    executeCommand(table, command);
  };
  return createEventLoop({ state, step: stepVm, execute, record });
}
