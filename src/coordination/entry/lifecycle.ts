/**
 * The graceful shutdown of an entry VM, the reload of its settings, and its periodic tasks. A shutdown reports
 * the VM as not ready, accepts connections until the platform has detected that, drains the requests in flight,
 * and aborts the rest shortly before the process would be killed.
 */
import { createDiagnostic, Diagnostics } from '../../state/diagnostics.js';
import { LogLevel } from '../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from './commands.js';
import { EntryEventKind, type EntryEventOf, StopStep } from './events.js';
import { requestAdapter } from './placement/adapterRequests.js';
import { forgetDeparted, removeExpiredBackends } from './servers/backendRegistry.js';
import { dispatchWaiting } from './requests/dispatchOrder.js';
import { expireCrashEvidence } from './evidence/quarantines.js';
import { updateColdServers } from './servers/coldServers.js';
import { endLostEvacuations } from './servers/evacuations.js';
import { applyCopiedEntries } from './servers/restoredStore.js';
import { storeQuarantines } from './evidence/quarantineStore.js';
import { STOPPING_RETRY_AFTER_MS } from './policy.js';
import { terminateForward } from './requests/requestCompletion.js';
import { maintainStreamOrigins } from './requests/streamOriginWrites.js';
import { recallPast } from './requests/streamVersions.js';
import type { EntryPolicy } from './policy.js';
import { updatePermitShares } from './limits/serverLimits.js';
import { returnPlaces } from './limits/serverPlaces.js';
import { probeSilentServices } from './servers/serviceReach.js';
import { reportEndedPauses } from './servers/serverPauses.js';
import { updateVmsLastSeen } from './liveVms.js';
import { beginStopProgress } from './stopProgress.js';
import { logStopStep, reportStopWait } from './stopReport.js';
import { EntryLifecycle, type EntryState, ForwardPhase, isShuttingDown } from './state.js';

/** The platform checks readiness once a second and removes a VM after two failed checks; the rest is margin. */
const UNREADY_DETECTION_MS = 2_600;
/** Fractions of the time until the process is killed after which requests are aborted and the process exits. */
const ABORT_FRACTION = 0.9;
const EXIT_FRACTION = 0.92;
/** A request that is dispatched later than this before the abort would probably be cut off. */
const MIN_RUN_MS = 3_000;
/** Interval at which a stopping VM checks whether all requests have ended. */
const DRAIN_CHECK_MS = 100;

function createStopTimer(step: StopStep, delayMs: number): EntryCommand {
  return createEntryTimer(`stop/${step}`, delayMs, { kind: EntryEventKind.StopStep, step });
}

/** Starts a graceful shutdown. */
export function handleStopRequested(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.StopRequested>,
  nowMs: number,
): EntryCommand[] {
  if (isShuttingDown(state)) {
    return [];
  }
  state.lifecycle = EntryLifecycle.Stopping;
  state.isReady = false;
  const { stopGraceMs } = state.policy;
  const exitDelayMs = stopGraceMs * EXIT_FRACTION;
  state.stop = beginStopProgress(nowMs, exitDelayMs);
  const { fence } = state.placement;
  state.placement.fence = null;
  const drainDelayMs = Math.min(UNREADY_DETECTION_MS, stopGraceMs / 2);
  const abortDelayMs = stopGraceMs * ABORT_FRACTION;
  const rejectDelayMs = Math.max(drainDelayMs, abortDelayMs - MIN_RUN_MS);
  state.noDispatchFromMs = nowMs + rejectDelayMs;
  const releaseCommands: EntryCommand[] =
    fence === null ? [] : [{ kind: EntryCommandKind.ReleaseControllerLease, fence }];
  return [
    { kind: EntryCommandKind.SetReady, isReady: false },
    ...releaseCommands,
    createStopTimer(StopStep.Drain, drainDelayMs),
    createStopTimer(StopStep.RejectUnsent, rejectDelayMs),
    createStopTimer(StopStep.AbortRequests, abortDelayMs),
    // Whatever becomes of the other steps, the VM ends.
    createStopTimer(StopStep.Exit, exitDelayMs),
    createEntryLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'A graceful shutdown has started.', {
      requests: state.requests.size,
      graceMs: stopGraceMs,
    }),
  ];
}

function abortRequests(state: EntryState, nowMs: number): EntryCommand[] {
  const diagnostic = createDiagnostic(Diagnostics.Stopping);
  const records = [...state.requests.values()];
  return [
    logStopStep(state, 'The remaining requests are aborted.', records, nowMs),
    ...records.flatMap((record) => terminateForward(state, record, diagnostic, nowMs)),
  ];
}

/** Phases of requests that no backend server has. */
const UNSENT_PHASES: ReadonlySet<ForwardPhase> = new Set([
  ForwardPhase.Charging,
  ForwardPhase.Recalling,
  ForwardPhase.Waiting,
]);

/** Rejects the requests that wait for their answers to begin, so that their callers have time to go to another VM. */
function rejectUnsent(state: EntryState, nowMs: number): EntryCommand[] {
  const diagnostic = createDiagnostic(Diagnostics.Stopping);
  const records = [...state.requests.values()].filter(
    ({ firstEventAtMs, phase }) => firstEventAtMs === null && UNSENT_PHASES.has(phase),
  );
  return [
    logStopStep(state, 'The requests that no server has are rejected.', records, nowMs),
    ...records.flatMap((record) =>
      terminateForward(state, record, diagnostic, nowMs, STOPPING_RETRY_AFTER_MS),
    ),
  ];
}

type StopStepHandler = (state: EntryState, nowMs: number) => EntryCommand[];

/** Returns the time until the next check whether the VM can end, which is not after its bound. */
function getExitCheckDelayMs({ stop }: EntryState, nowMs: number): number {
  const leftMs = stop === null ? DRAIN_CHECK_MS : stop.exitAtMs - nowMs;
  return Math.max(0, Math.min(DRAIN_CHECK_MS, leftMs));
}

const scheduleDrainCheck: StopStepHandler = (state, nowMs) =>
  state.requests.size === 0
    ? [createStopTimer(StopStep.Exit, getExitCheckDelayMs(state, nowMs))]
    : [createStopTimer(StopStep.Drain, DRAIN_CHECK_MS)];

function exit(state: EntryState, nowMs: number): EntryCommand[] {
  const records = [...state.requests.values()];
  return [
    logStopStep(state, 'The graceful shutdown has ended.', records, nowMs),
    { kind: EntryCommandKind.Exit },
  ];
}

const STOP_STEP_HANDLERS: Readonly<Record<StopStep, StopStepHandler>> = {
  [StopStep.Drain]: (state, nowMs) => {
    const isFirst = state.lifecycle !== EntryLifecycle.Draining;
    state.lifecycle = EntryLifecycle.Draining;
    const text = 'The VM accepts no more connections.';
    return [
      ...(isFirst ? [logStopStep(state, text, [...state.requests.values()], nowMs)] : []),
      { kind: EntryCommandKind.StopAccepting },
      ...reportStopWait(state, nowMs),
      ...scheduleDrainCheck(state, nowMs),
    ];
  },
  [StopStep.RejectUnsent]: rejectUnsent,
  [StopStep.AbortRequests]: abortRequests,
  [StopStep.Exit]: (state, nowMs) => {
    const isDue = state.stop !== null && nowMs >= state.stop.exitAtMs;
    return isDue || state.requests.size === 0
      ? exit(state, nowMs)
      : [
          ...reportStopWait(state, nowMs),
          createStopTimer(StopStep.Exit, getExitCheckDelayMs(state, nowMs)),
        ];
  },
};

/** Runs one step of a graceful shutdown. */
export function handleStopStep(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.StopStep>,
  nowMs: number,
): EntryCommand[] {
  return STOP_STEP_HANDLERS[event.step](state, nowMs);
}

/** Applies the limits of reloaded settings. Changes to addresses require a restart. */
export function handleSettingsRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.SettingsRead>,
): EntryCommand[] {
  const { policy } = event;
  const changed = Object.entries(policy)
    .filter(([name, value]) => state.policy[name as keyof EntryPolicy] !== value)
    .map(([name, value]) => `${name}=${value}`);
  state.policy = policy;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'The settings were reloaded.', {
      changed: changed.join(' '),
    }),
  ];
}

/** Requests the adapters of waiting requests again, because the controller may have changed. */
function retryAdapterRequests(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.requests.values()]
    .filter((record) => record.phase === ForwardPhase.Waiting)
    .flatMap((record) => requestAdapter(state, record, nowMs));
}

/** Runs the periodic tasks and starts the timer of the next round. */
export function handleMaintenanceTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.MaintenanceTick>,
  nowMs: number,
): EntryCommand[] {
  const kind = EntryEventKind.MaintenanceTick;
  updateVmsLastSeen(state, nowMs);
  expireCrashEvidence(state, nowMs);
  updatePermitShares(state, nowMs);
  forgetDeparted(state, nowMs);
  return [
    createEntryTimer(kind, state.policy.tickMs, { kind }),
    ...removeExpiredBackends(state, nowMs),
    ...applyCopiedEntries(state, nowMs),
    ...endLostEvacuations(state, nowMs),
    ...updateColdServers(state, nowMs),
    ...reportEndedPauses(state, nowMs),
    ...probeSilentServices(state, nowMs),
    ...dispatchWaiting(state, nowMs),
    ...returnPlaces(state, nowMs),
    ...retryAdapterRequests(state, nowMs),
    ...storeQuarantines(state, nowMs),
    ...maintainStreamOrigins(state, nowMs),
    ...recallPast(state, nowMs),
  ];
}
