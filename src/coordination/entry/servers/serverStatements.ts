/**
 * Applies what backend servers say of themselves in the heads of their answers: that they leave, stay cold, or ask
 * for a pause.
 */
import type { Backend } from '../../../state/entry/backends.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { recordColdness } from './coldServers.js';
import { LeavingSource, markLeaving } from './leavingServers.js';
import { startPause } from './serverPauses.js';
import type { EntryState } from '../state.js';

/** Logs the first malformed statement of a server, which is used as before. */
function logMalformed(backend: Backend, requestName: string): EntryCommand[] {
  if (backend.hasMalformedStatement) {
    return [];
  }
  backend.hasMalformedStatement = true;
  const text = 'What a backend server says of itself could not be decoded.';
  const fields = { server: backend.entry.id, request: requestName };
  return [createEntryLog(LogLevel.Warn, EntryLogPrefix.Backend, text, fields)];
}

/** Applies what a server has said of itself in an answer, unless that was an earlier incarnation. */
export function handleServerStated(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ServerStated>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, bornAtWallMs, coldMs = 0, isLeaving, isMalformed, pauseMs } = event;
  const { requestName } = event;
  const backend = state.backends.get(backendId);
  if (backend?.entry.bornAtWallMs !== bornAtWallMs) {
    return [];
  }
  return [
    ...(isMalformed ? logMalformed(backend, requestName) : []),
    ...(isLeaving ? markLeaving(state, backend, LeavingSource.Answer, requestName) : []),
    ...recordColdness(state, backend, coldMs, nowMs),
    ...(pauseMs === null ? [] : startPause(state, backend, pauseMs, requestName, nowMs)),
  ];
}
