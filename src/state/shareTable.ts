/**
 * How the rate and burst of every workspace are divided among the VMs.
 *
 * The table is one value in the store, changed by compare-and-swap, and its units never sum to more
 * than `TOTAL_SHARE_UNITS`. Any VM of a failure domain may write the entries of that domain, in one swap
 * for all of them, under rules that need no word from a VM that is silent:
 *
 * - An entry may be raised at any time: its owner grows once it has read the table.
 * - An entry is lowered only on its owner's pledge. The owner shrinks its slices first and then spreads
 *   the pledge, which names the grant it belongs to; each change of an entry is a new grant, so a pledge
 *   that is out of date binds nobody.
 * - An entry is removed, or passed to a new process, only on proof that its owner can no longer spend:
 *   a later process answers at the same address, or a VM of the same failure domain finds it gone.
 *
 * No entry lapses by time, so a store outage takes nothing from anybody.
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
  /** Grows with each change of the entry. */
  grant: CountSchema,
});

export const ShareTableSchema = Schema.Struct({
  entries: Schema.Array(ShareEntrySchema),
  /** Grows with each write, so that a table from a restored store is known as old. */
  serial: CountSchema,
});

export type ShareEntry = typeof ShareEntrySchema.Type;
export type ShareTable = typeof ShareTableSchema.Type;

export const EMPTY_SHARE_TABLE: ShareTable = { entries: [], serial: 0 };

/** A process as the table names it. */
export interface ShareOwner {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
}

/** An owner's promise to spend no more than some units of a grant. */
export interface SharePledge {
  readonly grant: number;
  readonly units: number;
}

/** A process that is known to live, with its pledge if it has made one. */
export interface ShareMember extends ShareOwner {
  readonly pledge: SharePledge | null;
  readonly isLeaving: boolean;
}

/** What a VM knows when it plans the entries of its failure domain. */
export interface SharePlanInput {
  readonly failureDomain: string;
  readonly domains: readonly FailureDomain[];
  /** Live members of the failure domain that stay. */
  readonly members: readonly ShareMember[];
  /** VMs of the failure domain that are proved to be gone. */
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

/** Returns the units that the document gives to a failure domain. */
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

/** What an owner may spend, and its pledge for the rest of its entry. */
export interface ShareHolding {
  readonly units: number;
  readonly pledge: SharePledge | null;
}

/**
 * Brings an owner in step with the table. An owner over its target shrinks to it and pledges that; the
 * pledge binds it until its entry has a new grant.
 *
 * @param targetUnits Null while the target is not known.
 */
export function adoptEntry(
  table: ShareTable,
  owner: ShareOwner,
  pledge: SharePledge | null,
  targetUnits: number | null,
): ShareHolding {
  const entry = findOwnEntry(table, owner);
  if (entry === undefined) {
    return { units: 0, pledge: null };
  }
  const isBinding = pledge !== null && pledge.grant === entry.grant;
  const heldUnits = isBinding ? Math.min(entry.units, pledge.units) : entry.units;
  if (targetUnits !== null && targetUnits < heldUnits) {
    return { units: targetUnits, pledge: { grant: entry.grant, units: targetUnits } };
  }
  return { units: heldUnits, pledge: isBinding ? pledge : null };
}

function changeUnits(entry: ShareEntry, units: number): ShareEntry {
  return units === entry.units ? entry : { ...entry, units, grant: entry.grant + 1 };
}

/** Passes an entry to the process that now answers at its address. */
function renewEntry(entry: ShareEntry, member: ShareMember | undefined): ShareEntry {
  return member === undefined || member.incarnation === entry.incarnation
    ? entry
    : { ...entry, incarnation: member.incarnation, grant: entry.grant + 1 };
}

function applyPledge(entry: ShareEntry, member: ShareMember | undefined): ShareEntry {
  const pledge = member?.incarnation === entry.incarnation ? member.pledge : null;
  const isCurrent = pledge !== null && pledge.grant === entry.grant;
  return isCurrent ? changeUnits(entry, Math.min(entry.units, pledge.units)) : entry;
}

function addNewcomers(
  entries: readonly ShareEntry[],
  members: readonly ShareMember[],
): ShareEntry[] {
  const known = new Set(entries.map((entry) => entry.vmId));
  const newcomers = members
    .filter((member) => !known.has(member.vmId) && !member.isLeaving)
    .map(({ failureDomain, incarnation, vmId }) => {
      const entry = { vmId, incarnation, failureDomain, units: 0, grant: 1 };
      return entry;
    });
  return [...entries, ...newcomers];
}

function raiseEntries(
  entries: readonly ShareEntry[],
  targetUnits: number,
  freeUnits: number,
): ShareEntry[] {
  let leftUnits = Math.max(0, freeUnits);
  return entries.map((entry) => {
    const raise = Math.min(Math.max(0, targetUnits - entry.units), leftUnits);
    leftUnits -= raise;
    return changeUnits(entry, entry.units + raise);
  });
}

/** Plans the entries of one failure domain; all others stay as they are. */
export function planShares(table: ShareTable, input: SharePlanInput): ShareTable {
  const { domains, failureDomain, goneVmIds, members } = input;
  const byVmId = new Map(members.map((member) => [member.vmId, member]));
  const others = table.entries.filter((entry) => entry.failureDomain !== failureDomain);
  const kept = table.entries
    .filter((entry) => entry.failureDomain === failureDomain)
    .filter((entry) => !goneVmIds.has(entry.vmId))
    .map((entry) => renewEntry(entry, byVmId.get(entry.vmId)))
    .map((entry) => applyPledge(entry, byVmId.get(entry.vmId)));
  const own = addNewcomers(kept, members);
  const targetUnits = getTargetUnits(own, domains, failureDomain);
  const freeUnits = Math.min(
    TOTAL_SHARE_UNITS - sumUnits(others) - sumUnits(own),
    getDomainUnits(domains, failureDomain) - sumUnits(own),
  );
  const entries = [...others, ...raiseEntries(own, targetUnits, freeUnits)];
  return { entries, serial: table.serial + 1 };
}

/** Plans the table without an owner, for its planned stop. */
export function releaseShares(table: ShareTable, owner: ShareOwner): ShareTable {
  const own = findOwnEntry(table, owner);
  const entries = table.entries.filter((entry) => entry !== own);
  return { entries, serial: table.serial + 1 };
}

function isSameGrant(a: ShareEntry, b: ShareEntry | undefined): boolean {
  return (
    b !== undefined &&
    (a === b || (a.vmId === b.vmId && a.incarnation === b.incarnation && a.grant === b.grant))
  );
}

/** Tells whether two tables hold the same grants, in any order. */
export function areTablesEqual(a: ShareTable, b: ShareTable): boolean {
  if (a.entries.length !== b.entries.length) {
    return false;
  }
  // A plan mostly keeps the entries themselves, so that the lookup by VM is seldom needed.
  const left = new Map(a.entries.map((entry) => [entry.vmId, entry]));
  return b.entries.every((entry) => isSameGrant(entry, left.get(entry.vmId)));
}
