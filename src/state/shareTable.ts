/**
 * How the rate and burst of every workspace are divided among the VMs.
 *
 * The table is one value in the store, changed by compare-and-swap, and its units never sum to more
 * than `TOTAL_SHARE_UNITS`. A VM changes only its own entry: it lowers its slices before it writes a
 * smaller entry, and raises them after it has written a larger one. An entry is removed for its owner
 * only on proof that the owner can no longer spend: the same address was taken over by a new process,
 * or a VM of the same failure domain has evidence that it is gone. No entry lapses by time, so a store
 * outage takes nothing from anybody.
 */
import { Schema } from 'effect';
import type { FailureDomain } from './types.js';

export const TOTAL_SHARE_UNITS = 1_000_000;

const ShareEntrySchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  failureDomain: Schema.String,
  units: Schema.Number.check(Schema.isInt(), Schema.isGreaterThanOrEqualTo(0)),
});

export const ShareTableSchema = Schema.Struct({ entries: Schema.Array(ShareEntrySchema) });

export type ShareEntry = typeof ShareEntrySchema.Type;
export type ShareTable = typeof ShareTableSchema.Type;

export const EMPTY_SHARE_TABLE: ShareTable = { entries: [] };

/** The VM that plans, as the table names it. */
export interface ShareOwner {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
}

function sumUnits(entries: readonly ShareEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.units, 0);
}

/** Returns the units of the owner's entry, zero without one. */
export function getOwnUnits(table: ShareTable, owner: ShareOwner): number {
  const own = table.entries.find(
    (entry) => entry.vmId === owner.vmId && entry.incarnation === owner.incarnation,
  );
  return own?.units ?? 0;
}

/** Returns the units that the document gives to a failure domain. */
export function getDomainUnits(domains: readonly FailureDomain[], name: string): number {
  const total = domains.reduce((sum, domain) => sum + domain.share, 0);
  const share = domains.find((domain) => domain.name === name)?.share ?? 0;
  return total === 0 ? 0 : Math.floor((TOTAL_SHARE_UNITS * share) / total);
}

function isObsolete(entry: ShareEntry, owner: ShareOwner, goneVmIds: ReadonlySet<string>): boolean {
  const isPredecessor = entry.vmId === owner.vmId && entry.incarnation !== owner.incarnation;
  const isGone = entry.failureDomain === owner.failureDomain && goneVmIds.has(entry.vmId);
  return isPredecessor || (isGone && entry.vmId !== owner.vmId);
}

/**
 * Plans the owner's next entry.
 *
 * @param goneVmIds VMs of the owner's failure domain that are proved to be gone.
 * @returns the table to write; the same units as before when nothing is to change.
 */
export function planShares(
  table: ShareTable,
  owner: ShareOwner,
  domains: readonly FailureDomain[],
  goneVmIds: ReadonlySet<string>,
): ShareTable {
  const kept = table.entries.filter((entry) => !isObsolete(entry, owner, goneVmIds));
  const others = kept.filter((entry) => entry.vmId !== owner.vmId);
  const domainOthers = others.filter((entry) => entry.failureDomain === owner.failureDomain);
  const domainUnits = getDomainUnits(domains, owner.failureDomain);
  const targetUnits = Math.floor(domainUnits / (domainOthers.length + 1));
  const freeUnits = Math.min(
    TOTAL_SHARE_UNITS - sumUnits(others),
    domainUnits - sumUnits(domainOthers),
  );
  const units = Math.max(0, Math.min(targetUnits, freeUnits));
  return { entries: [...others, { ...owner, units }] };
}

/** Plans the table without the owner, for a planned stop. */
export function releaseShares(table: ShareTable, owner: ShareOwner): ShareTable {
  return {
    entries: table.entries.filter(
      (entry) => entry.vmId !== owner.vmId || entry.incarnation !== owner.incarnation,
    ),
  };
}

function formatEntry(entry: ShareEntry): string {
  return [entry.failureDomain, entry.vmId, entry.incarnation, entry.units].join(' ');
}

/** Tells whether two tables hold the same entries, in any order. */
export function areTablesEqual(a: ShareTable, b: ShareTable): boolean {
  const left = a.entries.map(formatEntry).toSorted();
  const right = b.entries.map(formatEntry).toSorted();
  return left.length === right.length && left.every((text, i) => text === right[i]);
}
