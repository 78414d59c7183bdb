/**
 * The planned stop of an entry VM: not ready at once, new connections until the platform has noticed, then
 * only what is under way, until shortly before the process would be killed.
 */
import { createDiagnostic, Diagnostics } from '../../state/diagnostics.js';
import { LogLevel } from '../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryPart,
} from './commands.js';
import { EntryEventKind, type EntryEventOf, StopStep } from './events.js';
import { askForAdapter } from './adapterRequests.js';
import { sweepBackends } from './discovery.js';
import { pumpWaiting } from './forwarding.js';
import { giveUpForward } from './records.js';
import type { EntryPolicy } from './policy.js';
import { EntryLifecycle, type EntryState, ForwardPhase, isLeaving, noteVmsSeen } from './state.js';

/** The platform asks once a second and takes a VM out after two misses; with a little to spare. */
const NOTICE_MS = 2_600;
/** Parts of the time until the process is killed: what is under way is broken off, then the end. */
const BREAK_OFF_PART = 0.9;
const EXIT_PART = 0.95;
/** How often a stopping VM looks whether all requests have ended. */
const DRAIN_POLL_MS = 100;

function createStopTimer(step: StopStep, delayMs: number): EntryCommand {
  return createEntryTimer(`stop/${step}`, delayMs, { kind: EntryEventKind.StopStep, step });
}

/** Begins a planned stop. */
export function handleStopRequested(state: EntryState): EntryCommand[] {
  if (isLeaving(state)) {
    return [];
  }
  state.lifecycle = EntryLifecycle.Stopping;
  state.isReady = false;
  const { fence } = state.placement;
  state.placement.fence = null;
  const { stopGraceMs } = state.policy;
  const release: EntryCommand[] =
    fence === null ? [] : [{ kind: EntryCommandKind.ReleaseController, fence }];
  return [
    { kind: EntryCommandKind.SetReady, isReady: false },
    ...release,
    createStopTimer(StopStep.Close, Math.min(NOTICE_MS, stopGraceMs / 2)),
    createStopTimer(StopStep.BreakOff, stopGraceMs * BREAK_OFF_PART),
    createEntryLog(LogLevel.Info, EntryPart.Lifecycle, 'A planned stop has begun.', {
      requests: state.requests.size,
      graceMs: stopGraceMs,
    }),
  ];
}

function breakOffAll(state: EntryState, nowMs: number): EntryCommand[] {
  const diagnostic = createDiagnostic(Diagnostics.Stopping);
  return [...state.requests.values()].flatMap((record) =>
    giveUpForward(state, record, diagnostic, nowMs),
  );
}

type StopHandler = (state: EntryState, nowMs: number) => EntryCommand[];

const pollDrain: StopHandler = (state) =>
  state.requests.size === 0
    ? [createStopTimer(StopStep.Exit, DRAIN_POLL_MS)]
    : [createStopTimer(StopStep.Close, DRAIN_POLL_MS)];

const STOP_HANDLERS: Readonly<Record<StopStep, StopHandler>> = {
  [StopStep.Close]: (state, nowMs) => {
    state.lifecycle = EntryLifecycle.Draining;
    return [{ kind: EntryCommandKind.StopAccepting }, ...pollDrain(state, nowMs)];
  },
  [StopStep.BreakOff]: (state, nowMs) => [
    ...breakOffAll(state, nowMs),
    createStopTimer(StopStep.Exit, state.policy.stopGraceMs * (EXIT_PART - BREAK_OFF_PART)),
  ],
  [StopStep.Exit]: (state) =>
    state.requests.size === 0
      ? [
          createEntryLog(LogLevel.Info, EntryPart.Lifecycle, 'The planned stop has ended.'),
          { kind: EntryCommandKind.Exit },
        ]
      : [createStopTimer(StopStep.Exit, DRAIN_POLL_MS)],
};

/** Takes a planned stop one step further. */
export function handleStopStep(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.StopStep>,
  nowMs: number,
): EntryCommand[] {
  return STOP_HANDLERS[event.step](state, nowMs);
}

/** Puts the limits of settings that were read again in force. Addresses take a restart. */
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
    createEntryLog(LogLevel.Info, EntryPart.Lifecycle, 'The settings were read again.', {
      changed: changed.join(' '),
    }),
  ];
}

/** Asks again for the adapters of requests that still wait: the controller may have changed. */
function askAgain(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.requests.values()]
    .filter((record) => record.phase === ForwardPhase.Waiting)
    .flatMap((record) => askForAdapter(state, record, nowMs));
}

/** Sweeps what has expired and starts the timer of the next sweep. */
export function handleTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.Tick>,
  nowMs: number,
): EntryCommand[] {
  const kind = EntryEventKind.Tick;
  noteVmsSeen(state, nowMs);
  return [
    createEntryTimer(kind, state.policy.tickMs, { kind }),
    ...sweepBackends(state, nowMs),
    ...pumpWaiting(state, nowMs),
    ...askAgain(state, nowMs),
  ];
}
