/**
 * What is known of the other VMs.
 */
import type { Member } from '../state/types.js';
import type { NodeState } from './nodeState.js';

/** The incarnation of a member that is known only by its address. */
export const SEED_INCARNATION = '';

/** Returns the members that were heard of lately. */
export function findLiveMembers(state: NodeState, nowMs: number): Member[] {
  return [...state.members.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < state.policy.memberStaleMs)
    .map(({ member }) => member);
}

/** Returns the members of the own failure domain that were heard of lately. */
export function findDomainMembers(state: NodeState, nowMs: number): Member[] {
  return findLiveMembers(state, nowMs).filter(
    (member) => member.failureDomain === state.self.failureDomain,
  );
}

/** Adds VMs that the settings or the platform name, before anything has been heard of them. */
export function addSeedMembers(
  state: NodeState,
  seeds: readonly { readonly vmId: string; readonly peerAddress: string }[],
): void {
  const known = new Set([...state.members.values()].map(({ member }) => member.peerAddress));
  seeds
    .filter((seed) => seed.peerAddress !== state.self.peerAddress)
    .filter((seed) => !known.has(seed.peerAddress))
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
      state.members.set(seed.vmId, { member, heardAtMs: Number.NEGATIVE_INFINITY });
    });
}
