/**
 * Keeping this VM's entry of the share table.
 *
 * Order matters: slices shrink before a smaller entry is written and grow only after a larger one is
 * known to be written. A write whose answer is lost counts as not written until the table is read again.
 */
import {
  areTablesEqual,
  getOwnUnits,
  planShares,
  releaseShares,
  type ShareOwner,
  type ShareTable,
} from '../state/shareTable.js';
import { addSeedMembers } from './gossip.js';
import {
  type Command,
  CommandKind,
  createLog,
  EventKind,
  type EventOf,
  LogLevel,
  Part,
} from './events.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { nextRandom } from '../state/random.js';
import { setShareUnits } from './slices.js';

function getOwner(state: NodeState): ShareOwner {
  const { failureDomain, incarnation, vmId } = state.self;
  return { vmId, incarnation, failureDomain };
}

function isUnheard(state: NodeState, vmId: string, nowMs: number): boolean {
  const heardAtMs = Math.max(
    state.members.get(vmId)?.heardAtMs ?? 0,
    // What happened before this process started is not known.
    state.startedAtMs,
  );
  return nowMs - heardAtMs > state.policy.memberGoneMs;
}

function isMissingFromList(state: NodeState, vmId: string, nowMs: number): boolean {
  const sinceMs = state.share.missingSinceMs.get(vmId);
  return sinceMs !== undefined && nowMs - sinceMs > state.policy.memberGoneMs;
}

/** Returns the VMs of the table that neither the platform nor any peer has seen for long. */
export function findGoneVms(state: NodeState, table: ShareTable, nowMs: number): Set<string> {
  const gone = table.entries
    .map((entry) => entry.vmId)
    .filter((vmId) => vmId !== state.self.vmId)
    .filter((vmId) => isUnheard(state, vmId, nowMs) && isMissingFromList(state, vmId, nowMs));
  return new Set(gone);
}

function planTable(state: NodeState, nowMs: number): ShareTable | null {
  const { table } = state.share;
  if (state.lifecycle !== Lifecycle.Running) {
    return releaseShares(table, getOwner(state));
  }
  if (state.configuration === null) {
    return null;
  }
  const domains = state.configuration.document.vms.failureDomains;
  return planShares(table, getOwner(state), domains, findGoneVms(state, table, nowMs));
}

/** Writes the table that this VM wants, if it differs from the one in the store. */
export function reconcileShares(state: NodeState, nowMs: number): Command[] {
  const { share } = state;
  if (share.readAtMs === null || share.isWriting) {
    return [];
  }
  const planned = planTable(state, nowMs);
  if (planned === null || areTablesEqual(planned, share.table)) {
    return [];
  }
  const plannedUnits = getOwnUnits(planned, getOwner(state));
  if (plannedUnits < share.units) {
    setShareUnits(state, plannedUnits, nowMs);
  }
  share.isWriting = true;
  const expectedVersion = share.version;
  return [{ kind: CommandKind.WriteShareTable, table: planned, expectedVersion }];
}

function acceptTable(state: NodeState, table: ShareTable, version: number, nowMs: number): void {
  const { share } = state;
  share.table = table;
  share.version = version;
  share.readAtMs = nowMs;
  share.isSuspended = false;
  state.storeHeardAtMs = nowMs;
  setShareUnits(state, getOwnUnits(table, getOwner(state)), nowMs);
}

/** Takes the table as the store has it. */
export function handleShareTableRead(
  state: NodeState,
  event: EventOf<typeof EventKind.ShareTableRead>,
  nowMs: number,
): Command[] {
  if (state.share.isWriting || event.version < state.share.version) {
    return [];
  }
  acceptTable(state, event.table, event.version, nowMs);
  return reconcileShares(state, nowMs);
}

/** Takes the outcome of an own write; anything but a sure success leads to a new read. */
export function handleShareWriteAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.ShareWriteAnswered>,
  nowMs: number,
): Command[] {
  state.share.isWriting = false;
  if (event.version === null) {
    return [{ kind: CommandKind.ReadShareTable }];
  }
  acceptTable(state, event.table, event.version, nowMs);
  const fields = { units: state.share.units, version: event.version };
  return [createLog(LogLevel.Info, Part.Share, 'The share of this VM was written.', fields)];
}

/** Reads the table, and does so again after a jittered interval. */
export function handleShareTick(state: NodeState): Command[] {
  const { shareReadIntervalMs } = state.policy;
  const delayMs = Math.round(shareReadIntervalMs * (0.5 + nextRandom(state.random)));
  return [
    { kind: CommandKind.ReadShareTable },
    {
      kind: CommandKind.StartTimer,
      timerId: EventKind.ShareTick,
      delayMs,
      event: { kind: EventKind.ShareTick },
    },
  ];
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
  state.share.isWriting = false;
  const fields = { failure: event.diagnostic.key };
  return [createLog(LogLevel.Warn, Part.Store, 'The store did not answer.', fields)];
}
