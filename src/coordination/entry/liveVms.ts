/**
 * Tells which other VMs there are, from the store and from their reports.
 */
import type { EntryState } from './state.js';

/** Updates the times at which other VMs were last seen, and drops VMs not seen for `sharingGoneMs`. */
export function updateVmsLastSeen(state: EntryState, nowMs: number): void {
  const { vmsLastSeenAtMs } = state;
  state.listedVms.forEach(({ vmId }) => vmsLastSeenAtMs.set(vmId, nowMs));
  state.peers.forEach(({ reportReceivedAtMs }, vmId) => {
    vmsLastSeenAtMs.set(
      vmId,
      Math.max(reportReceivedAtMs, vmsLastSeenAtMs.get(vmId) ?? reportReceivedAtMs),
    );
  });
  vmsLastSeenAtMs.delete(state.self.vmId);
  [...vmsLastSeenAtMs.entries()]
    .filter(([, seenAtMs]) => nowMs - seenAtMs > state.policy.sharingGoneMs)
    .forEach(([vmId]) => vmsLastSeenAtMs.delete(vmId));
  const vmIds = [...vmsLastSeenAtMs.keys()].sort();
  if (vmIds.join(' ') !== state.sharingVmIds.join(' ')) {
    state.sharingVmIds = vmIds;
  }
}

/** Returns the number of VMs among which shared limits are divided, this VM included. */
export function countVmsSharingLimits({ vmsLastSeenAtMs }: EntryState): number {
  return vmsLastSeenAtMs.size + 1;
}

/**
 * Returns the number of live VMs, this VM included: those that the store lists, and those whose last report is
 * recent and announces no shutdown.
 */
export function countLiveVms(state: EntryState, nowMs: number): number {
  const live = new Set(state.listedVms.map(({ vmId }) => vmId));
  state.peers.forEach(({ reportReceivedAtMs, report }, vmId) => {
    if (!report.isLeaving && nowMs - reportReceivedAtMs < state.policy.vmGoneMs) {
      live.add(vmId);
    }
  });
  live.add(state.self.vmId);
  return live.size;
}
