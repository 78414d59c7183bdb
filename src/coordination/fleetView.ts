/**
 * Creates read-only views of a VM's state for the administration API.
 */
import type { VmState } from './vmState.js';
import { createSelfMember } from './gossip.js';
import { getServerLoad, isServerLeaving } from './routing.js';

/** One VM as seen by the VM that responds. */
export interface VmView {
  readonly vmId: string;
  readonly failureDomain: string;
  /** The configuration revision that the VM has applied. */
  readonly revision: number;
  readonly leaving: boolean;
  readonly shareUnits: number;
  /** Time since the VM's latest heartbeat was received; zero for the VM that responds. */
  readonly heardAgoMs: number;
  readonly isLive: boolean;
}

/** One backend server as seen by the VM that responds. */
export interface ServerView {
  readonly name: string;
  readonly failureDomain: string;
  readonly load: number;
  readonly inFlight: number;
  readonly leaving: boolean;
  readonly loadedModels: readonly string[];
  readonly reportedAgoMs: number | null;
}

/** Lists this VM and every other VM that it has received through gossip, sorted by id. */
export function describeVms(state: VmState, nowMs: number): VmView[] {
  const self = createSelfMember(state);
  const others = [...state.members.values()].filter(({ member }) => member.incarnation !== '');
  const describe = (member: typeof self, heardAtMs: number): VmView => ({
    vmId: member.vmId,
    failureDomain: member.failureDomain,
    revision: member.revision,
    leaving: member.leaving,
    shareUnits: member.shareUnits,
    heardAgoMs: Math.max(0, nowMs - heardAtMs),
    isLive: nowMs - heardAtMs < state.policy.memberStaleMs,
  });
  return [
    describe(self, nowMs),
    ...others.map(({ heartbeatReceivedAtMs, member }) => describe(member, heartbeatReceivedAtMs)),
  ].toSorted((a, b) => a.vmId.localeCompare(b.vmId));
}

/** Lists the backend servers of the configuration document. */
export function describeServers(state: VmState, nowMs: number): ServerView[] {
  const servers = state.configuration?.document.vms.backendServers ?? [];
  return servers.map((server) => {
    const record = state.servers.get(server.name);
    return {
      name: server.name,
      failureDomain: server.failureDomain,
      load: getServerLoad(state, server),
      inFlight: record?.inFlight ?? 0,
      leaving: isServerLeaving(state, server),
      loadedModels: record?.report?.loadedModels ?? [],
      reportedAgoMs: record?.report == null ? null : nowMs - record.reportedAtMs,
    };
  });
}
