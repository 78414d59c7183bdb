/**
 * Read-only views of a VM's state for operators.
 */
import type { NodeState } from './nodeState.js';
import { createSelfMember } from './gossip.js';
import { getServerLoad, isServerLeaving } from './routing.js';

/** One VM and the revision it has in force. */
export interface VmView {
  readonly vmId: string;
  readonly failureDomain: string;
  readonly revision: number;
  readonly leaving: boolean;
  readonly shareUnits: number;
  /** Time since the VM was last heard of; zero for the one that answers. */
  readonly heardAgoMs: number;
  readonly isLive: boolean;
}

/** One backend server as this VM sees it. */
export interface ServerView {
  readonly name: string;
  readonly failureDomain: string;
  readonly load: number;
  readonly inFlight: number;
  readonly leaving: boolean;
  readonly loadedModels: readonly string[];
  readonly reportedAgoMs: number | null;
}

/** Lists this VM and every other it has heard of. */
export function describeVms(state: NodeState, nowMs: number): VmView[] {
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
    ...others.map(({ heardAtMs, member }) => describe(member, heardAtMs)),
  ].toSorted((a, b) => a.vmId.localeCompare(b.vmId));
}

/** Lists the backend servers of the document. */
export function describeServers(state: NodeState, nowMs: number): ServerView[] {
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
