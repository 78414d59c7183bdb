/**
 * Selects VMs by rendezvous hashing: all VMs that know the same VMs select the same ones without asking, and a change of
 * one VM changes few selections.
 */
import { hashText } from '../random.js';

function getWeight(name: string, vmId: string): number {
  return hashText(`${vmId} ${name}`);
}

/** Returns the VMs with the highest weights for a name. */
export function selectByRendezvous(
  name: string,
  vmIds: readonly string[],
  count: number,
): string[] {
  return vmIds
    .map((vmId) => ({ vmId, weight: getWeight(name, vmId) }))
    .sort((a, b) => b.weight - a.weight || (a.vmId < b.vmId ? -1 : 1))
    .slice(0, count)
    .map(({ vmId }) => vmId);
}

/** Returns whether one of some VMs is among those that `selectByRendezvous` selects, without sorting them. */
export function isSelectedByRendezvous(
  name: string,
  vmIds: readonly string[],
  vmId: string,
  count: number,
): boolean {
  const ownWeight = getWeight(name, vmId);
  const isAhead = (other: string): boolean => {
    const weight = getWeight(name, other);
    return weight > ownWeight || (weight === ownWeight && other < vmId);
  };
  let ahead = 0;
  for (let i = 0; i < vmIds.length && ahead < count; i += 1) {
    ahead += isAhead(vmIds[i]!) ? 1 : 0;
  }
  return ahead < count;
}
