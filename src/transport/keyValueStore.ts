/**
 * Defines the interfaces through which the daemons use the platform's key-value service. Each call succeeds with a
 * value or fails with a diagnostic. A write that fails with `StoreUnknown` may still have taken effect.
 */
import type { Effect } from 'effect';
import type { StoredValue, Swap } from '../protocol/storeMessages.js';
import type { Diagnostic } from '../state/diagnostics.js';
import type { StoredItems } from '../state/storedItems.js';

/** Operations that every store supports: reads of single keys, compare-and-swap and leases. */
export interface KeyValueStore {
  readonly get: (key: string) => Effect.Effect<StoredValue | null, Diagnostic>;
  /** Succeeds with the new version of the key, or null if its version was not the expected one. */
  readonly compareAndSwap: (swap: Swap) => Effect.Effect<number | null, Diagnostic>;
  readonly grantLease: (ttlSeconds: number) => Effect.Effect<string, Diagnostic>;
  /** Renews a lease. Succeeds with false if the lease has expired. */
  readonly renewLease: (leaseId: string) => Effect.Effect<boolean, Diagnostic>;
}

/** A store whose keys can be listed and watched by prefix. */
export interface PrefixStore extends KeyValueStore {
  /** Succeeds with all keys that have a prefix, and the revision after which to wait for changes. */
  readonly list: (prefix: string) => Effect.Effect<StoredItems, Diagnostic>;
  /**
   * Waits at most `waitMs` for changes after a revision. Succeeds with null if the store has compacted its history
   * past that revision, so that the keys have to be listed again.
   */
  readonly waitForChanges: (
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ) => Effect.Effect<StoredItems | null, Diagnostic>;
  /** Revokes a lease. */
  readonly revokeLease: (leaseId: string) => Effect.Effect<void, Diagnostic>;
}
