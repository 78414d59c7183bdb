/**
 * Request limits that backend servers in need state in their answers.
 */
import type { Backend } from '../../state/entry/backends.js';
import { LogLevel } from '../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from './commands.js';
import type { EntryEventKind, EntryEventOf } from './events.js';
import type { EntryState } from './state.js';

function setLimit(
  backend: Backend,
  requestsPerSecond: number | null,
  statedAtMs: number,
): EntryCommand[] {
  const previous = backend.limit?.requestsPerSecond ?? null;
  backend.limit = requestsPerSecond === null ? null : { requestsPerSecond, statedAtMs };
  if (previous === requestsPerSecond) {
    return [];
  }
  const text =
    requestsPerSecond === null
      ? 'A backend server has ended its request limit.'
      : 'A backend server limits its requests.';
  const { id: server, service } = backend.entry;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, text, {
      server,
      service,
      requestsPerSecond: requestsPerSecond ?? -1,
      previous: previous ?? -1,
    }),
  ];
}

/** Records the limit that a server has stated, or its end. */
export function handleLimitReported(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LimitReported>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, dispatchedAtMs, requestsPerSecond } = event;
  const backend = state.backends.get(backendId);
  // An answer to an earlier request may arrive after one that states the limit.
  const isOutdated =
    requestsPerSecond === null && dispatchedAtMs < (backend?.limit?.statedAtMs ?? 0);
  return backend === undefined || isOutdated ? [] : setLimit(backend, requestsPerSecond, nowMs);
}
