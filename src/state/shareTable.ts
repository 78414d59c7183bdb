/**
 * Plans the share table, which divides the rate and burst of every workspace among the VMs.
 *
 * The table is one value in the store, changed by compare-and-swap, and its units never sum to more
 * than `TOTAL_SHARE_UNITS`. Any VM of a failure domain may write the entries of that domain, in one swap
 * for all of them, under rules that require no message from an unresponsive VM:
 *
 * - An entry may be raised at any time: its owner enlarges its slices once it has read the table.
 * - An entry is lowered only after its owner's pledge to spend no more than the lower number of units.
 *   The owner shrinks its slices first and then sends the pledge by gossip. The pledge names the grant
 *   that it applies to; each change of an entry has a new grant number, so an outdated pledge has no
 *   effect.
 * - An entry is removed, or transferred to a new process, only on proof that its owner can no longer
 *   spend: a later process answers at the same address, or a VM of the same failure domain finds that
 *   the owner is gone.
 *
 * Entries do not expire, so no VM loses its share in a store outage.
 */
import { Schema } from 'effect';
import type { FailureDomain } from './types.js';

export const TOTAL_SHARE_UNITS = 1_000_000;

const CountSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThanOrEqualTo(0));

const ShareEntrySchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  failureDomain: Schema.String,
  units: CountSchema,
  /** Number of the grant; incremented with each change of the entry. */
  grant: CountSchema,
});

export const ShareTableSchema = Schema.Struct({
  entries: Schema.Array(ShareEntrySchema),
  /** Incremented with each write, so that the older table of a restored store is detected. */
  serial: CountSchema,
});

export type ShareEntry = typeof ShareEntrySchema.Type;
export type ShareTable = typeof ShareTableSchema.Type;

export const EMPTY_SHARE_TABLE: ShareTable = { entries: [], serial: 0 };

/** A process as the table identifies it. */
export interface ShareOwner {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
}

/** An owner's commitment to spend no more than `units` of a grant. */
export interface SharePledge {
  readonly grant: number;
  readonly units: number;
}

/** A live process and its pledge, if it has made one. */
export interface ShareMember extends ShareOwner {
  readonly pledge: SharePledge | null;
  readonly isLeaving: boolean;
}

/** The input for the plan of a failure domain's entries. */
export interface SharePlanInput {
  readonly failureDomain: string;
  readonly domains: readonly FailureDomain[];
  /** Live members of the failure domain. */
  readonly members: readonly ShareMember[];
  /** VMs of the failure domain that are proven to be gone. */
  readonly goneVmIds: ReadonlySet<string>;
}

function sumUnits(entries: readonly ShareEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.units, 0);
}

/** Returns the entry of a process. */
export function findOwnEntry(table: ShareTable, owner: ShareOwner): ShareEntry | undefined {
  return table.entries.find(
    (entry) => entry.vmId === owner.vmId && entry.incarnation === owner.incarnation,
  );
}

/** Returns the units that the document assigns to a failure domain. */
export function getDomainUnits(domains: readonly FailureDomain[], name: string): number {
  const total = domains.reduce((sum, domain) => sum + domain.share, 0);
  const share = domains.find((domain) => domain.name === name)?.share ?? 0;
  return total === 0 ? 0 : Math.floor((TOTAL_SHARE_UNITS * share) / total);
}

/** Returns the units that each VM of a failure domain should have. */
export function getTargetUnits(
  entries: readonly ShareEntry[],
  domains: readonly FailureDomain[],
  failureDomain: string,
): number {
  const count = entries.filter((entry) => entry.failureDomain === failureDomain).length;
  return count === 0 ? 0 : Math.floor(getDomainUnits(domains, failureDomain) / count);
}

/** The units that an owner may spend, and its pledge, which is null if it may spend its whole entry. */
export interface ShareHolding {
  readonly units: number;
  readonly pledge: SharePledge | null;
}

/**
 * Computes the holding of an owner from its entry in the table. An owner with more units than its target
 * shrinks to the target and pledges to stay there. The pledge applies until its entry has a new grant.
 *
 * @param targetUnits Null while the target is unknown.
 */
export function computeHolding(
  table: ShareTable,
  owner: ShareOwner,
  pledge: SharePledge | null,
  targetUnits: number | null,
): ShareHolding {
  const entry = findOwnEntry(table, owner);
  if (entry === undefined) {
    return { units: 0, pledge: null };
  }
  const isPledgeCurrent = pledge !== null && pledge.grant === entry.grant;
  const heldUnits = isPledgeCurrent ? Math.min(entry.units, pledge.units) : entry.units;
  if (targetUnits !== null && targetUnits < heldUnits) {
    return { units: targetUnits, pledge: { grant: entry.grant, units: targetUnits } };
  }
  return { units: heldUnits, pledge: isPledgeCurrent ? pledge : null };
}

function changeUnits(entry: ShareEntry, units: number): ShareEntry {
  return units === entry.units ? entry : { ...entry, units, grant: entry.grant + 1 };
}

/** Transfers an entry to the process that now answers at its owner's address. */
function transferEntry(entry: ShareEntry, member: ShareMember | undefined): ShareEntry {
  return member === undefined || member.incarnation === entry.incarnation
    ? entry
    : { ...entry, incarnation: member.incarnation, grant: entry.grant + 1 };
}

function applyPledge(entry: ShareEntry, member: ShareMember | undefined): ShareEntry {
  const pledge = member?.incarnation === entry.incarnation ? member.pledge : null;
  const isCurrent = pledge !== null && pledge.grant === entry.grant;
  return isCurrent ? changeUnits(entry, Math.min(entry.units, pledge.units)) : entry;
}

function addMissingEntries(
  entries: readonly ShareEntry[],
  members: readonly ShareMember[],
): ShareEntry[] {
  const existingVmIds = new Set(entries.map((entry) => entry.vmId));
  const added = members
    .filter((member) => !existingVmIds.has(member.vmId) && !member.isLeaving)
    .map(({ failureDomain, incarnation, vmId }) => {
      const entry = { vmId, incarnation, failureDomain, units: 0, grant: 1 };
      return entry;
    });
  return [...entries, ...added];
}

function raiseEntries(
  entries: readonly ShareEntry[],
  targetUnits: number,
  freeUnits: number,
): ShareEntry[] {
  let remainingUnits = Math.max(0, freeUnits);
  return entries.map((entry) => {
    const raise = Math.min(Math.max(0, targetUnits - entry.units), remainingUnits);
    remainingUnits -= raise;
    return changeUnits(entry, entry.units + raise);
  });
}

/**
 * Plans the entries of one failure domain; the entries of all others stay unchanged. Returns the table itself if no entry
 * changes.
 */
export function planShares(table: ShareTable, input: SharePlanInput): ShareTable {
  const { domains, failureDomain, goneVmIds, members } = input;
  const byVmId = new Map(members.map((member) => [member.vmId, member]));
  const others: ShareEntry[] = [];
  const own: ShareEntry[] = [];
  table.entries.forEach((entry) => {
    (entry.failureDomain === failureDomain ? own : others).push(entry);
  });
  const kept = own
    .filter((entry) => !goneVmIds.has(entry.vmId))
    .map((entry) => transferEntry(entry, byVmId.get(entry.vmId)))
    .map((entry) => applyPledge(entry, byVmId.get(entry.vmId)));
  const domainEntries = addMissingEntries(kept, members);
  const domainUnits = getDomainUnits(domains, failureDomain);
  const targetUnits = Math.floor(domainUnits / Math.max(1, domainEntries.length));
  const usedUnits = sumUnits(domainEntries);
  const freeUnits = Math.min(
    TOTAL_SHARE_UNITS - sumUnits(others) - usedUnits,
    domainUnits - usedUnits,
  );
  const raised = raiseEntries(domainEntries, targetUnits, freeUnits);
  const isSame = raised.length === own.length && raised.every((entry, i) => entry === own[i]);
  return isSame ? table : { ...table, entries: [...others, ...raised] };
}

/**
 * Plans the table without an owner's entry, for the graceful shutdown of the owner. Returns the table itself if the owner has
 * no entry.
 */
export function planRelease(table: ShareTable, owner: ShareOwner): ShareTable {
  const own = findOwnEntry(table, owner);
  return own === undefined
    ? table
    : { ...table, entries: table.entries.filter((entry) => entry !== own) };
}

/** Returns a planned table as it is written: with the next serial. */
export function createNextTable(planned: ShareTable): ShareTable {
  return { entries: planned.entries, serial: planned.serial + 1 };
}
