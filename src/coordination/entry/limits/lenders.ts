/**
 * Finds the VMs that this VM may ask for a loan.
 */
import { type EntryState, RelayRole } from '../state.js';

/** A relayed VM of which nothing was heard for this time is not asked. */
const REPORT_MAX_AGE_MS = 2_500;

/** A VM that can be asked for a loan. */
export interface LenderAddress {
  readonly vmId: string;
  readonly peerAddress: string;
}

/** Returns the address of a VM; null if it is this VM or unknown, stops, or has not reported recently. */
export function findLender(state: EntryState, vmId: string, nowMs: number): LenderAddress | null {
  if (vmId === state.self.vmId) {
    return null;
  }
  const peer = state.peers.get(vmId);
  if (peer !== undefined && state.relayRole !== RelayRole.Relayed) {
    const isAvailable =
      nowMs - peer.reportReceivedAtMs < REPORT_MAX_AGE_MS && !peer.report.isLeaving;
    return isAvailable ? { vmId, peerAddress: peer.report.peerAddress } : null;
  }
  const listed = state.listedVms.find((vm) => vm.vmId === vmId);
  return listed === undefined ? null : { vmId, peerAddress: listed.peerAddress };
}
