/**
 * Registers this VM in the store under a lease, so that the other VMs can discover it, and discovers the others. The store
 * deletes the entry when the lease expires, some seconds after the VM has failed.
 */
import { Effect, Latch } from 'effect';
import type { ListedEntryVm } from '../../../coordination/entry/peerMessage.js';
import { EntryLogPrefix } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { formatStoreRevision } from '../../../state/storeRevision.js';
import type { PrefixStore } from '../../keyValueStore.js';
import { recoverDefects } from '../defects.js';
import type { EntryLogWriter } from '../monitoring/entryLog.js';
import { MALFORMED_VM_TEXT, type MalformedEntries } from './malformedEntries.js';
import { decodeListedVm, encodeListedVm, EntryKey } from './storeKeys.js';

/** Longer than most network partitions and outages, so that these do not redistribute the rate limits among the VMs. */
const LEASE_SECONDS = 12;
const RENEW_INTERVAL_MS = 4_000;
const RETRY_DELAY_MS = 400;

/** The registration of this VM. */
export interface VmRegistration {
  /** Registers the VM and renews the lease until interrupted. */
  readonly run: Effect.Effect<never>;
  /** Registers the VM anew without waiting for the next renewal of the lease. */
  readonly renew: () => void;
  /** Ends the lease, and with it the registration, if the VM is registered. */
  readonly deregister: Effect.Effect<void>;
}

/** Creates the registration of a VM. Nothing is written before `run`. */
export function createVmRegistration(
  store: PrefixStore,
  vm: ListedEntryVm,
  writeLog: EntryLogWriter,
  malformedEntries: MalformedEntries,
  onVmsListed: (vms: readonly ListedEntryVm[]) => void,
): VmRegistration {
  const key = EntryKey.Vms + vm.vmId;
  const value = encodeListedVm(vm);
  const wakeUp = Latch.makeUnsafe(false);
  let leaseId: string | null = null;
  let areVmsListed = false;

  /** Finds the other VMs, one of which relays the contents of the store. */
  const discoverVms: Effect.Effect<void, Diagnostic> = Effect.map(
    store.list(EntryKey.Vms),
    ({ items }) => {
      onVmsListed(
        items.flatMap((item) =>
          decodeListedVm(item.key, item.value ?? '').caseOf<ListedEntryVm[]>({
            Left: ({ message: detail }) => {
              const prefix = EntryLogPrefix.Peer;
              malformedEntries.add({ key: item.key, prefix, text: MALFORMED_VM_TEXT, detail });
              return [];
            },
            Right: (listed) => [listed],
          }),
        ),
      );
      areVmsListed = true;
    },
  );

  const register: Effect.Effect<void, Diagnostic> = Effect.gen(function* registerVm() {
    const newLeaseId = yield* store.grantLease(LEASE_SECONDS);
    const write = (expectedVersion: number) =>
      store.compareAndSwap({ key, expectedVersion, value, leaseId: newLeaseId });
    let version = yield* write(0);
    if (version === null) {
      // An earlier process of this VM has left its registration.
      const stored = yield* store.get(key);
      version = yield* write(stored?.version ?? 0);
    }
    if (version === null) {
      yield* Effect.fail(createDiagnostic(Diagnostics.StoreUnknown));
    }
    leaseId = newLeaseId;
    writeLog(LogLevel.Info, EntryLogPrefix.Peer, 'This VM has been registered in the store.', {
      version: formatStoreRevision(version ?? 0),
    });
  });

  const renew = (currentLeaseId: string): Effect.Effect<void, Diagnostic> =>
    Effect.map(store.renewLease(currentLeaseId), (isAlive) => {
      if (!isAlive) {
        leaseId = null;
        writeLog(
          LogLevel.Warn,
          EntryLogPrefix.Peer,
          'The lease of the registration of this VM has expired.',
        );
      }
    });

  /** Each step is repeated until it succeeds, so that a call that fails leaves nothing out. */
  const step = Effect.suspend(() => {
    if (leaseId === null) {
      return register;
    }
    return areVmsListed ? renew(leaseId) : discoverVms;
  });
  const pause = Effect.suspend(() => {
    const isStepDue = leaseId === null || !areVmsListed;
    return Effect.raceFirst(Effect.sleep(isStepDue ? 0 : RENEW_INTERVAL_MS), wakeUp.await);
  }).pipe(Effect.tap(() => wakeUp.close));
  return {
    run: Effect.forever(
      Effect.matchEffect(recoverDefects(step, writeLog), {
        onFailure: ({ key: reason }) => {
          writeLog(
            LogLevel.Debug,
            EntryLogPrefix.Store,
            'Registering this VM or renewing its lease failed.',
            { reason },
          );
          return Effect.sleep(RETRY_DELAY_MS);
        },
        onSuccess: () => pause,
      }),
    ),
    renew: () => {
      leaseId = null;
      wakeUp.openUnsafe();
    },
    deregister: Effect.suspend(() =>
      leaseId === null ? Effect.void : store.revokeLease(leaseId),
    ).pipe(
      // The lease expires by itself if the store cannot be reached.
      Effect.orElseSucceed(() => undefined),
    ),
  };
}
