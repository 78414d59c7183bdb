/**
 * Acquires, renews and releases the lease of a controller in the store, for one failure domain or the
 * fleet. The fencing token is the version of the lease's key in the store, which only increases.
 */
import { Effect } from 'effect';
import type { Diagnostic } from '../state/diagnostics.js';
import type { KeyValueStore } from './keyValueStore.js';

/** Prefix of the keys of controller leases; the scope that is controlled follows it. */
export const CONTROLLER_KEY_PREFIX = 'controllers/';
const MS_PER_SECOND = 1000;

/** The result of an attempt to acquire or renew the lease. */
export interface LeaseResult {
  /** The fencing token of the term; null if the lease was not acquired or renewed, or if its term is not known. */
  readonly fence: number | null;
  /** True if the store reported that the lease of the term has expired. */
  readonly isLost: boolean;
}

/** The controller lease of this process. */
export interface ControllerLease {
  /** Renews the lease if this process holds it; otherwise tries to acquire it. */
  readonly acquireOrRenew: (
    scope: string,
    ttlMs: number,
    isHeld: boolean,
  ) => Effect.Effect<LeaseResult>;
  /** Releases the lease if it is held with a fencing token. It expires after its TTL if the store does not respond. */
  readonly release: (fence: number) => Effect.Effect<void>;
}

interface HeldLease {
  readonly key: string;
  readonly leaseId: string;
  readonly fence: number;
}

/** The result without a lease, of which nothing is known to be lost. */
export const NOT_ACQUIRED: LeaseResult = { fence: null, isLost: false };

/**
 * Creates the controller lease of a process. It is not held at first.
 *
 * @param value Identifies the process as the lease holder; stored under the lease's key.
 * @param keyPrefix The prefix of the lease's key in the store.
 */
export function createControllerLease(
  store: KeyValueStore,
  value: string,
  keyPrefix = CONTROLLER_KEY_PREFIX,
): ControllerLease {
  let heldLease: HeldLease | null = null;

  const renew = (current: HeldLease): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.map(store.renewLease(current.leaseId), (isAlive) => {
      if (!isAlive) {
        heldLease = heldLease === current ? null : heldLease;
        return { fence: current.fence, isLost: true };
      }
      return { fence: current.fence, isLost: false };
    });

  const acquire = (scope: string, ttlMs: number): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.gen(function* tryLease() {
      const key = keyPrefix + scope;
      const stored = yield* store.get(key);
      if (stored !== null) {
        return NOT_ACQUIRED;
      }
      const leaseId = yield* store.grantLease(Math.ceil(ttlMs / MS_PER_SECOND));
      const version = yield* store.compareAndSwap({ key, expectedVersion: 0, value, leaseId });
      if (version === null) {
        return NOT_ACQUIRED;
      }
      heldLease = { key, leaseId, fence: version };
      return { fence: version, isLost: false };
    });

  const removeKey = ({ fence, key }: HeldLease): Effect.Effect<void> => {
    const removal = store.compareAndSwap({
      key,
      expectedVersion: fence,
      value: null,
      leaseId: null,
    });
    return Effect.orElseSucceed(Effect.asVoid(removal), () => undefined);
  };

  return {
    acquireOrRenew: (scope, ttlMs, isHeld) =>
      Effect.suspend(() => {
        const attempt = isHeld && heldLease !== null ? renew(heldLease) : acquire(scope, ttlMs);
        // If the response was lost, the lease may exist in the store; it expires there after its TTL.
        return Effect.orElseSucceed(attempt, () => NOT_ACQUIRED);
      }),
    release: (fence) =>
      Effect.suspend(() => {
        const current = heldLease;
        if (current?.fence !== fence) {
          return Effect.void;
        }
        heldLease = null;
        return removeKey(current);
      }),
  };
}
