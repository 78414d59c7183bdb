/**
 * Selects VMs by rendezvous hashing: all VMs that know the same VMs select the same ones without asking, and a change of
 * one VM changes few selections.
 */
import { hashText } from '../random.js';

/** Returns the VMs with the highest weights for a name. */
export function selectByRendezvous(
  name: string,
  vmIds: readonly string[],
  count: number,
): string[] {
  return vmIds
    .map((vmId) => ({ vmId, weight: hashText(`${vmId} ${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.vmId < b.vmId ? -1 : 1))
    .slice(0, count)
    .map(({ vmId }) => vmId);
}
