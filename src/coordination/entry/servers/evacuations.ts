/**
 * Keeps which failure domains are evacuated: their servers get neither requests nor orders until the evacuation is taken back.
 *
 * Every VM hears of it from the store or its relay. The check is made at each dispatch (`serverAvailability.ts`), so that it also
 * holds for retries, resumed streams and passed requests. Requests that run there end in peace.
 */
import { formatStoreRevision, getStoreEra } from '../../../state/storeRevision.js';
import type { Backend } from '../../../state/entry/backends.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf, EvacuationChange } from '../events.js';
import { dispatchWaiting, refuseUnservable } from '../requests/dispatchOrder.js';
import type { EntryState } from '../state.js';
import { STORE_RECOVERY_GRACE_MS } from './backendRegistry.js';
import { recallUnsent } from './leavingServers.js';

/** Returns the servers of a failure domain. */
function listServers({ backends }: EntryState, failureDomain: string): Backend[] {
  return [...backends.values()].filter(({ entry }) => entry.failureDomain === failureDomain);
}

function startEvacuation(
  state: EntryState,
  { failureDomain, revision }: EvacuationChange,
  source: string,
  nowMs: number,
): EntryCommand[] {
  const known = state.evacuations.get(failureDomain);
  const sinceMs = known?.sinceMs ?? nowMs;
  state.evacuations.set(failureDomain, { revision, sinceMs, endsAtMs: null });
  if (known !== undefined) {
    return [];
  }
  const servers = listServers(state, failureDomain);
  servers.forEach((backend) => {
    backend.isEvacuated = true;
  });
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, 'A failure domain is evacuated.', {
      failureDomain,
      servers: servers.length,
      revision: formatStoreRevision(revision),
      source,
    }),
    ...servers.flatMap((backend) => recallUnsent(state, backend)),
  ];
}

function endEvacuation(state: EntryState, failureDomain: string, nowMs: number): EntryCommand[] {
  const evacuation = state.evacuations.get(failureDomain);
  if (evacuation === undefined) {
    return [];
  }
  state.evacuations.delete(failureDomain);
  const servers = listServers(state, failureDomain);
  servers.forEach((backend) => {
    backend.isEvacuated = false;
  });
  return [
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Backend,
      'The evacuation of a failure domain has ended.',
      {
        failureDomain,
        servers: servers.length,
        ageMs: Math.round(nowMs - evacuation.sinceMs),
      },
    ),
  ];
}

/**
 * Ends the evacuations that a snapshot lacks: at once, or after the time in which the operator writes again what a restored
 * store has lost.
 */
function endMissing(
  state: EntryState,
  changes: readonly EvacuationChange[],
  isRestored: boolean,
  nowMs: number,
): EntryCommand[] {
  const present = new Set(changes.map(({ failureDomain }) => failureDomain));
  const missing = [...state.evacuations].filter(([failureDomain]) => !present.has(failureDomain));
  if (!isRestored) {
    return missing.flatMap(([failureDomain]) => endEvacuation(state, failureDomain, nowMs));
  }
  missing.forEach(([, evacuation]) => {
    evacuation.endsAtMs ??= nowMs + STORE_RECOVERY_GRACE_MS;
  });
  return [];
}

/** Applies the evacuations that were read, or changes of them. */
export function handleEvacuationsRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.EvacuationsRead>,
  nowMs: number,
): EntryCommand[] {
  const { changes, isSnapshot, revision, source } = event;
  if (revision < state.evacuationsRevision) {
    return [];
  }
  const isRestored =
    state.evacuationsRevision > 0 && getStoreEra(revision) > getStoreEra(state.evacuationsRevision);
  state.evacuationsRevision = revision;
  const commands = [
    ...(isSnapshot ? endMissing(state, changes, isRestored, nowMs) : []),
    ...changes.flatMap((change) =>
      change.isEvacuated
        ? startEvacuation(state, change, source, nowMs)
        : endEvacuation(state, change.failureDomain, nowMs),
    ),
  ];
  return commands.length === 0
    ? []
    : [...commands, ...refuseUnservable(state, nowMs), ...dispatchWaiting(state, nowMs)];
}

/** Ends the evacuations that the operator has not written again after the store was restored. */
export function endLostEvacuations(state: EntryState, nowMs: number): EntryCommand[] {
  return [...state.evacuations]
    .filter(([, { endsAtMs }]) => endsAtMs !== null && endsAtMs <= nowMs)
    .flatMap(([failureDomain]) => endEvacuation(state, failureDomain, nowMs));
}
