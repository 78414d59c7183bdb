/**
 * Tracks how far one dispatch has progressed. A dispatch is known not to have run only in a state which proves that
 * no backend server has begun the request. On this depends whether a request that is not idempotent may be sent
 * again, and whether a refusal may report "not run".
 */
import { RunStatus, RunState } from './types.js';

/** The signals by which the transport reports the progress of a dispatch. */
export const DispatchSignal = {
  BytesWritten: 'bytesWritten',
  HeadersReceived: 'headersReceived',
  BodyReceived: 'bodyReceived',
  EndReceived: 'endReceived',
} as const;
export type DispatchSignal = (typeof DispatchSignal)[keyof typeof DispatchSignal];

const STATE_RANKS: Readonly<Record<RunState, number>> = {
  [RunState.NotSent]: 0,
  [RunState.MaybeSent]: 1,
  [RunState.Accepted]: 2,
  [RunState.Streaming]: 3,
  [RunState.Done]: 4,
};

const STATE_AFTER_SIGNAL: Readonly<Record<DispatchSignal, RunState>> = {
  [DispatchSignal.BytesWritten]: RunState.MaybeSent,
  [DispatchSignal.HeadersReceived]: RunState.Accepted,
  [DispatchSignal.BodyReceived]: RunState.Streaming,
  [DispatchSignal.EndReceived]: RunState.Done,
};

/** Returns the state after a signal. A signal that is reported late never moves the state back. */
export function advanceRunState(current: RunState, signal: DispatchSignal): RunState {
  const next = STATE_AFTER_SIGNAL[signal];
  return STATE_RANKS[next] > STATE_RANKS[current] ? next : current;
}

/** Returns what is known about the execution of a dispatch that ended in this state without an answer. */
export function getRunStatus(state: RunState): RunStatus {
  return state === RunState.NotSent ? RunStatus.NotRun : RunStatus.Unknown;
}

/** Combines what is known about two dispatches of a request: `NotRun` only if neither has run. */
export function combineRunStatuses(a: RunStatus, b: RunStatus): RunStatus {
  return a === RunStatus.NotRun && b === RunStatus.NotRun ? RunStatus.NotRun : RunStatus.Unknown;
}
