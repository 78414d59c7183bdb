/**
 * The lease of a failure domain's controller in the store. The fencing number is the version of the
 * lease's key, which only grows.
 */
import { Effect } from 'effect';
import type { Diagnostic } from '../state/diagnostics.js';
import type { Store } from './store.js';

const KEY_PREFIX = 'controllers/';
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
  readonly keep: (
    failureDomain: string,
    ttlMs: number,
    isHeld: boolean,
  ) => Effect.Effect<LeaseResult>;
}

interface Held {
  readonly leaseId: string;
  readonly fence: number;
}

const NOT_GOT: LeaseResult = { fence: null, isLost: false };
const LOST: LeaseResult = { fence: null, isLost: true };

/** Creates the lease of a process, unheld. `incarnation` names the process in the store. */
export function createControllerLease(store: Store, incarnation: string): ControllerLease {
  let held: Held | null = null;

  const renew = (current: Held): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.map(store.keepLease(current.leaseId), (isAlive) => {
      if (!isAlive) {
        held = null;
        return LOST;
      }
      return { fence: current.fence, isLost: false };
    });

  const acquire = (failureDomain: string, ttlMs: number): Effect.Effect<LeaseResult, Diagnostic> =>
    Effect.gen(function* tryLease() {
      const key = KEY_PREFIX + failureDomain;
      const stored = yield* store.get(key);
      if (stored !== null) {
        return NOT_GOT;
      }
      const leaseId = yield* store.grantLease(Math.ceil(ttlMs / MS_PER_SECOND));
      const version = yield* store.swap({ key, expectedVersion: 0, value: incarnation, leaseId });
      if (version === null) {
        return NOT_GOT;
      }
      held = { leaseId, fence: version };
      return { fence: version, isLost: false };
    });

  return {
    keep: (failureDomain, ttlMs, isHeld) =>
      Effect.suspend(() => {
        const attempt = isHeld && held !== null ? renew(held) : acquire(failureDomain, ttlMs);
        // After a lost answer the lease may be held in the store; it lapses there by itself.
        return Effect.orElseSucceed(attempt, () => NOT_GOT);
      }),
  };
}
