/**
 * Revisions of the store, which order its changes.
 *
 * A store that is restored from a copy has lost its latest changes and gives their revisions out once more. It counts its
 * restores as eras, so a revision orders changes only together with the era in which it was given out. A store revision
 * holds both in one number: the era times a factor, plus the revision that the store gave out. A later era makes a later
 * store revision, whatever the revisions in it. Versions of keys and fencing tokens are store revisions too.
 */

/** Revisions that an era has room for: at a thousand writes a second, more than two years. */
const REVISIONS_PER_ERA = 2 ** 36;
/** With a later era, a store revision would not be a safe integer. */
const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_ERA) - 1;

/** Returns whether a number can be the era of a store. */
export function isStoreEra(era: number): boolean {
  return Number.isInteger(era) && era >= 0 && era <= MAX_ERA;
}

/** Returns whether a number can be a revision that a store has given out in an era. */
export function isRevisionInEra(revision: number): boolean {
  return Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA;
}

/** Creates the store revision of a revision that was given out in an era. */
export function createStoreRevision(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

/** Returns the era of a store revision; 0 for a store that has no eras. */
export function getStoreEra(storeRevision: number): number {
  return Math.floor(storeRevision / REVISIONS_PER_ERA);
}

/** Returns the revision as the store gave it out. */
export function getRevisionInEra(storeRevision: number): number {
  return storeRevision % REVISIONS_PER_ERA;
}

/** Formats a store revision for people, as `era.revision`. */
export function formatStoreRevision(storeRevision: number): string {
  return `${getStoreEra(storeRevision)}.${getRevisionInEra(storeRevision)}`;
}
