/**
 * Tests that a late answer to a call for an earlier term of the controller has no effect on the lease of the present term.
 */
import { Deferred, Effect } from 'effect';
import { describe, expect, it } from 'vitest';
import type { Diagnostic } from '../../src/state/diagnostics.js';
import { createControllerLease } from '../../src/transport/controllerLease.js';
import type { KeyValueStore } from '../../src/transport/keyValueStore.js';

const SCOPE = 'fleet';
const TTL_MS = 3_000;

/** A store whose renewals are answered when a test says so, and whose key goes away when the test says so. */
function createLateStore() {
  const renewals: Deferred.Deferred<boolean, Diagnostic>[] = [];
  const removedVersions: number[] = [];
  let version = 0;
  let isHeld = false;
  const store: KeyValueStore = {
    get: () => Effect.sync(() => (isHeld ? { value: 'vm', version } : null)),
    grantLease: () => Effect.sync(() => `lease-${version + 1}`),
    compareAndSwap: ({ expectedVersion, value }) =>
      Effect.sync(() => {
        if (value === null) {
          removedVersions.push(expectedVersion);
          return expectedVersion;
        }
        version += 1;
        isHeld = true;
        return version;
      }),
    renewLease: () => {
      const renewal = Deferred.makeUnsafe<boolean, Diagnostic>();
      renewals.push(renewal);
      return Deferred.await(renewal);
    },
  };
  return {
    store,
    renewals,
    removedVersions,
    expire: () => {
      isHeld = false;
    },
  };
}

/** Begins a term, a renewal without an answer, and a second term after the first has expired. */
async function beginSecondTerm() {
  const late = createLateStore();
  const lease = createControllerLease(late.store, 'vm');
  const first = await Effect.runPromise(lease.acquireOrRenew(SCOPE, TTL_MS, false));
  const renewal = Effect.runPromise(lease.acquireOrRenew(SCOPE, TTL_MS, true));
  late.expire();
  const second = await Effect.runPromise(lease.acquireOrRenew(SCOPE, TTL_MS, false));
  return { ...late, lease, first: first.fence!, second: second.fence!, renewal };
}

describe('a late answer to the renewal of an earlier term', () => {
  it('names the term that was lost, and leaves the lease of the present term to be released', async () => {
    const { first, lease, removedVersions, renewal, renewals, second } = await beginSecondTerm();
    Effect.runSync(Deferred.succeed(renewals[0]!, false));
    expect(await renewal).toEqual({ fence: first, isLost: true });
    await Effect.runPromise(lease.release(second));
    expect(removedVersions).toEqual([second]);
  });

  it('does not let the release of the earlier term end the present one', async () => {
    const { first, lease, removedVersions, renewal, renewals, second } = await beginSecondTerm();
    Effect.runSync(Deferred.succeed(renewals[0]!, true));
    expect(await renewal).toEqual({ fence: first, isLost: false });
    await Effect.runPromise(lease.release(first));
    expect(removedVersions).not.toContain(second);
    await Effect.runPromise(lease.release(second));
    expect(removedVersions).toContain(second);
  });
});
