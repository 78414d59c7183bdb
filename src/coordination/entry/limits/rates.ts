/**
 * Divides the rate and burst of a workspace between the entry VMs.
 *
 * Each VM's share follows its share of the demand in the peers' reports. An equal minimum share leaves tokens for
 * callers that move to a VM before the reports show them. The shares sum to one when all VMs have the same reports;
 * otherwise the excess that the platform tolerates covers the difference. Without reports a VM takes an equal share. In a
 * large fleet only some VMs have a share of a workspace's rate, since the others' would be smaller than a request.
 */
import type { ForwardWorkspace } from '../../../state/entry/deployment.js';
import {
  createRateBucket,
  getBucketWaitMs,
  getReservedTokens,
  keepTokens,
  type RateBucket,
  refundBucket,
  resizeRateBucket,
  takeFromBucket,
} from '../../../state/entry/rateBucket.js';
import { selectByRendezvous } from '../../../state/entry/rendezvous.js';
import { getLastMeanDemand, getOthersDemand } from '../exchange/othersDemand.js';
import type { ForwardRequest } from '../events.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { type EntryState } from '../state.js';

/** Fraction of the rate that is divided equally, regardless of demand. */
const EQUAL_FRACTION = 0.75;
/** Initial level of a bucket as a fraction of its capacity; low, as many processes may start in one window. */
const INITIAL_LEVEL_FRACTION = 0.25;
/**
 * Fraction of the tolerated excess that is added to the buckets' capacities, so that the bucket of a small share can
 * hold a request. The rest covers shares that do not sum to one while reports propagate.
 */
const EXCESS_FRACTION = 0.6;
/** A share below this fraction of the tolerated tokens holds hardly more than one typical request. */
const MIN_SHARE_FRACTION = 0.3;
/** Size of a share as a fraction of the same tokens where only some VMs have one. */
const HOLDER_SHARE_FRACTION = 0.5;
const MIN_HOLDERS = 2;
/** Time after which a caller that was told to come again is expected to have come, beyond the time that it was told. */
const RESERVATION_SLACK_MS = 500;
const MS_PER_SECOND = 1000;

/**
 * Estimates the total demand at the other VMs. A VM without a recent report counts with the mean of the known
 * demands, this VM's included, and at least with this VM's own and with the mean of the last reports.
 */
export function estimateOthersDemand(
  state: EntryState,
  workspace: string,
  ownDemand: number,
  nowMs: number,
): number {
  const { tokensPerSecond, vmCount } = getOthersDemand(state, workspace, nowMs);
  const missingReports = Math.max(0, countVmsSharingLimits(state) - 1 - vmCount);
  const meanDemand = (ownDemand + tokensPerSecond) / (vmCount + 1);
  const lastMeanDemand = getLastMeanDemand(state, workspace, nowMs);
  return tokensPerSecond + missingReports * Math.max(ownDemand, meanDemand, lastMeanDemand);
}

/** Returns the capacity of all buckets of a workspace together. */
function getTotalCapacity(state: EntryState, workspace: ForwardWorkspace): number {
  const { burstTokens, rateTokensPerSecond } = workspace;
  const { rateExcessPart, rateReserveTokens, rateWindowMs } = state.policy;
  const windowTokens = (rateTokensPerSecond * rateWindowMs) / MS_PER_SECOND + burstTokens;
  return burstTokens + (windowTokens * rateExcessPart + rateReserveTokens) * EXCESS_FRACTION;
}

/**
 * Returns the VMs that have a share of a workspace's rate; null if all have one. Where the shares of all VMs would be
 * too small for a request, only some have one, and the others borrow from them.
 */
export function getRateHolders(
  state: EntryState,
  workspace: ForwardWorkspace,
): readonly string[] | null {
  const capacity = getTotalCapacity(state, workspace);
  const { rateReserveTokens } = state.policy;
  const vmCount = countVmsSharingLimits(state);
  if (capacity >= rateReserveTokens * MIN_SHARE_FRACTION * vmCount) {
    return null;
  }
  const shareCount = Math.floor(capacity / (rateReserveTokens * HOLDER_SHARE_FRACTION));
  const count = Math.min(vmCount, Math.max(MIN_HOLDERS, shareCount));
  const { name } = workspace;
  const { sharingVmIds } = state;
  const known = state.rateHolders.get(name);
  if (known !== undefined && known.vmIds === sharingVmIds && known.holders.length === count) {
    return known.holders;
  }
  const holders = selectByRendezvous(name, [...sharingVmIds, state.self.vmId], count);
  state.rateHolders.set(name, { vmIds: sharingVmIds, holders });
  return holders;
}

/**
 * Returns this VM's share of a workspace's rate, in [0, 1]. Its own demand counts as last reported to the peers. They
 * have no newer value, so with one this VM would take a share that they have not given up yet.
 */
export function getRateShare(
  state: EntryState,
  workspace: ForwardWorkspace,
  nowMs: number,
): number {
  const holders = getRateHolders(state, workspace);
  if (holders !== null) {
    return holders.includes(state.self.vmId) ? 1 / holders.length : 0;
  }
  const { name } = workspace;
  const vmCount = countVmsSharingLimits(state);
  const ownDemand = state.reportedDemands.get(name) ?? 0;
  const total = ownDemand + estimateOthersDemand(state, name, ownDemand, nowMs);
  const demandShare = total > 0 ? ownDemand / total : 1 / vmCount;
  return EQUAL_FRACTION / vmCount + (1 - EQUAL_FRACTION) * demandShare;
}

/** Returns the capacity of this VM's bucket. A VM without a share has room for what it borrows. */
function getCapacity(state: EntryState, workspace: ForwardWorkspace, share: number): number {
  const totalCapacity = getTotalCapacity(state, workspace);
  if (share === 0 || getRateHolders(state, workspace) !== null) {
    return share === 0 ? totalCapacity : totalCapacity * share;
  }
  const reserveTokens = state.policy.rateReserveTokens * EXCESS_FRACTION;
  return (totalCapacity - reserveTokens) * share + reserveTokens / countVmsSharingLimits(state);
}

/** Returns this VM's bucket of a workspace, resized to the VM's current share. */
export function getRateBucket(
  state: EntryState,
  workspace: ForwardWorkspace,
  nowMs: number,
): RateBucket {
  const { name, rateTokensPerSecond } = workspace;
  const share = getRateShare(state, workspace, nowMs);
  const capacity = getCapacity(state, workspace, share);
  const rate = rateTokensPerSecond * share;
  const existing = state.buckets.get(name);
  if (existing === undefined) {
    // A bucket is created on first use, but refills from the start of the process.
    const level = share === 0 ? 0 : capacity * INITIAL_LEVEL_FRACTION;
    const bucket = createRateBucket(capacity, rate, level, state.startedAtMs);
    state.buckets.set(name, bucket);
    return bucket;
  }
  if (share === 0 && existing.rateTokensPerSecond > 0) {
    // The share that these tokens are from now belongs to another VM.
    existing.levelTokens = Math.min(0, existing.levelTokens);
  }
  resizeRateBucket(existing, capacity, rate, nowMs);
  return existing;
}

/** Returns what names the stream that a request takes up; null for a request from the beginning. */
function getStreamKey({ lastEventId, requestId, resumedRequestId }: ForwardRequest): string | null {
  return lastEventId === null ? null : (resumedRequestId ?? requestId);
}

/** The request to charge, and its cost. */
export interface RateCharge {
  readonly request: ForwardRequest;
  readonly costTokens: number;
}

/** Returns the tokens that a bucket must hold to admit a request: those that are kept for other requests stay in it. */
export function getNeededTokens(
  bucket: RateBucket,
  { costTokens, request }: RateCharge,
  nowMs: number,
): number {
  const key = getStreamKey(request);
  return key === null ? costTokens + getReservedTokens(bucket, key, nowMs) : costTokens;
}

/**
 * Takes the cost of a request from this VM's share of the workspace's rate. A caller that takes a stream up has events of it that
 * are lost if it cannot go on, so tokens are kept for it once it was rejected.
 *
 * @returns null if the cost was taken, else the time in milliseconds until it can be.
 */
export function chargeRate(
  state: EntryState,
  workspace: ForwardWorkspace,
  charge: RateCharge,
  nowMs: number,
): number | null {
  if (workspace.rateTokensPerSecond <= 0) {
    return null;
  }
  const { costTokens, request } = charge;
  const bucket = getRateBucket(state, workspace, nowMs);
  const key = getStreamKey(request);
  const neededTokens = getNeededTokens(bucket, charge, nowMs);
  if (
    getBucketWaitMs(bucket, neededTokens, nowMs) === 0 &&
    takeFromBucket(bucket, costTokens, nowMs)
  ) {
    if (key !== null) {
      bucket.reservations.delete(key);
    }
    return null;
  }
  const queuedTokens = costTokens + getReservedTokens(bucket, key, nowMs);
  // A VM without a share waits for the others' buckets to refill.
  const waitMs =
    bucket.rateTokensPerSecond === 0
      ? (queuedTokens * MS_PER_SECOND) / workspace.rateTokensPerSecond
      : getBucketWaitMs(bucket, queuedTokens, nowMs);
  if (key !== null) {
    const expiresAtMs = nowMs + waitMs + RESERVATION_SLACK_MS;
    keepTokens(bucket, key, { tokens: costTokens, expiresAtMs }, nowMs);
  }
  return waitMs;
}

/** Returns the cost of a request that has not run to the workspace's bucket. */
export function refundRate(state: EntryState, workspace: string, costTokens: number): void {
  const bucket = state.buckets.get(workspace);
  if (bucket !== undefined) {
    refundBucket(bucket, costTokens);
  }
}
