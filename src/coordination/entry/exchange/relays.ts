/**
 * Chooses the VMs that read the store for the others.
 *
 * Each failure domain has two relays, which all VMs determine alike from the list of VMs: those with the most processor
 * time, ties by hashing. The first reads the store, the second gets its changes from the first. Any other VM exchanges its
 * reports for the store's changes and the demands of the fleet with one of them. A VM reads the store itself while it is
 * the controller, and while no relay that it may use answers with current data.
 *
 * A relay may lose the store without noticing, or freeze. Each answer of a relay therefore tells how long ago the store has
 * confirmed what it says, over all the VMs between; a VM that has not heard anything fresh enough reads the store itself.
 */
import { hashText } from '../../../state/random.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  createEntryTimer,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import type { ListedEntryVm } from '../peerMessage.js';
import { type EntryState, RelayRole } from '../state.js';

/** Two relays, so that the failure of one leaves another with the same data. */
const RELAYS_PER_DOMAIN = 2;
/** How long a relay that did not answer, or had no current data, is not asked again. */
const RELAY_FAILURE_MS = 2_000;

/** Time in which a relay answers that a VM asks after it could not read the store itself, so that its contents are old. */
const RELAY_ANSWER_MS = 700;

/** Orders VMs by their suitability as a relay or as the controller. */
export function compareRelayRank(a: ListedEntryVm, b: ListedEntryVm): number {
  return (
    b.processorShare - a.processorShare ||
    hashText(b.vmId) - hashText(a.vmId) ||
    (a.vmId < b.vmId ? -1 : 1)
  );
}

/** Returns the relays of all failure domains. */
export function selectRelays(vms: readonly ListedEntryVm[]): ListedEntryVm[] {
  const countsByDomain = new Map<string, number>();
  return [...vms].sort(compareRelayRank).filter(({ failureDomain }) => {
    const count = countsByDomain.get(failureDomain) ?? 0;
    countsByDomain.set(failureDomain, count + 1);
    return count < RELAYS_PER_DOMAIN;
  });
}

/** Returns whether a VM is a relay of its failure domain. */
export function isRelay({ relays }: EntryState, vmId: string): boolean {
  return relays.some((relay) => relay.vmId === vmId);
}

/** Returns the relays that this VM may use: the relays of its failure domain that come before it. */
function listUsableRelays(state: EntryState): readonly ListedEntryVm[] {
  const { failureDomain, vmId } = state.self;
  const relays = state.relays.filter((relay) => relay.failureDomain === failureDomain);
  const ownIndex = relays.findIndex((relay) => relay.vmId === vmId);
  return ownIndex < 0 ? relays : relays.slice(0, ownIndex);
}

/** Returns the relay that this VM uses now; null if it reads the store itself. */
export function selectRelay(state: EntryState, nowMs: number): ListedEntryVm | null {
  if (state.placement.fence !== null) {
    return null;
  }
  const getWeight = (relay: ListedEntryVm): number => hashText(`${state.self.vmId} ${relay.vmId}`);
  const [relay = null] = listUsableRelays(state)
    .filter(({ vmId }) => (state.relayFailedUntilMs.get(vmId) ?? 0) <= nowMs)
    .sort((a, b) => getWeight(b) - getWeight(a));
  return relay;
}

function getRole(state: EntryState, relay: ListedEntryVm | null): RelayRole {
  if (relay === null) {
    return RelayRole.Reader;
  }
  return isRelay(state, state.self.vmId) ? RelayRole.Standby : RelayRole.Relayed;
}

/**
 * Starts the timer that ends the use of a relay unless the store confirms its contents again before.
 *
 * @param minDelayMs Shortest time until then, however old the contents are.
 */
export function startAgeTimer(state: EntryState, nowMs: number, minDelayMs = 0): EntryCommand[] {
  const { policy, relayRole, store } = state;
  const isRelayUsed = relayRole === RelayRole.Relayed || relayRole === RelayRole.Standby;
  if (!isRelayUsed || !Number.isFinite(store.confirmedAtMs)) {
    return [];
  }
  const kind = EntryEventKind.StoreContentsAged;
  const delayMs = Math.max(minDelayMs, store.confirmedAtMs + policy.maxStoreAgeMs - nowMs);
  return [createEntryTimer(kind, delayMs, { kind })];
}

/** Starts the timer of the next request for the changes of the store by the second relay of a failure domain. */
export function createChangesTimer(delayMs: number): EntryCommand {
  const kind = EntryEventKind.StoreChangesTick;
  return createEntryTimer(kind, delayMs, { kind });
}

/** Adopts the role that the list of VMs and the failures of relays call for. */
export function updateRelayRole(state: EntryState, nowMs: number): EntryCommand[] {
  const relay = selectRelay(state, nowMs);
  const relayId = relay?.vmId ?? '';
  const role = getRole(state, relay);
  if (role === state.relayRole && relayId === state.relayId) {
    return [];
  }
  const hasReadItself = state.relayRole === RelayRole.Reader;
  state.relayRole = role;
  state.relayId = relayId;
  const kind = EntryEventKind.PeerTick;
  return [
    { kind: EntryCommandKind.SetStoreAccess, isReader: role === RelayRole.Reader },
    createEntryTimer(kind, 0, { kind }),
    ...startAgeTimer(state, nowMs, hasReadItself ? RELAY_ANSWER_MS : 0),
    ...(role === RelayRole.Standby ? [createChangesTimer(0)] : []),
    createEntryLog(LogLevel.Info, EntryLogPrefix.Store, 'The access to the store has changed.', {
      role,
      relay: relayId,
    }),
  ];
}

/** Records that a relay has not answered, or had no current data. */
export function markRelayFailed(state: EntryState, vmId: string, nowMs: number): void {
  state.relayFailedUntilMs.set(vmId, nowMs + RELAY_FAILURE_MS);
}

/** Reads the store itself once its contents are too old, since the other relay may have them from the same source. */
export function handleStoreContentsAged(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.StoreContentsAged>,
  nowMs: number,
): EntryCommand[] {
  const { policy, relayId, relayRole, store } = state;
  const isAged = nowMs - store.confirmedAtMs >= policy.maxStoreAgeMs;
  if (relayRole === RelayRole.Reader || !isAged) {
    return startAgeTimer(state, nowMs);
  }
  listUsableRelays(state).forEach(({ vmId }) => markRelayFailed(state, vmId, nowMs));
  return [
    createEntryLog(LogLevel.Warn, EntryLogPrefix.Store, 'The contents of the store are too old.', {
      relay: relayId,
      ageMs: nowMs - store.confirmedAtMs,
    }),
    ...updateRelayRole(state, nowMs),
  ];
}

/** Returns the number of VMs of this VM's failure domain for each relay there. */
export function countVmsPerRelay(state: EntryState): number {
  const { failureDomain } = state.self;
  const isLocal = (vm: ListedEntryVm): boolean => vm.failureDomain === failureDomain;
  const relayCount = state.relays.filter(isLocal).length;
  return state.listedVms.filter(isLocal).length / Math.max(1, relayCount);
}
