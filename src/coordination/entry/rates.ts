/**
 * Rate and burst of a workspace over all entry VMs.
 *
 * Each VM spends a part of them that follows its part of the demand, as the peers' reports tell, with a
 * floor, so that a VM to which callers move has something before the reports have caught up. The parts
 * sum to one when all VMs see the same reports; while they do not, the excess that the platform tolerates
 * covers the difference. Without reports a VM takes an equal part.
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
import { countSharingVms, type EntryState } from './state.js';

/** Part of the rate that is divided equally, whatever the demand. */
const EQUAL_PART = 0.75;
/** Level of a fresh bucket, as a part of its capacity: many processes may start in one window. */
const FIRST_LEVEL = 0.25;
/**
 * Part of the tolerated excess that widens the buckets, so that one of a small part holds a request. The
 * rest covers parts that do not sum to one while reports are on their way.
 */
const TOLERANCE_PART = 0.6;
/** Age up to which a VM's report counts: five rounds. */
const REPORT_FRESH_MS = 2_000;
const MS_PER_SECOND = 1000;

/**
 * Demand of the other VMs; one that has not told any lately is taken to have as much as the mean. A process that
 * has replaced another is not heard as long as the store lists the other, whose last word must not count on.
 */
function getOthersDemand(
  state: EntryState,
  workspace: string,
  own: number,
  vms: number,
  nowMs: number,
): number {
  let known = 0;
  let demand = 0;
  state.peers.forEach(({ heardAtMs, report }, vmId) => {
    if (state.vmsSeenAtMs.has(vmId) && nowMs - heardAtMs < REPORT_FRESH_MS) {
      known += 1;
      demand +=
        report.workspaceDemands.find(({ name }) => name === workspace)?.tokensPerSecond ?? 0;
    }
  });
  const missing = Math.max(0, vms - 1 - known);
  return demand + missing * Math.max(own, (own + demand) / (known + 1));
}

/**
 * Returns this VM's part of a workspace's rate, in [0, 1]. Its own demand counts as it was last reported: the
 * others see no later one, and a VM that is ahead of them would take a part that they have not given up.
 */
export function getRatePart(state: EntryState, workspace: string, nowMs: number): number {
  const vms = countSharingVms(state);
  const own = state.reportedDemands.get(workspace) ?? 0;
  const total = own + getOthersDemand(state, workspace, own, vms, nowMs);
  const demandPart = total > 0 ? own / total : 1 / vms;
  return EQUAL_PART / vms + (1 - EQUAL_PART) * demandPart;
}

/** Returns this VM's bucket of a workspace, cut to its present part. */
export function getRateBucket(
  state: EntryState,
  workspace: ForwardWorkspace,
  nowMs: number,
): RateBucket {
  const { burstTokens, name, rateTokensPerSecond } = workspace;
  const { rateExcessPart, rateReserveTokens, rateWindowMs } = state.policy;
  const part = getRatePart(state, name, nowMs);
  const windowTokens = (rateTokensPerSecond * rateWindowMs) / MS_PER_SECOND + burstTokens;
  const excess = windowTokens * rateExcessPart * TOLERANCE_PART * part;
  const reserve = (rateReserveTokens * TOLERANCE_PART) / countSharingVms(state);
  const capacity = burstTokens * part + excess + reserve;
  const rate = rateTokensPerSecond * part;
  const known = state.buckets.get(name);
  if (known === undefined) {
    // A bucket that is first asked for has refilled since the start of the process.
    const bucket = createRateBucket(capacity, rate, capacity * FIRST_LEVEL, state.startedAtMs);
    state.buckets.set(name, bucket);
    return bucket;
  }
  resizeRateBucket(known, capacity, rate, nowMs);
  return known;
}

/**
 * Takes the cost of a request from the workspace's rate.
 *
 * @returns null if it was taken, else the time until it can be.
 */
export function takeRate(
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

/** Gives back the cost of a request that has not run. */
export function refundRate(state: EntryState, workspace: string, costTokens: number): void {
  const bucket = state.buckets.get(workspace);
  if (bucket !== undefined) {
    refundBucket(bucket, costTokens);
  }
}
