/**
 * Graceful shutdown. The VM first reports that it is not ready, then refuses new requests while open
 * requests complete, then releases its share of the workspace limits and exits.
 */
import {
  type Command,
  CommandKind,
  createLog,
  createTickTimer,
  EventKind,
  type EventOf,
  LogLevel,
  LogPrefix,
} from './events.js';
import { Lifecycle, type VmState } from './vmState.js';
import { reconcileShares } from './shareHandlers.js';

/** Longest wait for the store to confirm the release of this VM's share. */
const MAX_RELEASE_WAIT_MS = 2_000;

function createStopTickTimer(state: VmState): Command {
  return createTickTimer(EventKind.StopTick, state.policy.stopCheckIntervalMs);
}

function enterLifecycle(state: VmState, next: Lifecycle, nowMs: number): void {
  state.lifecycle = next;
  state.lifecycleSinceMs = nowMs;
}

/**
 * Starts graceful shutdown. Requests are still accepted, since the load balancer needs time to observe
 * that this VM is not ready.
 */
export function handleStopRequested(
  state: VmState,
  _event: EventOf<typeof EventKind.StopRequested>,
  nowMs: number,
): Command[] {
  if (state.lifecycle !== Lifecycle.Running) {
    return [];
  }
  enterLifecycle(state, Lifecycle.Unready, nowMs);
  return [
    { kind: CommandKind.SetReady, isReady: false },
    createLog(LogLevel.Info, LogPrefix.Lifecycle, 'A graceful shutdown has started.'),
    createStopTickTimer(state),
  ];
}

type LifecycleStep = (state: VmState, nowMs: number) => Command[];

function stepUnready(state: VmState, nowMs: number): Command[] {
  if (nowMs - state.lifecycleSinceMs >= state.policy.unreadyMs) {
    enterLifecycle(state, Lifecycle.Draining, nowMs);
  }
  return [createStopTickTimer(state)];
}

function stepDraining(state: VmState, nowMs: number): Command[] {
  const isTimedOut = nowMs - state.lifecycleSinceMs >= state.policy.drainTimeoutMs;
  if (state.requests.size > 0 && !isTimedOut) {
    return [createStopTickTimer(state)];
  }
  enterLifecycle(state, Lifecycle.Releasing, nowMs);
  const openRequests = state.requests.size;
  return [
    createLog(LogLevel.Info, LogPrefix.Lifecycle, 'The drain has ended.', { openRequests }),
    ...reconcileShares(state, nowMs),
    createStopTickTimer(state),
  ];
}

/** Waits for the share to be released, up to a limit in case the store does not respond. */
function stepReleasing(state: VmState, nowMs: number): Command[] {
  const isTimedOut = nowMs - state.lifecycleSinceMs >= MAX_RELEASE_WAIT_MS;
  if (state.share.isWriting && !isTimedOut) {
    return [createStopTickTimer(state)];
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

/** Advances graceful shutdown by one step. */
export function handleStopTick(
  state: VmState,
  _event: EventOf<typeof EventKind.StopTick>,
  nowMs: number,
): Command[] {
  return LIFECYCLE_STEPS[state.lifecycle](state, nowMs);
}
