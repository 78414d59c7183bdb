/**
 * Divides the rate and burst of a workspace between the entry VMs.
 *
 * Each VM's share follows its share of the demand in the peers' reports. An equal minimum share leaves tokens for
 * callers that move to a VM before the reports show them. The shares sum to one when all VMs have the same reports;
 * otherwise the excess that the platform tolerates covers the difference. Without reports a VM takes an equal share.
 */
import type { ForwardWorkspace } from '../../state/entry/deployment.js';
import {
  createRateBucket,
  getBucketWaitMs,
  type RateBucket,
  refundBucket,
  resizeRateBucket,
  takeFromBucket,
} from '../../state/entry/rateBucket.js';
import { countVmsSharingLimits, type EntryState } from './state.js';

/** Fraction of the rate that is divided equally, regardless of demand. */
const EQUAL_FRACTION = 0.75;
/** Initial level of a bucket as a fraction of its capacity; low, as many processes may start in one window. */
const INITIAL_LEVEL_FRACTION = 0.25;
/**
 * Fraction of the tolerated excess that is added to the buckets' capacities, so that the bucket of a small share can
 * hold a request. The rest covers shares that do not sum to one while reports propagate.
 */
const EXCESS_FRACTION = 0.6;
/** Maximum age of a report that counts: five gossip rounds. */
const REPORT_MAX_AGE_MS = 2_000;
const MS_PER_SECOND = 1000;

/**
 * Estimates the total demand at the other VMs. A VM without a recent report counts with the mean of the known
 * demands, this VM's included, and at least with this VM's own. Old reports are ignored: while the store lists a
 * process that another one has replaced, reports of the new process are rejected, and the last report of the old one
 * must not keep counting.
 */
function getOthersDemand(
  state: EntryState,
  workspace: string,
  ownDemand: number,
  vmCount: number,
  nowMs: number,
): number {
  let reportingVms = 0;
  let demand = 0;
  state.peers.forEach(({ reportReceivedAtMs, report }, vmId) => {
    if (state.vmsLastSeenAtMs.has(vmId) && nowMs - reportReceivedAtMs < REPORT_MAX_AGE_MS) {
      reportingVms += 1;
      demand +=
        report.workspaceDemands.find(({ name }) => name === workspace)?.tokensPerSecond ?? 0;
    }
  });
  const missingReports = Math.max(0, vmCount - 1 - reportingVms);
  return demand + missingReports * Math.max(ownDemand, (ownDemand + demand) / (reportingVms + 1));
}

/**
 * Returns this VM's share of a workspace's rate, in [0, 1]. Its own demand counts as last reported to the peers. They
 * have no newer value, so with one this VM would take a share that they have not given up yet.
 */
export function getRateShare(state: EntryState, workspace: string, nowMs: number): number {
  const vmCount = countVmsSharingLimits(state);
  const ownDemand = state.reportedDemands.get(workspace) ?? 0;
  const total = ownDemand + getOthersDemand(state, workspace, ownDemand, vmCount, nowMs);
  const demandShare = total > 0 ? ownDemand / total : 1 / vmCount;
  return EQUAL_FRACTION / vmCount + (1 - EQUAL_FRACTION) * demandShare;
}

/** Returns this VM's bucket of a workspace, resized to the VM's current share. */
export function getRateBucket(
  state: EntryState,
  workspace: ForwardWorkspace,
  nowMs: number,
): RateBucket {
  const { burstTokens, name, rateTokensPerSecond } = workspace;
  const { rateExcessPart, rateReserveTokens, rateWindowMs } = state.policy;
  const share = getRateShare(state, name, nowMs);
  const windowTokens = (rateTokensPerSecond * rateWindowMs) / MS_PER_SECOND + burstTokens;
  const excessTokens = windowTokens * rateExcessPart * EXCESS_FRACTION * share;
  const reserveTokens = (rateReserveTokens * EXCESS_FRACTION) / countVmsSharingLimits(state);
  const capacity = burstTokens * share + excessTokens + reserveTokens;
  const rate = rateTokensPerSecond * share;
  const existing = state.buckets.get(name);
  if (existing === undefined) {
    // A bucket is created on first use, but refills from the start of the process.
    const bucket = createRateBucket(
      capacity,
      rate,
      capacity * INITIAL_LEVEL_FRACTION,
      state.startedAtMs,
    );
    state.buckets.set(name, bucket);
    return bucket;
  }
  resizeRateBucket(existing, capacity, rate, nowMs);
  return existing;
}

/**
 * Takes the cost of a request from this VM's share of the workspace's rate.
 *
 * @returns null if the cost was taken, else the time in milliseconds until it can be.
 */
export function chargeRate(
  state: EntryState,
  workspace: ForwardWorkspace,
  costTokens: number,
  nowMs: number,
): number | null {
  if (workspace.rateTokensPerSecond <= 0) {
    return null;
  }
  const bucket = getRateBucket(state, workspace, nowMs);
  return takeFromBucket(bucket, costTokens, nowMs)
    ? null
    : getBucketWaitMs(bucket, costTokens, nowMs);
}

/** Returns the cost of a request that has not run to the workspace's bucket. */
export function refundRate(state: EntryState, workspace: string, costTokens: number): void {
  const bucket = state.buckets.get(workspace);
  if (bucket !== undefined) {
    refundBucket(bucket, costTokens);
  }
}
