/**
 * The demand of the other VMs for a workspace's rate, as far as this VM knows it.
 */
import { sumWorkspaceDemands } from '../../../state/entry/demandSums.js';
import type { Lender, VmReport, WorkspaceDemand } from '../../../state/entry/reports.js';
import { type EntryState, type PeerRecord, RelayRole } from '../state.js';

/** Reports that are older than this are left out: some rounds of the exchange between VMs. */
const REPORT_MAX_AGE_MS = 2_500;

export interface OthersDemand {
  readonly tokensPerSecond: number;
  /** Number of other VMs whose demand is known. */
  readonly vmCount: number;
  readonly lenders: readonly Lender[];
}

/**
 * Returns whether a report counts. Old reports are left out: while the store lists a process that another one has
 * replaced, reports of the new process are rejected, and the last report of the old one must not keep counting.
 */
export function isFreshReport({ reportReceivedAtMs }: PeerRecord, nowMs: number): boolean {
  return nowMs - reportReceivedAtMs < REPORT_MAX_AGE_MS;
}

function findDemand(
  demands: readonly WorkspaceDemand[],
  workspace: string,
): WorkspaceDemand | undefined {
  return demands.find(({ name }) => name === workspace);
}

const UNKNOWN_DEMAND: OthersDemand = { tokensPerSecond: 0, vmCount: 0, lenders: [] };

/**
 * Returns what this VM's relay has sent, without this VM's own part of it. The relay sends the demands for the workspaces
 * that this VM had reported, so nothing is known of any other one.
 */
function getRelayedDemand(state: EntryState, workspace: string, nowMs: number): OthersDemand {
  const { fleetDemand } = state;
  if (fleetDemand === null || nowMs - fleetDemand.receivedAtMs >= REPORT_MAX_AGE_MS) {
    return UNKNOWN_DEMAND;
  }
  const total = findDemand(fleetDemand.demands, workspace);
  if (total === undefined) {
    return UNKNOWN_DEMAND;
  }
  const own = state.reportedDemands.get(workspace) ?? 0;
  return {
    tokensPerSecond: Math.max(0, total.tokensPerSecond - own),
    vmCount: Math.max(0, fleetDemand.vmCount - 1),
    lenders: total.lenders,
  };
}

function sumReportedDemands(state: EntryState, workspace: string, nowMs: number): OthersDemand {
  const fresh = [...state.peers.values()]
    .filter((peer) => isFreshReport(peer, nowMs))
    .map(({ report }) => report);
  const reports = fresh.filter(({ vmId }) => state.vmsLastSeenAtMs.has(vmId));
  const sumDemands = (list: readonly VmReport[]): WorkspaceDemand | undefined =>
    sumWorkspaceDemands(
      list.flatMap(({ workspaceDemands }) => findDemand(workspaceDemands, workspace) ?? []),
    )[0];
  const total = sumDemands(reports);
  return {
    tokensPerSecond: total?.tokensPerSecond ?? 0,
    vmCount: reports.reduce((sum, { vmCount }) => sum + vmCount, 0),
    lenders: sumDemands(fresh)?.lenders ?? [],
  };
}

/**
 * Returns the mean demand of a VM by the last reports, also by those that no longer count; 0 without any. While no relay
 * answers, that is closer to the demand of the other VMs than what a VM that has just started sees itself.
 */
export function getLastMeanDemand(state: EntryState, workspace: string, nowMs: number): number {
  const { vmGoneMs } = state.policy;
  const reports = [...state.peers.values()]
    .filter(({ reportReceivedAtMs }) => nowMs - reportReceivedAtMs < vmGoneMs)
    .map(({ report }) => ({ demands: report.workspaceDemands, vmCount: report.vmCount }));
  const reported = reports.reduce(
    (sum, { demands, vmCount }) => ({
      tokensPerSecond: sum.tokensPerSecond + (findDemand(demands, workspace)?.tokensPerSecond ?? 0),
      vmCount: sum.vmCount + vmCount,
    }),
    { tokensPerSecond: 0, vmCount: 0 },
  );
  const { fleetDemand } = state;
  const isRelayed = fleetDemand !== null && nowMs - fleetDemand.receivedAtMs < vmGoneMs;
  const relayed = isRelayed ? findDemand(fleetDemand.demands, workspace) : undefined;
  return Math.max(
    reported.tokensPerSecond / Math.max(1, reported.vmCount),
    (relayed?.tokensPerSecond ?? 0) / Math.max(1, fleetDemand?.vmCount ?? 0),
  );
}

/** Returns what is known of the demand of the other VMs, from their reports or from the relay of this VM. */
export function getOthersDemand(state: EntryState, workspace: string, nowMs: number): OthersDemand {
  const demand =
    state.relayRole === RelayRole.Relayed
      ? getRelayedDemand(state, workspace, nowMs)
      : sumReportedDemands(state, workspace, nowMs);
  const lenders = demand.lenders.filter(({ vmId }) => vmId !== state.self.vmId);
  return { ...demand, lenders };
}
