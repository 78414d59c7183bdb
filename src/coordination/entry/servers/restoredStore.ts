/**
 * What a VM does when the store has come back from a copy that is some seconds older.
 *
 * The copy lacks what was written in the lost seconds, and shows again what was removed in them. The platform and the
 * servers write theirs anew within some seconds. Until then the VM keeps what it knows, and takes from the copy only what
 * it has not heard of; after that the store is right again. The VMs' own leases are lost.
 */
import { isSameIncarnation } from '../../../state/entry/backends.js';
import { formatStoreRevision } from '../../../state/storeRevision.js';
import { LogLevel } from '../../events.js';
import {
  applyEntry,
  findDeparted,
  removeEntry,
  STORE_RECOVERY_GRACE_MS,
} from './backendRegistry.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { stopController } from '../placement/controller.js';
import { rewriteStreamOrigins } from '../requests/streamOriginWrites.js';
import type { BackendChange, EntryEventKind, EntryEventOf } from '../events.js';
import type { EntryState } from '../state.js';

/**
 * An entry of a server that this VM has seen leave is believed if the copy's entry is still there after this time: the store
 * removes the entry of a server that has ended after three heartbeats.
 */
const DEPARTED_TRUST_MS = 8_000;

/** Gives up the permissions that the store has lost, and registers this VM anew. */
export function handleStoreRestored(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.StoreRestored>,
  nowMs: number,
): EntryCommand[] {
  const { knownRevision, revision, source } = event;
  const { fence } = state.placement;
  state.store.becameReachableAtMs = nowMs;
  rewriteStreamOrigins(state);
  return [
    createEntryLog(LogLevel.Warn, EntryLogPrefix.Store, 'The store was restored from a copy.', {
      revision: formatStoreRevision(revision),
      knownRevision: formatStoreRevision(knownRevision),
      source,
    }),
    ...stopController(state, 'the store was restored'),
    ...(fence === null ? [] : [{ kind: EntryCommandKind.ReleaseControllerLease, fence } as const]),
    { kind: EntryCommandKind.RenewRegistration },
  ];
}

/** Applies the copy's entry of one server, as far as this VM does not know better. */
function applyCopiedEntry(
  state: EntryState,
  { entry, id, revision }: BackendChange,
  source: string,
  nowMs: number,
): EntryCommand[] {
  const known = state.backends.get(id);
  if (entry === null) {
    return [];
  }
  if (known === undefined) {
    if (findDeparted(state, entry) === undefined) {
      return applyEntry(state, entry, revision, source, nowMs);
    }
    state.copiedEntries.set(id, { entry, revision, applyAtMs: nowMs + DEPARTED_TRUST_MS });
    return [];
  }
  const isSame = isSameIncarnation(known.entry, entry);
  if (!isSame && entry.bornAtWallMs > known.entry.bornAtWallMs) {
    return applyEntry(state, entry, revision, source, nowMs);
  }
  known.revision = revision;
  if (isSame) {
    known.removeAtMs = null;
    known.isLeaving ||= entry.isLeaving;
    const applyAtMs = nowMs + STORE_RECOVERY_GRACE_MS;
    state.copiedEntries.set(id, { entry, revision, applyAtMs });
    return [];
  }
  return removeEntry(state, known, revision, STORE_RECOVERY_GRACE_MS, nowMs);
}

/** Applies the servers' entries of a store that was restored from a copy. */
export function applyRestoredBackends(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.BackendsRead>,
  nowMs: number,
): EntryCommand[] {
  const { changes, revision, source } = event;
  const copiedIds = new Set(changes.filter(({ entry }) => entry !== null).map(({ id }) => id));
  state.copiedEntries.clear();
  const missing = [...state.backends.values()].filter(({ entry }) => !copiedIds.has(entry.id));
  return [
    ...missing.flatMap((backend) =>
      removeEntry(state, backend, revision, STORE_RECOVERY_GRACE_MS, nowMs),
    ),
    ...changes.flatMap((change) => applyCopiedEntry(state, change, source, nowMs)),
  ];
}

/** Applies the copy's entries whose servers have written no later ones in time. */
export function applyCopiedEntries(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.copiedEntries.values()]
    .filter(({ applyAtMs }) => applyAtMs <= nowMs)
    .flatMap(({ entry, revision }) => applyEntry(state, entry, revision, 'copy', nowMs));
}
