/**
 * The registered backend servers as this VM knows them: applies one entry of the store, or its removal.
 *
 * Servers that were dropped are remembered for a while. What a server has said of itself, that it leaves, its request limit or
 * a pause, holds when it registers again in the same incarnation, and a store that was restored from a copy does not bring
 * back a server that has left.
 */
import { discardListsOf } from '../../../state/entry/backendLists.js';
import {
  type Backend,
  type BackendEntry,
  createBackend,
  getStatedFacts,
  isSameIncarnation,
} from '../../../state/entry/backends.js';
import { formatStoreRevision } from '../../../state/storeRevision.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import { recordColdness } from './coldServers.js';
import { recallUnsent } from './leavingServers.js';
import type { DepartedServer, EntryState } from '../state.js';

/**
 * Grace period after a store outage. The platform specifies that registrations which expired during the outage
 * are written again within two seconds of the store's recovery; half a second is added for the watch.
 */
export const STORE_RECOVERY_GRACE_MS = 2_500;
/** How long a server that was dropped is remembered: longer than the seconds that a restored store has lost. */
const DEPARTED_MEMORY_MS = 60_000;

function createChangeFields(entry: BackendEntry, revision: number, source: string) {
  return {
    server: entry.id,
    service: entry.service,
    address: entry.address,
    isLeaving: entry.isLeaving,
    models: entry.models.map(({ adapters, name }) => `${name}+${adapters.length}`).join(' '),
    revision: formatStoreRevision(revision),
    source,
  };
}

/** Returns whether two entries offer the same models and accept requests alike. */
function hasSameUse(a: BackendEntry, b: BackendEntry): boolean {
  const listModels = (entry: BackendEntry): string =>
    entry.models.map(({ name, version }) => `${name}@${version}`).join(' ');
  return isSameIncarnation(a, b) && a.isLeaving === b.isLeaving && listModels(a) === listModels(b);
}

/** Returns what is remembered of a server that was dropped, if an entry is of the same incarnation. */
export function findDeparted(state: EntryState, entry: BackendEntry): DepartedServer | undefined {
  const departed = state.departedServers.get(entry.id);
  return departed !== undefined && isSameIncarnation(departed.entry, entry) ? departed : undefined;
}

/** Forgets a server, and recalls the requests that have not been sent to it. */
function dropBackend(state: EntryState, backend: Backend, nowMs: number): EntryCommand[] {
  const { entry } = backend;
  state.backends.delete(entry.id);
  discardListsOf(state.backendLists, entry);
  state.departedServers.set(entry.id, { entry, stated: getStatedFacts(backend), atMs: nowMs });
  return recallUnsent(state, backend);
}

/** Adds a server, with what it said of itself if it was registered before. */
function addBackend(
  state: EntryState,
  entry: BackendEntry,
  revision: number,
  nowMs: number,
): EntryCommand[] {
  const backend = createBackend(entry, revision);
  const departed = findDeparted(state, entry);
  if (departed !== undefined) {
    Object.assign(backend, departed.stated);
    backend.isLeaving ||= entry.isLeaving;
    // The VMs that share a limit may have changed in the meantime.
    state.permitShareVmIds = [];
  }
  backend.isEvacuated = state.evacuations.has(entry.failureDomain);
  state.backends.set(entry.id, backend);
  discardListsOf(state.backendLists, entry);
  return recordColdness(state, backend, entry.coldLeftMs, nowMs);
}

/** Applies a later entry of the same incarnation. Its coldness is that of the time at which the server wrote it. */
function updateBackend(
  state: EntryState,
  backend: Backend,
  entry: BackendEntry,
  revision: number,
  nowMs: number,
): EntryCommand[] {
  const coldMs = revision > backend.revision ? entry.coldLeftMs : 0;
  discardListsOf(state.backendLists, entry);
  backend.isLeaving ||= entry.isLeaving;
  backend.isEvacuated = state.evacuations.has(entry.failureDomain);
  backend.entry = entry;
  backend.revision = revision;
  backend.removeAtMs = null;
  backend.missingUntilMs.clear();
  return recordColdness(state, backend, coldMs, nowMs);
}

/** Forgets servers that were dropped long ago. */
export function forgetDeparted({ departedServers }: EntryState, nowMs: number): void {
  departedServers.forEach(({ atMs }, id) => {
    if (nowMs - atMs > DEPARTED_MEMORY_MS) {
      departedServers.delete(id);
    }
  });
}

/** Applies the entry of a server, unless a later one is known. */
export function applyEntry(
  state: EntryState,
  entry: BackendEntry,
  revision: number,
  source: string,
  nowMs: number,
): EntryCommand[] {
  const existing = state.backends.get(entry.id);
  if (existing !== undefined && revision < existing.revision) {
    return [];
  }
  const fields = createChangeFields(entry, revision, source);
  const isRoutine = existing !== undefined && hasSameUse(existing.entry, entry);
  state.copiedEntries.delete(entry.id);
  const isReplaced = existing !== undefined && !isSameIncarnation(existing.entry, entry);
  const isNowLeaving = existing !== undefined && !existing.isLeaving && entry.isLeaving;
  if (existing !== undefined) {
    discardListsOf(state.backendLists, existing.entry);
  }
  const coldness =
    existing === undefined || isReplaced
      ? addBackend(state, entry, revision, nowMs)
      : updateBackend(state, existing, entry, revision, nowMs);
  return [
    createEntryLog(
      isRoutine ? LogLevel.Debug : LogLevel.Info,
      EntryLogPrefix.Backend,
      existing === undefined ? 'A backend server was registered.' : 'A backend server was updated.',
      fields,
    ),
    ...coldness,
    ...(isReplaced || isNowLeaving ? recallUnsent(state, existing) : []),
  ];
}

/** Removes a server whose entry is gone, after a grace period. */
export function removeEntry(
  state: EntryState,
  backend: Backend,
  revision: number,
  removalDelayMs: number,
  nowMs: number,
): EntryCommand[] {
  backend.revision = revision;
  state.copiedEntries.delete(backend.entry.id);
  if (removalDelayMs > 0) {
    backend.removeAtMs ??= nowMs + removalDelayMs;
  }
  return [
    ...(removalDelayMs > 0 ? [] : dropBackend(state, backend, nowMs)),
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Backend,
      'A backend server is no longer registered.',
      {
        server: backend.entry.id,
        holdMs: removalDelayMs,
        revision: formatStoreRevision(revision),
      },
    ),
  ];
}

/** Removes servers that were not registered again within their grace period. */
export function removeExpiredBackends(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.backends.values()]
    .filter(({ removeAtMs }) => removeAtMs !== null && removeAtMs <= nowMs)
    .flatMap((backend) => {
      const { entry } = backend;
      return [
        ...dropBackend(state, backend, nowMs),
        createEntryLog(
          LogLevel.Info,
          EntryLogPrefix.Backend,
          'A backend server was removed after its grace period.',
          {
            server: entry.id,
          },
        ),
      ];
    });
}
