/**
 * Maintains the entries of this VM's failure domain in the share table, and resizes this VM's slices to
 * match its entry.
 *
 * Every VM may write the table. To avoid conflicting writes, each VM delays its write by its rank among
 * the live VMs of the failure domain, so that it only writes if the VMs ranked before it do not. The
 * delay only saves writes; the rules of the table alone guarantee the rate limit.
 */
import { nextRandom } from '../state/random.js';
import {
  computeHolding,
  createNextTable,
  getTargetUnits,
  planShares,
  planRelease,
  type ShareMember,
  type ShareOwner,
  type ShareTable,
} from '../state/shareTable.js';
import {
  type Command,
  CommandKind,
  createLog,
  createTickTimer,
  EventKind,
  type EventOf,
  LogLevel,
  LogPrefix,
} from './events.js';
import { addSeedMembers, findLiveDomainMembers } from './members.js';
import { Lifecycle, type VmState } from './vmState.js';
import { setShareUnits } from './slices.js';

function getSelfOwner(state: VmState): ShareOwner {
  const { failureDomain, incarnation, vmId } = state.self;
  return { vmId, incarnation, failureDomain };
}

function isSilent(state: VmState, vmId: string, nowMs: number): boolean {
  // This process has no record of what peers sent before it started.
  const lastHeartbeatAtMs = Math.max(
    state.members.get(vmId)?.heartbeatReceivedAtMs ?? 0,
    state.startedAtMs,
  );
  return nowMs - lastHeartbeatAtMs > state.policy.memberGoneMs;
}

function isMissingFromList(state: VmState, vmId: string, nowMs: number): boolean {
  const sinceMs = state.share.missingSinceMs.get(vmId);
  return sinceMs !== undefined && nowMs - sinceMs > state.policy.memberGoneMs;
}

/**
 * Returns the VMs of the table that are gone: for longer than the limit, the platform has not listed them
 * and no heartbeat of them has arrived.
 */
function findGoneVms(state: VmState, nowMs: number): Set<string> {
  const gone = new Set<string>();
  // Starts from the few VMs that the platform does not list, rather than look up hundreds of VMs.
  state.share.missingSinceMs.forEach((_sinceMs, vmId) => {
    if (isMissingFromList(state, vmId, nowMs) && isSilent(state, vmId, nowMs)) {
      gone.add(vmId);
    }
  });
  gone.delete(state.self.vmId);
  return gone;
}

function findMembers(state: VmState, nowMs: number): ShareMember[] {
  const { pledge } = state.share;
  return [
    { ...getSelfOwner(state), pledge, isLeaving: state.lifecycle !== Lifecycle.Running },
    ...findLiveDomainMembers(state, nowMs).map(
      ({ failureDomain, incarnation, leaving, pledgedGrant, shareUnits, vmId }) => ({
        vmId,
        incarnation,
        failureDomain,
        pledge: pledgedGrant === 0 ? null : { grant: pledgedGrant, units: shareUnits },
        isLeaving: leaving,
      }),
    ),
  ];
}

function planTable(state: VmState, nowMs: number): ShareTable | null {
  const { table } = state.share;
  if (state.lifecycle === Lifecycle.Releasing) {
    return planRelease(table, getSelfOwner(state));
  }
  if (state.configuration === null) {
    return null;
  }
  return planShares(table, {
    failureDomain: state.self.failureDomain,
    domains: state.configuration.document.vms.failureDomains,
    members: findMembers(state, nowMs),
    goneVmIds: findGoneVms(state, nowMs),
  });
}

/** Returns how long this VM delays a write to let the VMs ranked before it write first. */
function getRankDelayMs(state: VmState, nowMs: number): number {
  const rankedBefore = findLiveDomainMembers(state, nowMs).filter(
    (member) => member.vmId < state.self.vmId && !member.leaving,
  );
  return rankedBefore.length * state.policy.shareRankDelayMs;
}

function isOwnTurn(state: VmState, nowMs: number): boolean {
  const { share } = state;
  if (state.lifecycle === Lifecycle.Releasing) {
    return true;
  }
  share.changeDueSinceMs ??= nowMs;
  const earliestByRankMs = share.changeDueSinceMs + getRankDelayMs(state, nowMs);
  return nowMs >= Math.max(share.earliestWriteAtMs, earliestByRankMs);
}

function isLastPlanCurrent(state: VmState, nowMs: number): boolean {
  const { configuration, lifecycle, memberChangeCount, share } = state;
  const { pledge, unchangedPlanInputs, version } = share;
  return (
    unchangedPlanInputs !== null &&
    unchangedPlanInputs.version === version &&
    unchangedPlanInputs.memberChangeCount === memberChangeCount &&
    unchangedPlanInputs.configuration === configuration &&
    unchangedPlanInputs.pledge === pledge &&
    lifecycle === Lifecycle.Running &&
    findGoneVms(state, nowMs).size === 0
  );
}

/** Writes the entries of the failure domain if the plan differs from the table and it is this VM's turn. */
export function reconcileShares(state: VmState, nowMs: number): Command[] {
  const { share } = state;
  if (share.readAtMs === null || share.isWriting || isLastPlanCurrent(state, nowMs)) {
    return [];
  }
  const planned = planTable(state, nowMs);
  const isSame = planned === share.table && !share.isStoreTableOutdated;
  if (planned === null || isSame) {
    const { configuration, memberChangeCount } = state;
    const { pledge, version } = share;
    share.changeDueSinceMs = null;
    share.unchangedPlanInputs = isSame
      ? { version, memberChangeCount, configuration, pledge }
      : null;
    return [];
  }
  if (!isOwnTurn(state, nowMs)) {
    return [];
  }
  share.isWriting = true;
  const expectedVersion = share.version;
  const table = createNextTable(planned);
  return [{ kind: CommandKind.WriteShareTable, table, expectedVersion }];
}

/** Applies this VM's entry in the table. The slices shrink before the pledge is sent to peers. */
export function applyOwnEntry(state: VmState, nowMs: number): void {
  const { configuration, self, share } = state;
  const targetUnits =
    configuration === null
      ? null
      : getTargetUnits(
          share.table.entries,
          configuration.document.vms.failureDomains,
          self.failureDomain,
        );
  const holding = computeHolding(share.table, getSelfOwner(state), share.pledge, targetUnits);
  setShareUnits(state, holding.units, nowMs);
  share.pledge = holding.pledge;
}

/**
 * Returns whether a table has an older serial at a newer version, which happens when the store was restored
 * from a backup.
 */
function isRestoredTable(state: VmState, table: ShareTable, version: number): boolean {
  return table.serial < state.share.table.serial && version > state.share.version;
}

function rejectTable(state: VmState, version: number): Command[] {
  state.share.version = version;
  state.share.isStoreTableOutdated = true;
  const fields = { version, serial: state.share.table.serial };
  return [
    createLog(
      LogLevel.Error,
      LogPrefix.Share,
      'Rejected a share table that is older than the local copy.',
      fields,
    ),
  ];
}

function acceptTable(state: VmState, table: ShareTable, version: number, nowMs: number): void {
  const { share } = state;
  share.table = table;
  share.unitsByVmId = new Map(table.entries.map(({ units, vmId }) => [vmId, units]));
  share.version = version;
  share.readAtMs = nowMs;
  share.isSuspended = false;
  share.isStoreTableOutdated = false;
  state.lastStoreContactAtMs = nowMs;
  applyOwnEntry(state, nowMs);
}

/** Applies the table that was read from the store. */
export function handleShareTableRead(
  state: VmState,
  event: EventOf<typeof EventKind.ShareTableRead>,
  nowMs: number,
): Command[] {
  state.share.isReading = false;
  if (state.share.isWriting || event.version < state.share.version) {
    return [];
  }
  if (isRestoredTable(state, event.table, event.version)) {
    return [...rejectTable(state, event.version), ...reconcileShares(state, nowMs)];
  }
  acceptTable(state, event.table, event.version, nowMs);
  return reconcileShares(state, nowMs);
}

/** Requests a read of the table, unless one is in progress. */
export function readShares(state: VmState): Command[] {
  if (state.share.isReading) {
    return [];
  }
  state.share.isReading = true;
  return [{ kind: CommandKind.ReadShareTable }];
}

function backOff(state: VmState, nowMs: number): void {
  const { policy, random, share } = state;
  const maxDelayMs = Math.min(
    policy.shareMaxBackoffMs,
    policy.shareBackoffMs * 2 ** share.consecutiveWriteFailures,
  );
  share.consecutiveWriteFailures += 1;
  share.earliestWriteAtMs = nowMs + Math.round(maxDelayMs * nextRandom(random));
}

/**
 * Processes the outcome of a write by this VM. Unless the write is known to have succeeded, backs off and
 * reads the table again.
 */
export function handleShareWriteAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.ShareWriteAnswered>,
  nowMs: number,
): Command[] {
  state.share.isWriting = false;
  if (event.version === null) {
    backOff(state, nowMs);
    return readShares(state);
  }
  state.share.consecutiveWriteFailures = 0;
  acceptTable(state, event.table, event.version, nowMs);
  const fields = { units: state.share.units, version: event.version };
  return [createLog(LogLevel.Info, LogPrefix.Share, 'The share table was written.', fields)];
}

/** Reads the table, and schedules the next read after a jittered interval. */
export function handleShareTick(state: VmState): Command[] {
  const { shareReadIntervalMs } = state.policy;
  const delayMs = Math.round(shareReadIntervalMs * (0.5 + nextRandom(state.random)));
  return [...readShares(state), createTickTimer(EventKind.ShareTick, delayMs)];
}

/** Records since when each VM of the table has been missing from the platform's list. */
export function handleVmListRead(
  state: VmState,
  event: EventOf<typeof EventKind.VmListRead>,
  nowMs: number,
): Command[] {
  const listed = new Set(event.vms.map((vm) => vm.vmId));
  const { missingSinceMs, table } = state.share;
  addSeedMembers(state, event.vms);
  table.entries.forEach(({ vmId }) => {
    if (listed.has(vmId)) {
      missingSinceMs.delete(vmId);
    } else if (!missingSinceMs.has(vmId)) {
      missingSinceMs.set(vmId, nowMs);
    }
  });
  return [];
}

/** Logs that the store did not answer. This VM keeps its share meanwhile. */
export function handleStoreFailed(
  state: VmState,
  event: EventOf<typeof EventKind.StoreFailed>,
): Command[] {
  state.share.isReading = false;
  const fields = { failure: event.diagnostic.key };
  return [createLog(LogLevel.Warn, LogPrefix.Store, 'The store did not answer.', fields)];
}
