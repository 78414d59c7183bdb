/**
 * The run state of one dispatch. A request may be sent again, and a refusal may say "not run", only
 * from a state that proves that no backend server has begun it.
 */
import { RunClaim, RunState } from './types.js';

/** What the transport learns about a dispatch. */
export const DispatchSignal = {
  BytesWritten: 'bytesWritten',
  HeadersReceived: 'headersReceived',
  BodyReceived: 'bodyReceived',
  EndReceived: 'endReceived',
} as const;
export type DispatchSignal = (typeof DispatchSignal)[keyof typeof DispatchSignal];

const RUN_STATE_RANKS: Readonly<Record<RunState, number>> = {
  [RunState.NotSent]: 0,
  [RunState.MaybeSent]: 1,
  [RunState.Accepted]: 2,
  [RunState.Streaming]: 3,
  [RunState.Done]: 4,
};

const SIGNAL_TARGETS: Readonly<Record<DispatchSignal, RunState>> = {
  [DispatchSignal.BytesWritten]: RunState.MaybeSent,
  [DispatchSignal.HeadersReceived]: RunState.Accepted,
  [DispatchSignal.BodyReceived]: RunState.Streaming,
  [DispatchSignal.EndReceived]: RunState.Done,
};

/** Moves a run state forward; a late signal never moves it back. */
export function advanceRunState(current: RunState, signal: DispatchSignal): RunState {
  const next = SIGNAL_TARGETS[signal];
  return RUN_STATE_RANKS[next] > RUN_STATE_RANKS[current] ? next : current;
}

/** Tells what may be claimed of a request whose dispatch ended in this state without an answer. */
export function getRunClaim(state: RunState): RunClaim {
  return state === RunState.NotSent ? RunClaim.NotRun : RunClaim.Unknown;
}

/** Combines the claims of several dispatches of one request. */
export function combineRunClaims(a: RunClaim, b: RunClaim): RunClaim {
  return a === RunClaim.NotRun && b === RunClaim.NotRun ? RunClaim.NotRun : RunClaim.Unknown;
}
