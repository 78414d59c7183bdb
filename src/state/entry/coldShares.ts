/**
 * Divides the requests that a cold server may get in a second among all VMs. Every VM finds the same division from the list of VMs,
 * without asking.
 *
 * The requests are divided as places. A VM sends at most one request for each of its places in any `PLACE_WINDOW_MS`, since its
 * bucket holds one token and refills no faster than that. The places of all VMs together are half of the bound. The other half is for
 * VMs that know other VMs than the rest: even two groups of VMs that know nothing of each other stay within the bound.
 */
import { hashText } from '../random.js';
import { getPlaceShare } from './placeShares.js';

/** What a cold server may get from all VMs together. */
export interface ColdBound {
  /** The rate that the server can handle. */
  readonly requestsPerSecond: number;
  /** Requests in any one second, as a multiple of the rate and beyond that. */
  readonly excessFactor: number;
  readonly reserve: number;
}

/**
 * Time in which a place sends one request: the second of the bound, and the time for which a request may travel. Requests that were
 * sent within it may arrive within one second.
 */
export const PLACE_WINDOW_MS = 1_250;
/** Fraction of the bound that is divided. */
const DIVIDED_FRACTION = 0.5;
/** A VM has at most this fraction of the places, so that one that knows no other VM does not have all of them. */
const MAX_VM_FRACTION = 0.5;
const MS_PER_SECOND = 1_000;
const UINT32_RANGE = 4_294_967_296;

/** Returns the requests that a server may get in any one second. */
export function getColdBound({ excessFactor, requestsPerSecond, reserve }: ColdBound): number {
  return requestsPerSecond * excessFactor + reserve;
}

/** Returns the number of places of all VMs together: at least one, as the server would get nothing else. */
export function countColdPlaces(bound: ColdBound): number {
  return Math.max(1, Math.floor(getColdBound(bound) * DIVIDED_FRACTION));
}

/** Returns the number of places of a VM. */
export function getColdPlaces(
  serverId: string,
  vmIds: readonly string[],
  vmId: string,
  bound: ColdBound,
): number {
  const places = countColdPlaces(bound);
  const maxPlaces = Math.ceil(places * MAX_VM_FRACTION);
  return Math.min(maxPlaces, getPlaceShare(serverId, vmIds, vmId, places));
}

/** Returns the requests per second of a VM with some places; all VMs together send no more than the server can handle. */
export function getColdRate(places: number, bound: ColdBound): number {
  const placeRate = MS_PER_SECOND / PLACE_WINDOW_MS;
  return places * Math.min(placeRate, bound.requestsPerSecond / countColdPlaces(bound));
}

/** Returns the part of an interval between two requests, from 0 to 1, by which a VM is ahead, so that not all VMs send at once. */
export function getColdPhase(serverId: string, vmId: string): number {
  return hashText(`${serverId} ${vmId}`) / UINT32_RANGE;
}
