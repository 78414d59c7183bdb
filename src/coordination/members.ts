/**
 * Keeps the list of the other VMs and finds the live ones among them.
 */
import type { Member } from '../state/types.js';
import type { VmState } from './vmState.js';

/** The incarnation of a member that is known only by its address. */
export const SEED_INCARNATION = '';

/** Returns the members whose last new heartbeat is recent enough to count them as live. */
export function findLiveMembers(state: VmState, nowMs: number): Member[] {
  const live: Member[] = [];
  state.members.forEach(({ heartbeatReceivedAtMs, member }) => {
    if (nowMs - heartbeatReceivedAtMs < state.policy.memberStaleMs) {
      live.push(member);
    }
  });
  return live;
}

/** Returns the live members of this VM's own failure domain. */
export function findLiveDomainMembers(state: VmState, nowMs: number): Member[] {
  const live: Member[] = [];
  state.gossipMemberIds.local.forEach((vmId) => {
    const record = state.members.get(vmId);
    if (record !== undefined && nowMs - record.heartbeatReceivedAtMs < state.policy.memberStaleMs) {
      live.push(record.member);
    }
  });
  return live;
}

/** Adds VMs that the settings or the platform's list name, before any gossip about them arrives. */
export function addSeedMembers(
  state: VmState,
  seeds: readonly { readonly vmId: string; readonly peerAddress: string }[],
): void {
  const newSeeds = seeds.filter(({ vmId }) => !state.members.has(vmId));
  if (newSeeds.length === 0) {
    return;
  }
  const knownAddresses = new Set<string>();
  state.members.forEach(({ member }) => knownAddresses.add(member.peerAddress));
  newSeeds
    .filter((seed) => seed.peerAddress !== state.self.peerAddress)
    .filter((seed) => !knownAddresses.has(seed.peerAddress))
    .forEach((seed) => {
      const member: Member = {
        vmId: seed.vmId,
        incarnation: SEED_INCARNATION,
        failureDomain: '',
        peerAddress: seed.peerAddress,
        heartbeat: 0,
        revision: 0,
        leaving: false,
        shareUnits: 0,
        pledgedGrant: 0,
      };
      state.members.set(seed.vmId, { member, heartbeatReceivedAtMs: Number.NEGATIVE_INFINITY });
    });
}
