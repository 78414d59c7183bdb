/**
 * Sums the demands that VMs report: by a relay for the VMs that it relays for, and over the whole fleet.
 *
 * A VM that has just changed its relay may be counted twice until its report at the earlier relay is too old. That lowers
 * the shares of the other VMs and never raises them.
 */
import { sumModelDemands, sumWorkspaceDemands } from '../../../state/entry/demandSums.js';
import type {
  FleetDemand,
  Lender,
  ModelDemand,
  WorkspaceDemand,
} from '../../../state/entry/reports.js';
import { nextRandomInt } from '../../../state/random.js';
import { isFreshReport } from './othersDemand.js';
import { listModelDemands, listWorkspaceDemands } from './ownDemands.js';
import type { EntryState } from '../state.js';

/** Demands for models that are older than this are left out. */
const MODEL_REPORT_MAX_AGE_MS = 5_000;
/** Lenders that a report names for each workspace. */
const MAX_LENDERS_PER_REPORT = 3;

/** Returns the demands of this VM and of the VMs that it relays for, with the lenders that have most to spare. */
export function summarizeOwnReports(
  state: EntryState,
  ownDemands: readonly WorkspaceDemand[],
  nowMs: number,
): FleetDemand {
  const relayed = [...state.peers.values()].filter(
    (peer) => peer.isRelayedHere && isFreshReport(peer, nowMs),
  );
  const demands = relayed.flatMap(({ report }) => report.workspaceDemands);
  return {
    demands: sumWorkspaceDemands([...ownDemands, ...demands]).map(({ lenders, ...demand }) => ({
      ...demand,
      lenders: [...lenders]
        .sort((a, b) => b.spareTokens - a.spareTokens)
        .slice(0, MAX_LENDERS_PER_REPORT),
    })),
    vmCount: relayed.length + 1,
  };
}

function sampleLenders(state: EntryState, lenders: readonly Lender[]): Lender[] {
  const candidates = [...lenders];
  const sample: Lender[] = [];
  while (candidates.length > 0 && sample.length < MAX_LENDERS_PER_REPORT) {
    sample.push(...candidates.splice(nextRandomInt(state.random, candidates.length), 1));
  }
  return sample;
}

/** Returns the demands of the whole fleet for a VM that this VM relays for, for the workspaces that it has reported. */
export function summarizeFleet(
  state: EntryState,
  names: ReadonlySet<string>,
  nowMs: number,
): FleetDemand {
  const reports = [...state.peers.values()]
    .filter((peer) => isFreshReport(peer, nowMs))
    .map(({ report }) => report);
  const demands = reports.flatMap(({ workspaceDemands }) => workspaceDemands);
  const reported = [...listWorkspaceDemands(state, nowMs), ...demands].filter(({ name }) =>
    names.has(name),
  );
  return {
    demands: sumWorkspaceDemands(reported).map(({ lenders, ...demand }) => ({
      ...demand,
      lenders: sampleLenders(state, lenders),
    })),
    vmCount: reports.reduce((sum, { vmCount }) => sum + vmCount, 1),
  };
}

function sumModelReports(state: EntryState, isRelayedOnly: boolean, nowMs: number): ModelDemand[] {
  const reported = [...state.modelDemandsByVm.values()]
    .filter(
      ({ isRelayedHere, receivedAtMs }) =>
        (isRelayedHere || !isRelayedOnly) && nowMs - receivedAtMs < MODEL_REPORT_MAX_AGE_MS,
    )
    .flatMap(({ demands }) => demands);
  return sumModelDemands([...listModelDemands(state, nowMs), ...reported]);
}

/** Returns the demands for models at this VM and at the VMs that it relays for. */
export function summarizeModelDemands(state: EntryState, nowMs: number): ModelDemand[] {
  return sumModelReports(state, true, nowMs);
}

/** Returns the demands for models over the whole fleet, as far as they were reported to this VM. */
export function listFleetModelDemands(state: EntryState, nowMs: number): ModelDemand[] {
  return sumModelReports(state, false, nowMs);
}
