/**
 * The lookup table that maps each kind of event of an entry VM to its handler.
 */
import { handleAdapterAnswered } from './adapterAnswers.js';
import {
  handleCallerLeft,
  handleRateLent,
  handleRequestArrived,
  handleRequestDue,
} from './arrivals.js';
import {
  continueControl,
  handleAdapterAsked,
  handleControllerAnswered,
  handleControllerRead,
  handleControllerTick,
  handleEngineReported,
  handleOrderAnswered,
  handleSuspended,
} from './controller.js';
import {
  handleBackendsRead,
  handleConfigurationRead,
  handleStoreAccess,
  handleVmsRead,
} from './discovery.js';
import type { EntryCommand } from './commands.js';
import { type EntryEvent, EntryEventKind, type EntryEventOf } from './events.js';
import {
  handleAnswerBegun,
  handleAnswerCompleted,
  handleAnswerReady,
  handleAttemptFailed,
  handleAttemptSilent,
} from './attempts.js';
import { handleWaitDue } from './forwarding.js';
import {
  handleSettingsRead,
  handleStopRequested,
  handleStopStep,
  handleTick,
} from './lifecycle.js';
import { handlePeerMessage, handlePeerTick } from './peers.js';
import { handleRateAsked } from './rateLoans.js';
import type { EntryState } from './state.js';

type EntryHandler<K extends EntryEventKind> = (
  state: EntryState,
  event: EntryEventOf<K>,
  nowMs: number,
) => EntryCommand[];

type EntryHandlerTable = { readonly [K in EntryEventKind]: EntryHandler<K> };

const HANDLERS: EntryHandlerTable = {
  [EntryEventKind.RequestArrived]: handleRequestArrived,
  [EntryEventKind.CallerLeft]: handleCallerLeft,
  [EntryEventKind.RequestDue]: handleRequestDue,
  [EntryEventKind.WaitDue]: handleWaitDue,
  [EntryEventKind.AnswerBegun]: handleAnswerBegun,
  [EntryEventKind.AnswerReady]: handleAnswerReady,
  [EntryEventKind.AnswerCompleted]: handleAnswerCompleted,
  [EntryEventKind.AttemptFailed]: handleAttemptFailed,
  [EntryEventKind.AttemptSilent]: handleAttemptSilent,
  [EntryEventKind.ConfigurationRead]: handleConfigurationRead,
  [EntryEventKind.BackendsRead]: (state, event, nowMs) => [
    ...handleBackendsRead(state, event, nowMs),
    ...continueControl(state, nowMs),
  ],
  [EntryEventKind.VmsRead]: handleVmsRead,
  [EntryEventKind.StoreAccess]: handleStoreAccess,
  [EntryEventKind.Tick]: handleTick,
  [EntryEventKind.PeerMessage]: handlePeerMessage,
  [EntryEventKind.PeerTick]: handlePeerTick,
  [EntryEventKind.AdapterAsked]: handleAdapterAsked,
  [EntryEventKind.AdapterAnswered]: handleAdapterAnswered,
  [EntryEventKind.RateAsked]: handleRateAsked,
  [EntryEventKind.RateLent]: handleRateLent,
  [EntryEventKind.ControllerTick]: handleControllerTick,
  [EntryEventKind.ControllerRead]: handleControllerRead,
  [EntryEventKind.ControllerAnswered]: handleControllerAnswered,
  [EntryEventKind.OrderAnswered]: handleOrderAnswered,
  [EntryEventKind.EngineReported]: handleEngineReported,
  [EntryEventKind.Suspended]: handleSuspended,
  [EntryEventKind.SettingsRead]: handleSettingsRead,
  [EntryEventKind.StopRequested]: handleStopRequested,
  [EntryEventKind.StopStep]: handleStopStep,
};

function handleEntryEvent<K extends EntryEventKind>(
  state: EntryState,
  event: EntryEventOf<K>,
  nowMs: number,
): EntryCommand[] {
  const handler: EntryHandler<K> = HANDLERS[event.kind];
  return handler(state, event, nowMs);
}

/** Handles one event. The same state, event and time always give the same commands. */
export function stepEntry(state: EntryState, event: EntryEvent, nowMs: number): EntryCommand[] {
  return handleEntryEvent(state, event, nowMs);
}
