/**
 * Keeps the pauses that backend servers ask for when they turn a request away.
 *
 * A pause belongs to the VM that was asked: other VMs are not told. Until it ends the VM sends the server nothing, neither
 * requests nor orders. A longer pause replaces a shorter one. A shorter one, or an answer to an earlier request, does not
 * end a longer one: the server answered what it had taken before it asked. After the pause the server gets requests one by
 * one for a while, so that what waited does not reach it all at once.
 */
import type { Backend } from '../../../state/entry/backends.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import { recallUnsent } from './leavingServers.js';
import type { EntryState } from '../state.js';

/** A server that names a longer time, which may be a mistake, is tried again after this. */
const MAX_PAUSE_MS = 300_000;
/** How long after a pause a server gets requests one by one, and the time between two of them. */
const RESUME_MS = 1_000;
const RESUME_INTERVAL_MS = 50;

/** Returns whether a server has asked this VM for a pause that has not ended. */
export function isPaused({ pausedUntilMs }: Backend, nowMs: number): boolean {
  return pausedUntilMs > nowMs;
}

/** Returns whether the pause of a server has just ended and it has just got a request. */
export function isResuming({ dispatchedAtMs, pausedUntilMs }: Backend, nowMs: number): boolean {
  return nowMs < pausedUntilMs + RESUME_MS && nowMs - dispatchedAtMs < RESUME_INTERVAL_MS;
}

/** Lets a server that has just come back get requests one by one, as after a pause. */
export function resumeSlowly(backend: Backend, nowMs: number): void {
  backend.pausedUntilMs = Math.max(backend.pausedUntilMs, nowMs);
}

/** Starts a pause, or makes it longer. */
export function startPause(
  state: EntryState,
  backend: Backend,
  pauseMs: number,
  requestName: string,
  nowMs: number,
): EntryCommand[] {
  const untilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  if (untilMs <= backend.pausedUntilMs) {
    return [];
  }
  const wasPaused = isPaused(backend, nowMs);
  backend.pausedUntilMs = untilMs;
  backend.isPauseReported = true;
  const { id: server, service } = backend.entry;
  const log = createEntryLog(
    LogLevel.Info,
    EntryLogPrefix.Backend,
    'A backend server asks for a pause.',
    { server, service, pauseMs: Math.round(untilMs - nowMs), request: requestName },
  );
  return [...(wasPaused ? [] : [log]), ...recallUnsent(state, backend)];
}

/** Logs the pauses that have ended. */
export function reportEndedPauses({ backends }: EntryState, nowMs: number): EntryCommand[] {
  return [...backends.values()]
    .filter((backend) => backend.isPauseReported && !isPaused(backend, nowMs))
    .map((backend) => {
      backend.isPauseReported = false;
      const text = 'The pause of a backend server has ended.';
      const fields = { server: backend.entry.id, service: backend.entry.service };
      return createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, text, fields);
    });
}

/** Lets the pauses end earlier by the time for which this VM was suspended, while its clock stood still. */
export function shortenPauses({ backends }: EntryState, lostMs: number): void {
  backends.forEach((backend) => {
    backend.pausedUntilMs -= lostMs;
  });
}

/** Returns the time until the first of some paused servers can be used again; null if one of them is not paused. */
export function getPauseWaitMs(servers: readonly Backend[], nowMs: number): number | null {
  const areAllPaused = servers.length > 0 && servers.every((server) => isPaused(server, nowMs));
  return areAllPaused
    ? Math.min(...servers.map(({ pausedUntilMs }) => pausedUntilMs - nowMs))
    : null;
}
