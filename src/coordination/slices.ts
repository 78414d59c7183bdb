/**
 * Manages this VM's slices of the workspaces' token buckets. The burst and the rate of each slice are
 * the workspace's, scaled by this VM's share units.
 */
import { TOTAL_SHARE_UNITS } from '../state/shareTable.js';
import { createTokenSlice, resizeSlice, type TokenSlice } from '../state/tokenSlice.js';
import type { Workspace } from '../state/types.js';
import type { VmState } from './vmState.js';

const MICRO_PER_TOKEN = 1_000_000;

function scaleToShare(amount: number, units: number): number {
  return (amount * units) / TOTAL_SHARE_UNITS;
}

/** Returns the slice of a workspace; creates an empty one if there is none. */
export function getSlice(state: VmState, workspace: Workspace, nowMs: number): TokenSlice {
  const existing = state.slices.get(workspace.name);
  if (existing !== undefined) {
    return existing;
  }
  const { units } = state.share;
  const slice = createTokenSlice(
    scaleToShare(workspace.burstTokens, units),
    scaleToShare(workspace.rateTokensPerSecond, units),
    nowMs,
  );
  state.slices.set(workspace.name, slice);
  return slice;
}

/** Returns the maximum number of tokens that a slice holds. */
export function getSliceCapacity(slice: TokenSlice): number {
  return Math.floor(slice.capacityMicro / MICRO_PER_TOKEN);
}

/**
 * Resizes every slice after a change of the share or the document, and removes the slices of deleted
 * workspaces.
 */
export function resizeSlices(state: VmState, nowMs: number): void {
  const workspaces = state.configuration?.document.workspaces.workspaces ?? [];
  const { units } = state.share;
  workspaces.forEach((workspace) => {
    resizeSlice(
      getSlice(state, workspace, nowMs),
      scaleToShare(workspace.burstTokens, units),
      scaleToShare(workspace.rateTokensPerSecond, units),
      nowMs,
    );
  });
  const names = new Set(workspaces.map((workspace) => workspace.name));
  [...state.slices.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => state.slices.delete(name));
}

/** Sets this VM's share units and resizes the slices accordingly. */
export function setShareUnits(state: VmState, units: number, nowMs: number): void {
  if (units === state.share.units) {
    return;
  }
  state.share.units = units;
  resizeSlices(state, nowMs);
}

/** Returns whether this VM may spend and lend the tokens of its share now. */
export function isShareUsable(state: VmState): boolean {
  return !state.share.isSuspended;
}

function hasOtherVmInDomain(state: VmState): boolean {
  const { failureDomain, vmId } = state.self;
  return state.share.table.entries.some(
    (entry) => entry.failureDomain === failureDomain && entry.vmId !== vmId,
  );
}

/**
 * Suspends this VM's share if another VM of its failure domain may meanwhile have declared this VM gone:
 * if this VM was frozen, or if for the isolation timeout it received neither an answer from the store nor
 * gossip about its failure domain. The suspension ends when this VM reads the share table.
 */
export function suspendShareIfIsolated(state: VmState, nowMs: number): void {
  const { isolationTimeoutMs } = state.policy;
  const wasFrozen = nowMs - state.lastEventAtMs > isolationTimeoutMs;
  const heardAtMs = Math.max(state.lastStoreContactAtMs, state.lastDomainContactAtMs);
  const isIsolated = nowMs - heardAtMs > isolationTimeoutMs && hasOtherVmInDomain(state);
  state.lastEventAtMs = nowMs;
  if (wasFrozen || isIsolated) {
    state.share.isSuspended = true;
  }
}
