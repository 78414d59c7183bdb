/**
 * A VM's copy of the store, with its recent changes. A VM that reads the store passes the changes on to the VMs that do
 * not. The revision of a mirror never decreases: a store that was restored from a copy continues in a later era.
 */
import type { StoredItem, StoreUpdate } from '../storedItems.js';
import { getStoreEra } from '../storeRevision.js';

/** Number of recent changes that are kept. A VM that is further behind gets a snapshot. */
const MAX_CHANGES = 2_000;

/**
 * Returns true if an item that was read must not replace the known one, although its revision is later: a restored store
 * has older contents.
 */
export type IsRegression = (known: StoredItem, read: StoredItem) => boolean;

/** The copy. Mutable. */
export interface StoreMirror {
  readonly items: Map<string, StoredItem>;
  readonly isRegression: IsRegression;
  /** Revision of the store; 0 before the first read. */
  revision: number;
  /** Recent changes in the order in which they were applied. */
  changes: { readonly item: StoredItem; readonly revision: number }[];
  /** The changes are complete after this revision. */
  changesAfterRevision: number;
}

/** Creates an empty mirror. */
export function createStoreMirror(isRegression: IsRegression = () => false): StoreMirror {
  return { items: new Map(), isRegression, revision: 0, changes: [], changesAfterRevision: 0 };
}

/** Returns an update without the items that are older than one before them of the same key. */
export function dropOutdatedItems(update: StoreUpdate): StoreUpdate {
  const latest = new Map<string, number>();
  const items = update.items.filter(({ key, version }) => {
    const isLatest = version >= (latest.get(key) ?? version);
    if (isLatest) {
      latest.set(key, version);
    }
    return isLatest;
  });
  return { ...update, items };
}

/** Returns what a snapshot changes, including the removal of the keys that it lacks. */
function diffSnapshot(mirror: StoreMirror, { items, revision }: StoreUpdate): StoredItem[] {
  const keys = new Set(items.map(({ key }) => key));
  const removed = [...mirror.items.keys()]
    .filter((key) => !keys.has(key))
    .map((key) => ({ key, value: null, version: revision }));
  const written = items.filter(({ key, value, version }) => {
    const known = mirror.items.get(key);
    return known?.version !== version || known.value !== value;
  });
  return [...removed, ...written];
}

function applyItem(mirror: StoreMirror, read: StoredItem, revision: number): void {
  const known = mirror.items.get(read.key);
  const isRegression = known !== undefined && mirror.isRegression(known, read);
  const item = isRegression ? { ...read, value: known.value } : read;
  if (item.value === null) {
    mirror.items.delete(item.key);
  } else {
    mirror.items.set(item.key, item);
  }
  mirror.changes.push({ item, revision });
}

/**
 * Applies an update. Returns false and changes nothing if the update is older than the mirror, or has the changes of a
 * later era without the contents that they change.
 */
export function updateStoreMirror(mirror: StoreMirror, received: StoreUpdate): boolean {
  const update = dropOutdatedItems(received);
  const { isSnapshot, items, revision } = update;
  const isFirst = mirror.revision === 0;
  const isNewEra = !isFirst && getStoreEra(revision) > getStoreEra(mirror.revision);
  if (revision < mirror.revision || (isNewEra && !isSnapshot)) {
    return false;
  }
  const changes = isSnapshot ? diffSnapshot(mirror, update) : items;
  changes.forEach((item) => applyItem(mirror, item, revision));
  mirror.revision = revision;
  if (isFirst || isNewEra) {
    mirror.changes = [];
    mirror.changesAfterRevision = revision;
  }
  const excess = mirror.changes.length - MAX_CHANGES;
  if (excess > 0) {
    const dropped = mirror.changes.splice(0, excess);
    mirror.changesAfterRevision = dropped.at(-1)!.revision;
  }
  return true;
}

/** Returns the changes after a revision, or a snapshot if they are no longer known; null if the mirror is older. */
export function readStoreMirror(mirror: StoreMirror, afterRevision: number): StoreUpdate | null {
  const { changes, changesAfterRevision, items, revision } = mirror;
  if (revision === 0 || afterRevision > revision) {
    return null;
  }
  if (afterRevision < changesAfterRevision) {
    return { isSnapshot: true, items: [...items.values()], revision };
  }
  const latest = new Map<string, StoredItem>();
  changes
    .filter((change) => change.revision > afterRevision)
    .forEach(({ item }) => latest.set(item.key, item));
  return { isSnapshot: false, items: [...latest.values()], revision };
}
