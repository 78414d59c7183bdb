/**
 * The lease of a controller in the store, for one failure domain or the fleet. The fencing number is the
 * version of the lease's key, which only grows.
 */
import { Effect } from 'effect';
import type { Diagnostic } from '../state/diagnostics.js';
import type { KeyValueStore } from './keyValueStore.js';

/** Where the leases of controllers lie, by what they control. */
export const CONTROLLER_KEY_PREFIX = 'controllers/';
const MS_PER_SECOND = 1000;

/** How an attempt went. */
export interface LeaseResult {
  /** The fencing number; null if the lease was not got. */
  readonly fence: number | null;
  /** True if it is certain that this process does not hold the lease. */
  readonly isLost: boolean;
}

/** The lease as this process holds it. */
export interface ControllerLease {
  /** Renews the lease if it is held, else tries to get it. */
  readonly keep: (scope: string, ttlMs: number, isHeld: boolean) => Effect.Effect<LeaseResult>;
  /** Gives the lease up, if it is held; it lapses by itself if the store does not answer. */
  readonly release: Effect.Effect<void>;
}

interface Held {
  readonly key: string;
  readonly leaseId: string;
  readonly fence: number;
}

const NOT_GOT: LeaseResult = { fence: null, isLost: false };
const LOST: LeaseResult = { fence: null, isLost: true };

/**
 * Creates the lease of a process, unheld.
 *
 * @param value Names the process in the store.
 * @param keyPrefix Under which the leases lie.
 */
export function createControllerLease(
  store: KeyValueStore,
  value: string,
  keyPrefix = CONTROLLER_KEY_PREFIX,
): ControllerLease {
  let held: Held | null = null;

  const renew = (current: Held): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.map(store.keepLease(current.leaseId), (isAlive) => {
      if (!isAlive) {
        held = null;
        return LOST;
      }
      return { fence: current.fence, isLost: false };
    });

  const acquire = (scope: string, ttlMs: number): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.gen(function* tryLease() {
      const key = keyPrefix + scope;
      const stored = yield* store.get(key);
      if (stored !== null) {
        return NOT_GOT;
      }
      const leaseId = yield* store.grantLease(Math.ceil(ttlMs / MS_PER_SECOND));
      const version = yield* store.swap({ key, expectedVersion: 0, value, leaseId });
      if (version === null) {
        return NOT_GOT;
      }
      held = { key, leaseId, fence: version };
      return { fence: version, isLost: false };
    });

  const removeKey = ({ fence, key }: Held): Effect.Effect<void> => {
    const removal = store.swap({ key, expectedVersion: fence, value: null, leaseId: null });
    return Effect.orElseSucceed(Effect.asVoid(removal), () => undefined);
  };

  return {
    keep: (scope, ttlMs, isHeld) =>
      Effect.suspend(() => {
        const attempt = isHeld && held !== null ? renew(held) : acquire(scope, ttlMs);
        // After a lost answer the lease may be held in the store; it lapses there by itself.
        return Effect.orElseSucceed(attempt, () => NOT_GOT);
      }),
    release: Effect.suspend(() => {
      const current = held;
      held = null;
      return current === null ? Effect.void : removeKey(current);
    }),
  };
}
