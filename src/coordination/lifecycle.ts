/**
 * The planned stop: not ready, then refusing new requests, then gone once the last answer is out.
 */
import {
  type Command,
  CommandKind,
  createLog,
  createTickTimer,
  EventKind,
  type EventOf,
  LogLevel,
  Part,
} from './events.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { reconcileShares } from './shareHandlers.js';

/** How long a stopping VM waits for the store to take its share back. */
const MAX_RELEASE_MS = 2_000;

function startStopTimer(state: NodeState): Command {
  return createTickTimer(EventKind.StopTick, state.policy.stopPollMs);
}

function enterLifecycle(state: NodeState, next: Lifecycle, nowMs: number): void {
  state.lifecycle = next;
  state.lifecycleSinceMs = nowMs;
}

/** Starts the stop. Requests are still taken, for the balancer needs time to see "not ready". */
export function handleStopRequested(
  state: NodeState,
  _event: EventOf<typeof EventKind.StopRequested>,
  nowMs: number,
): Command[] {
  if (state.lifecycle !== Lifecycle.Running) {
    return [];
  }
  enterLifecycle(state, Lifecycle.Unready, nowMs);
  return [
    { kind: CommandKind.SetReady, isReady: false },
    createLog(LogLevel.Info, Part.Lifecycle, 'A planned stop began.'),
    startStopTimer(state),
  ];
}

type LifecycleStep = (state: NodeState, nowMs: number) => Command[];

function stepUnready(state: NodeState, nowMs: number): Command[] {
  if (nowMs - state.lifecycleSinceMs >= state.policy.unreadyMs) {
    enterLifecycle(state, Lifecycle.Draining, nowMs);
  }
  return [startStopTimer(state)];
}

function stepDraining(state: NodeState, nowMs: number): Command[] {
  const isOver = nowMs - state.lifecycleSinceMs >= state.policy.drainTimeoutMs;
  if (state.requests.size > 0 && !isOver) {
    return [startStopTimer(state)];
  }
  enterLifecycle(state, Lifecycle.Releasing, nowMs);
  const openRequests = state.requests.size;
  return [
    createLog(LogLevel.Info, Part.Lifecycle, 'The drain has ended.', { openRequests }),
    ...reconcileShares(state, nowMs),
    startStopTimer(state),
  ];
}

/** Waits for the share to be given back, but not for a store that does not answer. */
function stepReleasing(state: NodeState, nowMs: number): Command[] {
  const isOver = nowMs - state.lifecycleSinceMs >= MAX_RELEASE_MS;
  if (state.share.isWriting && !isOver) {
    return [startStopTimer(state)];
  }
  enterLifecycle(state, Lifecycle.Stopped, nowMs);
  return [{ kind: CommandKind.Exit }];
}

const LIFECYCLE_STEPS: Readonly<Record<Lifecycle, LifecycleStep>> = {
  [Lifecycle.Running]: () => [],
  [Lifecycle.Unready]: stepUnready,
  [Lifecycle.Draining]: stepDraining,
  [Lifecycle.Releasing]: stepReleasing,
  [Lifecycle.Stopped]: () => [],
};

/** Takes the stop one step further. */
export function handleStopTick(
  state: NodeState,
  _event: EventOf<typeof EventKind.StopTick>,
  nowMs: number,
): Command[] {
  return LIFECYCLE_STEPS[state.lifecycle](state, nowMs);
}
