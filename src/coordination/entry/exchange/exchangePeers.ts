/**
 * Chooses the VMs with which a VM exchanges its reports, and those to which it sends what it has just learned.
 */
import { nextRandomInt } from '../../../state/random.js';
import type { ListedEntryVm } from '../peerMessage.js';
import { isRelay, selectRelay } from './relays.js';
import { type EntryState, RelayRole } from '../state.js';

/** Number of other relays to which a relay sends new evidence at once; three hops then reach a hundred relays. */
const EVIDENCE_FANOUT = 5;

/** Longest time between two reports of a VM that runs, several rounds of the exchange. */
const MAX_REPORT_GAP_MS = 2_000;

/** The address and id of a VM that takes part in the exchange between relays. */
export type ExchangePeer = Pick<ListedEntryVm, 'vmId' | 'peerAddress'>;

/** Chooses some of a list at random. */
export function selectRandom<T>(state: EntryState, from: readonly T[], count: number): T[] {
  const candidates = [...from];
  const selected: T[] = [];
  while (candidates.length > 0 && selected.length < count) {
    selected.push(...candidates.splice(nextRandomInt(state.random, candidates.length), 1));
  }
  return selected;
}

/** Returns the other VMs that read the store: the relays, the controller, and those that have no relay for now. */
export function listExchangePeers(state: EntryState, nowMs: number): ExchangePeer[] {
  const peers = new Map<string, ExchangePeer>();
  state.relays.forEach((relay) => peers.set(relay.vmId, relay));
  if (state.controller !== null) {
    peers.set(state.controller.vmId, state.controller);
  }
  state.peers.forEach(({ isRelayedHere, report, reportReceivedAtMs }, vmId) => {
    if (!isRelayedHere && nowMs - reportReceivedAtMs < state.policy.vmGoneMs) {
      peers.set(vmId, report);
    }
  });
  peers.delete(state.self.vmId);
  return [...peers.values()];
}

/**
 * Returns the VMs of a relay's failure domain that it does not hear from while the store is unreachable. Those that have
 * started since know no other VM, and learn of the store's contents only from a message of another.
 */
export function listSilentVms(state: EntryState, nowMs: number): ExchangePeer[] {
  const { failureDomain, vmId: ownId } = state.self;
  if (state.store.isReachable || !isRelay(state, ownId)) {
    return [];
  }
  const reports = [...state.peers.values()].map(({ report }) => report);
  const known = new Map([...state.listedVms, ...reports].map((vm) => [vm.vmId, vm] as const));
  const getReportedAtMs = (vmId: string): number =>
    state.peers.get(vmId)?.reportReceivedAtMs ?? Number.NEGATIVE_INFINITY;
  return [...known.values()].filter(
    (vm) =>
      vm.vmId !== ownId &&
      vm.failureDomain === failureDomain &&
      nowMs - getReportedAtMs(vm.vmId) >= MAX_REPORT_GAP_MS,
  );
}

/** Returns the VMs that this VM relays for. */
function listRelayedVms(state: EntryState, nowMs: number): ExchangePeer[] {
  return [...state.peers.values()]
    .filter(
      ({ isRelayedHere, reportReceivedAtMs }) =>
        isRelayedHere && nowMs - reportReceivedAtMs < state.policy.vmGoneMs,
    )
    .map(({ report }) => report);
}

/**
 * Chooses the receivers of new evidence: the VM's relay; from a relay, some other relays chosen at random, who send it on, and
 * the VMs that it relays for.
 */
export function selectEvidenceReceivers(state: EntryState, nowMs: number): readonly ExchangePeer[] {
  const relay = state.relayRole === RelayRole.Relayed ? selectRelay(state, nowMs) : null;
  return relay === null
    ? [
        ...selectRandom(state, listExchangePeers(state, nowMs), EVIDENCE_FANOUT),
        ...listRelayedVms(state, nowMs),
      ]
    : [relay];
}
