/**
 * Items of the platform's key-value store as they are read by prefix.
 */

/** A key with its value and version, a store revision. A null value means that the key was removed. */
export interface StoredItem {
  readonly key: string;
  readonly value: string | null;
  readonly version: number;
}

/** Keys and values at one revision of the store. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** Items of the store: all of them if it is a snapshot, else those that changed after an earlier revision. */
export interface StoreUpdate extends StoredItems {
  readonly isSnapshot: boolean;
}
