/**
 * Keeping the share table of this VM's failure domain, and this VM's slices in step with it.
 *
 * Every VM can write, but one at a time mostly does: each waits in the order of its rank among the live
 * VMs of the failure domain, so that the others only step in when those before them do not write. The
 * order only saves writes; the bound rests on the rules of the table.
 */
import { nextRandom } from '../state/random.js';
import {
  adoptEntry,
  areTablesEqual,
  getTargetUnits,
  planShares,
  releaseShares,
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
  Part,
} from './events.js';
import { addSeedMembers, findDomainMembers } from './members.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { setShareUnits } from './slices.js';

function getOwner(state: NodeState): ShareOwner {
  const { failureDomain, incarnation, vmId } = state.self;
  return { vmId, incarnation, failureDomain };
}

function isUnheard(state: NodeState, vmId: string, nowMs: number): boolean {
  // What happened before this process started is not known.
  const heardAtMs = Math.max(state.members.get(vmId)?.heardAtMs ?? 0, state.startedAtMs);
  return nowMs - heardAtMs > state.policy.memberGoneMs;
}

function isMissingFromList(state: NodeState, vmId: string, nowMs: number): boolean {
  const sinceMs = state.share.missingSinceMs.get(vmId);
  return sinceMs !== undefined && nowMs - sinceMs > state.policy.memberGoneMs;
}

/** Returns the VMs of the table that neither the platform nor any peer has seen for long. */
function findGoneVms(state: NodeState, nowMs: number): Set<string> {
  const gone = new Set<string>();
  // The list is looked at first: it misses few VMs, and each lookup is for one of hundreds.
  state.share.missingSinceMs.forEach((_sinceMs, vmId) => {
    if (isMissingFromList(state, vmId, nowMs) && isUnheard(state, vmId, nowMs)) {
      gone.add(vmId);
    }
  });
  gone.delete(state.self.vmId);
  return gone;
}

function findMembers(state: NodeState, nowMs: number): ShareMember[] {
  const { pledge } = state.share;
  return [
    { ...getOwner(state), pledge, isLeaving: state.lifecycle !== Lifecycle.Running },
    ...findDomainMembers(state, nowMs).map(
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

function planTable(state: NodeState, nowMs: number): ShareTable | null {
  const { table } = state.share;
  if (state.lifecycle === Lifecycle.Releasing) {
    return releaseShares(table, getOwner(state));
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

/** How long this VM leaves a change to those before it. */
function getRankDelayMs(state: NodeState, nowMs: number): number {
  const before = findDomainMembers(state, nowMs).filter(
    (member) => member.vmId < state.self.vmId && !member.leaving,
  );
  return before.length * state.policy.shareRankDelayMs;
}

function isTurn(state: NodeState, nowMs: number): boolean {
  const { share } = state;
  if (state.lifecycle === Lifecycle.Releasing) {
    return true;
  }
  share.differsSinceMs ??= nowMs;
  const rankedFromMs = share.differsSinceMs + getRankDelayMs(state, nowMs);
  return nowMs >= Math.max(share.notBeforeMs, rankedFromMs);
}

function isSettled(state: NodeState, nowMs: number): boolean {
  const { configuration, lifecycle, memberChanges, share } = state;
  const { pledge, settled, version } = share;
  return (
    settled !== null &&
    settled.version === version &&
    settled.memberChanges === memberChanges &&
    settled.configuration === configuration &&
    settled.pledge === pledge &&
    lifecycle === Lifecycle.Running &&
    findGoneVms(state, nowMs).size === 0
  );
}

/** Writes the entries of the failure domain if they are due to change and it is this VM's turn. */
export function reconcileShares(state: NodeState, nowMs: number): Command[] {
  const { share } = state;
  if (share.readAtMs === null || share.isWriting || isSettled(state, nowMs)) {
    return [];
  }
  const planned = planTable(state, nowMs);
  const isSame = planned !== null && !share.isRestored && areTablesEqual(planned, share.table);
  if (planned === null || isSame) {
    const { configuration, memberChanges } = state;
    const { pledge, version } = share;
    share.differsSinceMs = null;
    share.settled = isSame ? { version, memberChanges, configuration, pledge } : null;
    return [];
  }
  if (!isTurn(state, nowMs)) {
    return [];
  }
  share.isWriting = true;
  const expectedVersion = share.version;
  return [{ kind: CommandKind.WriteShareTable, table: planned, expectedVersion }];
}

/** Brings this VM's slices in step with the table; they shrink before the pledge is spread. */
export function adoptOwnEntry(state: NodeState, nowMs: number): void {
  const { configuration, self, share } = state;
  const targetUnits =
    configuration === null
      ? null
      : getTargetUnits(
          share.table.entries,
          configuration.document.vms.failureDomains,
          self.failureDomain,
        );
  const holding = adoptEntry(share.table, getOwner(state), share.pledge, targetUnits);
  setShareUnits(state, holding.units, nowMs);
  share.pledge = holding.pledge;
}

/** A store that was restored from a copy has an older table under a newer version. */
function isRestoredTable(state: NodeState, table: ShareTable, version: number): boolean {
  return table.serial < state.share.table.serial && version > state.share.version;
}

function keepOwnTable(state: NodeState, version: number): Command[] {
  state.share.version = version;
  state.share.isRestored = true;
  const fields = { version, serial: state.share.table.serial };
  return [createLog(LogLevel.Error, Part.Share, 'Refused an older share table.', fields)];
}

function acceptTable(state: NodeState, table: ShareTable, version: number, nowMs: number): void {
  const { share } = state;
  share.table = table;
  share.unitsByVmId = new Map(table.entries.map(({ units, vmId }) => [vmId, units]));
  share.version = version;
  share.readAtMs = nowMs;
  share.isSuspended = false;
  share.isRestored = false;
  state.storeHeardAtMs = nowMs;
  adoptOwnEntry(state, nowMs);
}

/** Takes the table as the store has it. */
export function handleShareTableRead(
  state: NodeState,
  event: EventOf<typeof EventKind.ShareTableRead>,
  nowMs: number,
): Command[] {
  state.share.isReading = false;
  if (state.share.isWriting || event.version < state.share.version) {
    return [];
  }
  if (isRestoredTable(state, event.table, event.version)) {
    return [...keepOwnTable(state, event.version), ...reconcileShares(state, nowMs)];
  }
  acceptTable(state, event.table, event.version, nowMs);
  return reconcileShares(state, nowMs);
}

/** Orders a read of the table, unless one is under way. */
export function readShares(state: NodeState): Command[] {
  if (state.share.isReading) {
    return [];
  }
  state.share.isReading = true;
  return [{ kind: CommandKind.ReadShareTable }];
}

function backOff(state: NodeState, nowMs: number): void {
  const { policy, random, share } = state;
  const longestMs = Math.min(
    policy.shareMaxBackoffMs,
    policy.shareBackoffMs * 2 ** share.lostSwaps,
  );
  share.lostSwaps += 1;
  share.notBeforeMs = nowMs + Math.round(longestMs * nextRandom(random));
}

/** Takes the outcome of an own write; anything but a sure success leads to a new read. */
export function handleShareWriteAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.ShareWriteAnswered>,
  nowMs: number,
): Command[] {
  state.share.isWriting = false;
  if (event.version === null) {
    backOff(state, nowMs);
    return readShares(state);
  }
  state.share.lostSwaps = 0;
  acceptTable(state, event.table, event.version, nowMs);
  const fields = { units: state.share.units, version: event.version };
  return [createLog(LogLevel.Info, Part.Share, 'The share table was written.', fields)];
}

/** Reads the table, and does so again after a jittered interval. */
export function handleShareTick(state: NodeState): Command[] {
  const { shareReadIntervalMs } = state.policy;
  const delayMs = Math.round(shareReadIntervalMs * (0.5 + nextRandom(state.random)));
  return [...readShares(state), createTickTimer(EventKind.ShareTick, delayMs)];
}

/** Notes since when each VM of the table has been missing from the platform's list. */
export function handleVmListRead(
  state: NodeState,
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

/** Notes that the store did not answer. Nothing is given up for it. */
export function handleStoreFailed(
  state: NodeState,
  event: EventOf<typeof EventKind.StoreFailed>,
): Command[] {
  state.share.isReading = false;
  const fields = { failure: event.diagnostic.key };
  return [createLog(LogLevel.Warn, Part.Store, 'The store did not answer.', fields)];
}
