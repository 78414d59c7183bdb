/**
 * The platform's key-value service as the daemons see it. Each call ends with a value or a typed failure;
 * `StoreUnknown` is the failure of a change that may have taken effect all the same.
 */
import type { Effect } from 'effect';
import type { StoredValue, Swap } from '../protocol/storeMessages.js';
import type { Diagnostic } from '../state/diagnostics.js';

/** Single keys, compare-and-swap and leases: what every store offers. */
export interface KeyValueStore {
  readonly get: (key: string) => Effect.Effect<StoredValue | null, Diagnostic>;
  /** Ends with the new version, or null if the key had another version than expected. */
  readonly swap: (swap: Swap) => Effect.Effect<number | null, Diagnostic>;
  readonly grantLease: (ttlSeconds: number) => Effect.Effect<string, Diagnostic>;
  /** Ends with false if the lease has lapsed. */
  readonly keepLease: (leaseId: string) => Effect.Effect<boolean, Diagnostic>;
}

/** One key with its value; a null value is a removal. */
export interface StoredItem {
  readonly key: string;
  readonly value: string | null;
  readonly version: number;
}

/** Keys as of one revision of the store. */
export interface StoredItems {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** A store whose keys can be listed and watched by prefix. */
export interface PrefixStore extends KeyValueStore {
  /** Ends with all keys of a prefix, and the revision from which to watch. */
  readonly list: (prefix: string) => Effect.Effect<StoredItems, Diagnostic>;
  /**
   * Waits for changes after a revision, up to a time. Ends with null if the store has dropped that part
   * of its history, and the keys have to be listed again.
   */
  readonly waitForChanges: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ) => Effect.Effect<StoredItems | null, Diagnostic>;
  readonly endLease: (leaseId: string) => Effect.Effect<void, Diagnostic>;
}
