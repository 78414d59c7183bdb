/**
 * Dispatches each event to its handler. The compiler checks that the handler table has an entry for
 * every kind of event.
 */
import {
  handleConfigurationReceived,
  handleConfigurationRejected,
} from './configurationHandlers.js';
import {
  handleControllerLeaseAnswered,
  handleControllerTick,
  handleOrderAnswered,
  handlePlanRead,
  handlePlanWriteAnswered,
} from './controller.js';
import {
  handleAnswerCompleted,
  handleAnswerSpoiled,
  handleAnswerStarted,
  handleClaimAnswered,
  handleDispatchFailed,
} from './dispatching.js';
import { type Command, EventKind, type EventOf, type VmEvent } from './events.js';
import { handleGossipReceived, handleGossipTick } from './gossip.js';
import { handleLoanRequested } from './lending.js';
import { handleStopRequested, handleStopTick } from './lifecycle.js';
import type { VmState } from './vmState.js';
import {
  handleCallerDisconnected,
  handleRequestArrived,
  handleRequestTimedOut,
} from './requestHandlers.js';
import { handleLoadPollFailed, handleLoadPollTick, handleLoadReported } from './serverHandlers.js';
import {
  handleShareTableRead,
  handleShareTick,
  handleShareWriteAnswered,
  handleStoreFailed,
  handleVmListRead,
} from './shareHandlers.js';
import { suspendShareIfIsolated } from './slices.js';
import { handleLoanAnswered, handleTokenWaitElapsed } from './tokenQueue.js';

/** Updates the state for one event and returns the resulting commands in execution order. */
export type EventHandler<K extends EventKind> = (
  state: VmState,
  event: EventOf<K>,
  nowMs: number,
) => Command[];

type HandlerTable = { readonly [K in EventKind]: EventHandler<K> };

const HANDLERS: HandlerTable = {
  [EventKind.RequestArrived]: handleRequestArrived,
  [EventKind.ClaimAnswered]: handleClaimAnswered,
  [EventKind.LoanAnswered]: handleLoanAnswered,
  [EventKind.TokenWaitElapsed]: handleTokenWaitElapsed,
  [EventKind.AnswerStarted]: handleAnswerStarted,
  [EventKind.AnswerCompleted]: handleAnswerCompleted,
  [EventKind.DispatchFailed]: handleDispatchFailed,
  [EventKind.AnswerSpoiled]: handleAnswerSpoiled,
  [EventKind.CallerDisconnected]: handleCallerDisconnected,
  [EventKind.RequestTimedOut]: handleRequestTimedOut,
  [EventKind.LoanRequested]: handleLoanRequested,
  [EventKind.GossipReceived]: handleGossipReceived,
  [EventKind.GossipTick]: handleGossipTick,
  [EventKind.ConfigurationReceived]: handleConfigurationReceived,
  [EventKind.ConfigurationRejected]: handleConfigurationRejected,
  [EventKind.ShareTick]: handleShareTick,
  [EventKind.ShareTableRead]: handleShareTableRead,
  [EventKind.ShareWriteAnswered]: handleShareWriteAnswered,
  [EventKind.StoreFailed]: handleStoreFailed,
  [EventKind.VmListRead]: handleVmListRead,
  [EventKind.LoadPollTick]: handleLoadPollTick,
  [EventKind.LoadReported]: handleLoadReported,
  [EventKind.LoadPollFailed]: handleLoadPollFailed,
  [EventKind.ControllerTick]: handleControllerTick,
  [EventKind.ControllerLeaseAnswered]: handleControllerLeaseAnswered,
  [EventKind.PlanRead]: handlePlanRead,
  [EventKind.PlanWriteAnswered]: handlePlanWriteAnswered,
  [EventKind.OrderAnswered]: handleOrderAnswered,
  [EventKind.StopRequested]: handleStopRequested,
  [EventKind.StopTick]: handleStopTick,
};

function handleEvent<K extends EventKind>(
  state: VmState,
  event: EventOf<K>,
  nowMs: number,
): Command[] {
  const handler: EventHandler<K> = HANDLERS[event.kind];
  return handler(state, event, nowMs);
}

/** Handles one event. The same state, event and time always produce the same commands. */
export function stepVm(state: VmState, event: VmEvent, nowMs: number): Command[] {
  suspendShareIfIsolated(state, nowMs);
  return handleEvent(state, event, nowMs);
}
