/**
 * The lookup table that maps each kind of event of an entry VM to its handler.
 */
import { handleAdapterRequestAnswered } from './placement/adapterAnswers.js';
import {
  handleCallerDisconnected,
  handleRequestArrived,
  handleRequestDeadlineReached,
} from './requests/admission.js';
import {
  runControllerIfActive,
  handleAdapterRequested,
  handleControllerLeaseAnswered,
  handleControllerLeaseRead,
  handleControllerTick,
  handleEngineReported,
  handleOrderAnswered,
  handleSuspended,
} from './placement/controller.js';
import {
  handleBackendsRead,
  handleConfigurationRead,
  handleStoreReachabilityRead,
  handleVmsRead,
} from './servers/discovery.js';
import type { EntryCommand } from './commands.js';
import { type EntryEvent, EntryEventKind, type EntryEventOf } from './events.js';
import {
  handleAnswerStarted,
  handleAnswerCompleted,
  handleAnswerReady,
  handleAttemptFailed,
  handleAttemptStalled,
} from './requests/attempts.js';
import { handleStreamSpoiled } from './requests/spoiledStreams.js';
import { handleStreamOriginsWritten } from './requests/streamOriginWrites.js';
import {
  forgetPast,
  handleStoreContentsRead,
  handleStreamOriginsRead,
  handleStreamOriginsTick,
  resumeConfirmed,
} from './requests/streamVersions.js';
import { handleUnframedAnswerEnded } from './requests/unframedEnds.js';
import { handleWaitTimedOut } from './requests/forwarding.js';
import { handleServerStated } from './servers/serverStatements.js';
import {
  handleSettingsRead,
  handleStopRequested,
  handleStopStep,
  handleMaintenanceTick,
} from './lifecycle.js';
import { handleBackendProbed } from './evidence/crashDetection.js';
import {
  handleEvidenceSpread,
  handlePeerCallFailed,
  handlePeerMessage,
  handlePeerTick,
  handleStoreChangesTick,
} from './exchange/gossip.js';
import { handleStoreContentsAged } from './exchange/relays.js';
import { handleStoreRestored } from './servers/restoredStore.js';
import { handleQuarantinesRead } from './evidence/quarantineStore.js';
import { handleLoanAnswered, handleLoanRequested } from './limits/loans.js';
import { handleLimitReported } from './limits/serverLimits.js';
import { handleEvacuationsRead } from './servers/evacuations.js';
import { handleBrittlenessReported } from './servers/brittleServers.js';
import { handlePassedRequestArrived } from './requests/passedAdmission.js';
import { handleReachProbed, handleReachTick } from './servers/serviceReach.js';
import type { EntryState } from './state.js';

type EntryHandler<K extends EntryEventKind> = (
  state: EntryState,
  event: EntryEventOf<K>,
  nowMs: number,
) => EntryCommand[];

type EntryHandlerTable = { readonly [K in EntryEventKind]: EntryHandler<K> };

const HANDLERS: EntryHandlerTable = {
  [EntryEventKind.RequestArrived]: handleRequestArrived,
  [EntryEventKind.PassedRequestArrived]: handlePassedRequestArrived,
  [EntryEventKind.ReachTick]: handleReachTick,
  [EntryEventKind.CallerDisconnected]: handleCallerDisconnected,
  [EntryEventKind.RequestDeadlineReached]: handleRequestDeadlineReached,
  [EntryEventKind.WaitTimedOut]: handleWaitTimedOut,
  [EntryEventKind.AnswerStarted]: handleAnswerStarted,
  [EntryEventKind.AnswerReady]: handleAnswerReady,
  [EntryEventKind.AnswerCompleted]: handleAnswerCompleted,
  [EntryEventKind.AttemptFailed]: handleAttemptFailed,
  [EntryEventKind.StreamSpoiled]: handleStreamSpoiled,
  [EntryEventKind.UnframedAnswerEnded]: handleUnframedAnswerEnded,
  [EntryEventKind.AttemptStalled]: handleAttemptStalled,
  [EntryEventKind.LimitReported]: handleLimitReported,
  [EntryEventKind.BrittlenessReported]: handleBrittlenessReported,
  [EntryEventKind.ServerStated]: handleServerStated,
  [EntryEventKind.BackendProbed]: (state, event, nowMs) => [
    ...handleReachProbed(state, event, nowMs),
    ...handleBackendProbed(state, event, nowMs),
  ],
  [EntryEventKind.EvidenceSpread]: handleEvidenceSpread,
  [EntryEventKind.QuarantinesRead]: handleQuarantinesRead,
  [EntryEventKind.StreamOriginsTick]: handleStreamOriginsTick,
  [EntryEventKind.StreamOriginsWritten]: handleStreamOriginsWritten,
  [EntryEventKind.StreamOriginsRead]: handleStreamOriginsRead,
  [EntryEventKind.ConfigurationRead]: handleConfigurationRead,
  [EntryEventKind.BackendsRead]: (state, event, nowMs) => [
    ...handleBackendsRead(state, event, nowMs),
    ...runControllerIfActive(state, nowMs),
  ],
  [EntryEventKind.EvacuationsRead]: (state, event, nowMs) => [
    ...handleEvacuationsRead(state, event, nowMs),
    ...runControllerIfActive(state, nowMs),
  ],
  [EntryEventKind.StoreContentsRead]: handleStoreContentsRead,
  [EntryEventKind.VmsRead]: handleVmsRead,
  [EntryEventKind.StoreReachabilityRead]: handleStoreReachabilityRead,
  [EntryEventKind.StoreContentsAged]: handleStoreContentsAged,
  [EntryEventKind.StoreChangesTick]: handleStoreChangesTick,
  [EntryEventKind.StoreRestored]: handleStoreRestored,
  [EntryEventKind.MaintenanceTick]: handleMaintenanceTick,
  [EntryEventKind.PeerMessage]: (state, event, nowMs) => [
    ...handlePeerMessage(state, event, nowMs),
    ...resumeConfirmed(state, nowMs),
  ],
  [EntryEventKind.PeerTick]: handlePeerTick,
  [EntryEventKind.PeerCallFailed]: handlePeerCallFailed,
  [EntryEventKind.AdapterRequested]: handleAdapterRequested,
  [EntryEventKind.AdapterRequestAnswered]: handleAdapterRequestAnswered,
  [EntryEventKind.LoanRequested]: handleLoanRequested,
  [EntryEventKind.LoanAnswered]: handleLoanAnswered,
  [EntryEventKind.ControllerTick]: handleControllerTick,
  [EntryEventKind.ControllerLeaseRead]: handleControllerLeaseRead,
  [EntryEventKind.ControllerLeaseAnswered]: handleControllerLeaseAnswered,
  [EntryEventKind.OrderAnswered]: handleOrderAnswered,
  [EntryEventKind.EngineReported]: handleEngineReported,
  [EntryEventKind.Suspended]: (state, event, nowMs) => {
    forgetPast(state, nowMs);
    return handleSuspended(state, event);
  },
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
