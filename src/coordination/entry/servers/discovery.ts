/**
 * Applies the configuration, the registered backend servers and the list of VMs, as read from the store or from
 * a peer. Backend servers whose registrations disappear around a store outage are kept for a grace period.
 */
import { formatStoreRevision, getStoreEra } from '../../../state/storeRevision.js';
import { LogLevel } from '../../events.js';
import { inheritBrittleness } from './brittleServers.js';
import { updateColdServers, updateColdShare } from './coldServers.js';
import { applyEntry, removeEntry, STORE_RECOVERY_GRACE_MS } from './backendRegistry.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import type { BackendChange, EntryEventKind, EntryEventOf } from '../events.js';
import { dispatchWaiting, dispatchWaitingFor } from '../requests/dispatchOrder.js';
import { recordChangedVersions, updateStreamLife } from '../requests/streamOriginWrites.js';
import { selectRelays, startAgeTimer, updateRelayRole } from '../exchange/relays.js';
import { applyRestoredBackends } from './restoredStore.js';
import { updateVmsLastSeen } from '../liveVms.js';
import { EntryLifecycle, type EntryState } from '../state.js';

/** Grace period for a mass removal while the store is reachable: its outage may have been too short to be detected. */
const MASS_REMOVAL_GRACE_MS = 1_800;
/** Fraction of the servers from which simultaneous removals count as expired leases, not as shutdowns. */
const MASS_REMOVAL_FRACTION = 0.5;
const MIN_MASS_REMOVAL_COUNT = 3;

/** Marks the VM as ready once the configuration and the backend servers have been read. */
function updateReadiness(state: EntryState): EntryCommand[] {
  const isInitialized = state.deployment !== null && state.areBackendsRead;
  if (state.lifecycle !== EntryLifecycle.Starting || !isInitialized) {
    return [];
  }
  state.lifecycle = EntryLifecycle.Running;
  state.isReady = true;
  return [
    { kind: EntryCommandKind.SetReady, isReady: true },
    createEntryLog(LogLevel.Info, EntryLogPrefix.Lifecycle, 'The VM is ready.', {
      version: state.deployment?.version ?? 0,
      servers: state.backends.size,
    }),
  ];
}

/**
 * Returns whether a configuration is later than the current one. The version decides, whatever the store has lost; of two
 * with the same version, the one that was written after a restore of the store does.
 */
function isLaterConfiguration(
  state: EntryState,
  { deployment, revision }: EntryEventOf<typeof EntryEventKind.ConfigurationRead>,
): boolean {
  if (state.deployment === null || deployment.version !== state.deployment.version) {
    return deployment.version > (state.deployment?.version ?? Number.NEGATIVE_INFINITY);
  }
  return (
    deployment !== state.deployment && getStoreEra(revision) > getStoreEra(state.deploymentRevision)
  );
}

/** Applies a configuration if it is later than the current one. */
export function handleConfigurationRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.ConfigurationRead>,
  nowMs: number,
): EntryCommand[] {
  const { deployment, revision, source } = event;
  const oldVersion = state.deployment?.version ?? 0;
  if (!isLaterConfiguration(state, event)) {
    return [];
  }
  state.deployment = deployment;
  state.urgencyTables.clear();
  state.deploymentRevision = revision;
  state.backends.forEach((backend) => updateColdShare(state, backend, nowMs));
  updateStreamLife(state);
  [...state.buckets.keys()]
    .filter((name) => !deployment.workspacesByName.has(name))
    .forEach((name) => state.buckets.delete(name));
  return [
    { kind: EntryCommandKind.SetLimits, limits: deployment.limits },
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Configuration,
      'A new configuration was applied.',
      {
        version: deployment.version,
        oldVersion,
        revision: formatStoreRevision(revision),
        source,
        routes: [...deployment.routesByHost.values()].reduce((sum, list) => sum + list.length, 0),
        workspaces: deployment.workspacesByName.size,
      },
    ),
    ...updateColdServers(state, nowMs),
    ...updateReadiness(state),
    ...dispatchWaiting(state, nowMs),
  ];
}

/** Returns whether one event removes so many servers that their leases have probably expired in a store outage. */
function isMassRemoval(state: EntryState, changes: readonly BackendChange[]): boolean {
  const removed = changes.filter(({ entry, id }) => entry === null && state.backends.has(id));
  return (
    removed.length >= MIN_MASS_REMOVAL_COUNT &&
    removed.length >= state.backends.size * MASS_REMOVAL_FRACTION
  );
}

/** Returns how long removed servers are kept, because a store outage may have expired their leases. */
function getRemovalDelayMs(
  state: EntryState,
  changes: readonly BackendChange[],
  nowMs: number,
): number {
  if (!state.store.isReachable) {
    return STORE_RECOVERY_GRACE_MS;
  }
  const sinceRecoveryMs = nowMs - state.store.becameReachableAtMs;
  if (sinceRecoveryMs < STORE_RECOVERY_GRACE_MS) {
    return STORE_RECOVERY_GRACE_MS - sinceRecoveryMs;
  }
  return isMassRemoval(state, changes) ? MASS_REMOVAL_GRACE_MS : 0;
}

/** Applies changes to the registered backend servers. */
export function handleBackendsRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.BackendsRead>,
  nowMs: number,
): EntryCommand[] {
  const { isSnapshot, revision, source } = event;
  if (revision < state.backendsRevision) {
    return [];
  }
  recordChangedVersions(state, event.changes, nowMs);
  const isRestored =
    isSnapshot &&
    state.areBackendsRead &&
    getStoreEra(revision) > getStoreEra(state.backendsRevision);
  if (isRestored) {
    state.backendsRevision = revision;
    return [...applyRestoredBackends(state, event, nowMs), ...dispatchWaiting(state, nowMs)];
  }
  const changedIds = new Set(event.changes.map(({ id }) => id));
  const missing = isSnapshot
    ? [...state.backends.keys()]
        .filter((id) => !changedIds.has(id))
        .map((id) => ({ id, revision, entry: null }))
    : [];
  const changes: readonly BackendChange[] = [...event.changes, ...missing];
  const removalDelayMs = getRemovalDelayMs(state, changes, nowMs);
  const commands = changes.flatMap((change) => {
    if (change.entry !== null) {
      return applyEntry(state, change.entry, change.revision, source, nowMs);
    }
    state.copiedEntries.delete(change.id);
    const backend = state.backends.get(change.id);
    const isLater = backend !== undefined && change.revision >= backend.revision;
    return isLater && backend.removeAtMs === null
      ? removeEntry(state, backend, change.revision, removalDelayMs, nowMs)
      : [];
  });
  state.backendsRevision = revision;
  state.areBackendsRead = true;
  const changed = changes.flatMap(({ id }) => state.backends.get(id) ?? []);
  inheritBrittleness(state, changed, nowMs);
  return [...commands, ...updateReadiness(state), ...dispatchWaitingFor(state, changed, nowMs)];
}

/** Records whether this VM can reach the store, and how old what it knows of it is. */
export function handleStoreReachabilityRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.StoreReachabilityRead>,
  nowMs: number,
): EntryCommand[] {
  const { ageMs, isReachable } = event;
  const { store } = state;
  if (isReachable) {
    store.confirmedAtMs = Math.max(store.confirmedAtMs, nowMs - ageMs);
  }
  const timers = startAgeTimer(state, nowMs);
  if (isReachable === store.isReachable) {
    return timers;
  }
  store.isReachable = isReachable;
  if (isReachable) {
    store.becameReachableAtMs = nowMs;
    return [
      ...timers,
      createEntryLog(LogLevel.Warn, EntryLogPrefix.Store, 'The store is reachable again.', {
        lostMs: nowMs - store.becameUnreachableAtMs,
      }),
    ];
  }
  store.becameUnreachableAtMs = nowMs;
  return [createEntryLog(LogLevel.Warn, EntryLogPrefix.Store, 'The store is unreachable.')];
}

/** Replaces the list of entry VMs with the one read from the store. */
export function handleVmsRead(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.VmsRead>,
  nowMs: number,
): EntryCommand[] {
  const previousIds = state.listedVms.map(({ vmId }) => vmId).join(' ');
  state.listedVms = event.vms;
  state.relays = selectRelays(event.vms);
  updateVmsLastSeen(state, nowMs);
  const currentIds = event.vms.map(({ vmId }) => vmId).join(' ');
  const accessCommands = updateRelayRole(state, nowMs);
  return previousIds === currentIds
    ? accessCommands
    : [
        ...accessCommands,
        createEntryLog(LogLevel.Info, EntryLogPrefix.Peer, 'The list of VMs changed.', {
          count: event.vms.length,
          relays: state.relays.map(({ vmId }) => vmId).join(' '),
        }),
      ];
}
