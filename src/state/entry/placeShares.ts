/**
 * Divides the places of a brittle server, its slots, among all VMs, so that what they have in flight there together has room. Every
 * VM finds the same division from the list of VMs, without asking.
 */
import { isSelectedByRendezvous, selectByRendezvous } from './rendezvous.js';

/** Returns the number of places of a VM: whole ones, which add up to those of the server. */
export function getPlaceShare(
  serverId: string,
  vmIds: readonly string[],
  vmId: string,
  slots: number,
): number {
  const places = Math.max(1, slots);
  const equalShare = Math.floor(places / vmIds.length);
  const rest = places - equalShare * vmIds.length;
  return equalShare + (isSelectedByRendezvous(serverId, vmIds, vmId, rest) ? 1 : 0);
}

/** Returns the VMs that have a place of a server. */
export function selectPlaceHolders(
  serverId: string,
  vmIds: readonly string[],
  slots: number,
): string[] {
  return selectByRendezvous(serverId, vmIds, Math.min(vmIds.length, Math.max(1, slots)));
}
