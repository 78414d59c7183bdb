/**
 * Divides the requests that a backend server takes from all VMs together. Only some VMs have a share: the others would
 * add their first requests to those of all. Every VM finds the same ones from the list of VMs, without asking. The rest
 * borrow.
 */
import { selectByRendezvous } from './rendezvous.js';

/** VMs beyond the limit per second that may have a share; a low limit then still has several. */
const MIN_SHARES = 3;
/** A share holds at least one request, and what it earns in this time. */
const SHARE_CAPACITY_S = 0.25;
/** A limit below this is raised to it, since only an answer shows that the limit has ended. */
const MIN_REQUESTS_PER_SECOND = 0.25;

/**
 * Sum of all shares as a multiple of the limit, as a part of each goes unused. With the first requests of all shares,
 * which are at most the limit per second and `MIN_SHARES`, any four seconds stay within one and a half times the limit
 * and five requests, the tolerance that the platform states.
 */
const SHARES_FACTOR = 1.2;

/** One VM's share of a limit. */
export interface PermitShare {
  readonly requestsPerSecond: number;
  readonly capacity: number;
}

/** Returns the requests per second that all VMs together may send to a server with a limit. */
export function getUsableRate(requestsPerSecond: number): number {
  return Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond) * SHARES_FACTOR;
}

/** Returns the VMs that have a share of a server's limit: those with the highest weights. */
export function selectShareHolders(
  serverId: string,
  vmIds: readonly string[],
  requestsPerSecond: number,
): string[] {
  const limit = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
  const count = Math.min(vmIds.length, Math.floor(limit) + MIN_SHARES);
  return selectByRendezvous(serverId, vmIds, count);
}

/** Returns one VM's share of a server's limit; a VM without one earns nothing, and may hold one borrowed permit. */
export function getPermitShare(
  holders: readonly string[],
  vmId: string,
  requestsPerSecond: number,
): PermitShare {
  if (!holders.includes(vmId)) {
    return { requestsPerSecond: 0, capacity: 1 };
  }
  const share = getUsableRate(requestsPerSecond) / holders.length;
  return { requestsPerSecond: share, capacity: Math.max(1, share * SHARE_CAPACITY_S) };
}
